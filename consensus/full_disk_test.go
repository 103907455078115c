package consensus_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
)

// newClusterWithStaleFollower returns a cluster of three with a stopped follower
// whose next entry the other hosts have compacted.
func newClusterWithStaleFollower() (c *cluster, leader, stale, other *host) {
	c = newFormedCluster(3)
	leader = c.leader()
	for _, id := range c.ids() {
		switch h := c.hosts[id]; {
		case h == leader:
		case stale == nil:
			stale = h
		default:
			other = h
		}
	}
	c.crash(stale)
	for i := range 50 {
		c.propose(leader, fmt.Sprint(i))
	}
	c.runWithoutFaults(time.Second)
	c.compact(leader)
	c.compact(other)
	return c, leader, stale, other
}

// checkConverges checks that a new command is acknowledged and that all running hosts
// apply the same entries.
func (c *cluster) checkConverges(d time.Duration) error {
	c.runWithoutFaults(d)
	leader := c.leader()
	if leader == nil {
		return fmt.Errorf("no leader\n%s", c)
	}
	c.propose(leader, "last")
	c.runWithoutFaults(time.Second)
	if _, ok := c.acknowledged["last"]; !ok {
		return fmt.Errorf("the last command is not acknowledged\n%s", c)
	}
	for _, id := range c.ids() {
		h := c.hosts[id]
		if h.alive && len(h.applied) != len(leader.applied) {
			return fmt.Errorf("%s has applied %d entries, the leader %d\n%s", id, len(h.applied), len(leader.applied), c)
		}
	}
	return nil
}

var _ = Describe("A replica whose disk is full", func() {
	It("does not acknowledge a snapshot before it is durable", func() {
		c, leader, stale, _ := newClusterWithStaleFollower()
		c.start(stale)
		stale.isFull = true
		c.runWithoutFaults(2 * time.Second)
		Expect(stale.written.Snapshot.Index).To(BeNumerically(">", stale.disk.Snapshot.Index))
		p, _ := leader.replica.Progress(stale.id)
		Expect(p.Match).To(BeNumerically("<=", stale.disk.Snapshot.Index+uint64(len(stale.disk.Entries))))
	})

	It("catches up if it restarts before a snapshot is durable", func() {
		c, leader, stale, other := newClusterWithStaleFollower()
		c.start(stale)
		stale.isFull = true
		c.runWithoutFaults(2 * time.Second)
		c.crash(stale)
		stale.isFull = false
		c.start(stale)
		c.crash(other)
		Expect(c.checkConverges(12 * time.Second)).To(Succeed())
		Expect(c.leader()).To(Equal(leader))
	})
})

var _ = Describe("A leader", func() {
	It("sends a member the entries again that its disk has lost", func() {
		c := newFormedCluster(3)
		lost := c.hosts["c3"]
		for i := range 10 {
			c.propose(c.leader(), fmt.Sprint(i))
		}
		c.runWithoutFaults(time.Second)
		c.crash(lost)
		lost.disk.Entries = lost.disk.Entries[:len(lost.disk.Entries)-5]
		c.start(lost)
		Expect(c.checkConverges(2 * time.Second)).To(Succeed())
	})

	It("soon sends a snapshot again whose transfer failed", func() {
		c, leader, stale, other := newClusterWithStaleFollower()
		stale.refusesSnapshots = true
		c.start(stale)
		c.runWithoutFaults(time.Second)
		stale.refusesSnapshots = false
		c.crash(other)
		c.propose(leader, "needs the member")
		c.runWithoutFaults(2500 * time.Millisecond)
		Expect(c.acknowledged).To(HaveKey("needs the member"), "%s", c)
	})

	It("goes on with a member whose acknowledgement of a snapshot was lost", func() {
		c, leader, stale, other := newClusterWithStaleFollower()
		c.start(stale)
		for stale.written.Snapshot.Index == 0 {
			c.now = c.now.Add(heartbeat)
			c.step(leader, consensus.Tick{})
			inFlight := c.inFlight
			c.inFlight = nil
			for _, msg := range inFlight {
				c.deliver(msg)
			}
		}
		c.sync(stale)
		c.inFlight = nil
		c.crash(stale)
		c.start(stale)
		c.crash(other)
		c.propose(leader, "needs the member")
		Expect(c.checkConverges(25 * time.Second)).To(Succeed())
		Expect(c.acknowledged).To(HaveKey("needs the member"))
	})
})

var _ = Describe("A follower", func() {
	It("preserves acknowledged entries if an older snapshot arrives after them", func() {
		c := newFormedCluster(3)
		leader, h, other := c.leader(), c.hosts["c2"], c.hosts["c3"]
		Expect(leader.id).To(Equal("c1"))
		c.runWithoutFaults(time.Second)
		c.crash(other)
		c.propose(leader, "a")
		c.deliverInFlightTo(h)
		c.sync(leader)
		// The follower gets "b" with the commit index of before "a".
		c.propose(leader, "b")
		second := c.inFlight
		c.inFlight = nil
		c.sync(h)
		c.deliverInFlightTo(leader)
		c.compact(leader)
		late, applied := leader.disk.Snapshot, leader.snapshot
		c.inFlight = second
		c.deliverInFlightTo(h)
		c.sync(h)
		c.deliverInFlightTo(leader)
		Expect(c.acknowledged).To(HaveKey("b"))
		Expect(h.replica.CommitIndex()).To(BeNumerically("<", late.Index))
		c.deliverSnapshot(leader.id, h, consensus.SendSnapshot{
			Group: leader.replica.Group(),
			Term:  leader.replica.Hard().Term,
		}, late, applied)
		Expect(h.replica.Log().LastIndex()).To(Equal(leader.replica.Log().LastIndex()))
		c.crash(leader)
		c.start(other)
		Expect(c.checkConverges(3 * time.Second)).To(Succeed())
		Expect(c.violations).To(BeEmpty())
	})
})

// deliverInFlightTo delivers the messages in flight to one host and loses the others.
func (c *cluster) deliverInFlightTo(h *host) {
	inFlight := c.inFlight
	c.inFlight = nil
	for _, msg := range inFlight {
		if msg.To == h.id {
			c.deliver(msg)
		}
	}
}
