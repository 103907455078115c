package consensus_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainladder/plantainladder/consensus"
)

var _ = Describe("Replica", func() {
	It("forms a group and promotes learners to voters", func() {
		c := newFormedCluster(3)
		Expect(c.violations).To(BeEmpty())
		for _, id := range c.ids() {
			Expect(c.hosts[id].replica.Members().Voters()).To(Equal(3), id)
		}
	})

	It("elects a new leader without losing acknowledged commands", func() {
		c := newFormedCluster(3)
		c.propose(c.leader(), "a")
		c.runWithoutFaults(time.Second)
		oldLeader := c.leader()
		c.crash(oldLeader)
		c.runWithoutFaults(3 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader().id).NotTo(Equal(oldLeader.id))
		Expect(c.acknowledged).To(HaveKey("a"))
		Expect(c.violations).To(BeEmpty())
	})

	It("elects no leader with the votes of replicas that lost their disks", func() {
		c := newFormedCluster(3)
		oldLeader := c.leader()
		for _, id := range c.ids() {
			if id != oldLeader.id {
				c.hosts[id].disk = consensus.StoredState{}
				c.start(c.hosts[id])
			}
		}
		c.crash(oldLeader)
		c.runWithoutFaults(5 * time.Second)
		Expect(c.leader()).To(BeNil())
	})

	It("replaces a member that lost its disk and then tolerates another crash", func() {
		c := newFormedCluster(3)
		lost := "c2"
		if c.leader().id == lost {
			lost = "c3"
		}
		c.crash(c.hosts[lost])
		c.addHost("c4")
		c.addMember("c4", lost)
		c.runWithoutFaults(2 * time.Second)
		Expect(c.leader().replica.Members().Voters()).To(Equal(3))
		Expect(c.leader().replica.Members().IsVoter(lost)).To(BeFalse())
		c.crash(c.leader())
		c.runWithoutFaults(3 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.violations).To(BeEmpty())
	})

	It("adds a learner by means of a snapshot", func() {
		c := newFormedCluster(3)
		for i := range 50 {
			c.propose(c.leader(), fmt.Sprint(i))
		}
		c.runWithoutFaults(time.Second)
		for _, id := range c.ids() {
			c.compact(c.hosts[id])
		}
		c.addHost("c4")
		c.addMember("c4", "")
		Expect(c.leader().replica.Members().Voters()).To(Equal(4))
		Expect(c.hosts["c4"].applied).To(Equal(c.hosts["c1"].applied))
		Expect(c.violations).To(BeEmpty())
	})

	It("transfers leadership before a planned stop", func() {
		c := newFormedCluster(3)
		oldLeader := c.leader()
		c.step(oldLeader, consensus.TransferLeadership{})
		c.runWithoutFaults(200 * time.Millisecond)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader().id).NotTo(Equal(oldLeader.id))
	})

	It("stays safe under loss, duplication, delay, reordering, partitions, crashes and restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			cfg := config("")
			cfg.MaxUncommittedBytes = rapid.SampledFrom([]uint64{0, 100, 400}).Draw(t, "max uncommitted bytes")
			cfg.MaxInflightBytes = rapid.SampledFrom([]uint64{0, 1, 300}).Draw(t, "max inflight bytes")
			c := newConfiguredCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "hosts"), cfg)
			for range rapid.IntRange(100, 500).Draw(t, "steps") {
				stepRandomly(t, c)
				if len(c.violations) > 0 {
					t.Fatalf("%v", c.violations)
				}
			}
			for _, id := range c.ids() {
				c.hosts[id].isFull, c.hosts[id].refusesSnapshots = false, false
				if !c.hosts[id].alive {
					c.start(c.hosts[id])
				}
			}
			c.inFlight, c.blockedLinks = nil, map[[2]string]bool{}
			c.runWithoutFaults(5 * time.Second)
			checkAcknowledged(t, c)
			if err := c.checkConverges(10 * time.Second); err != nil {
				t.Fatalf("%v", err)
			}
		})
	})
})

func stepRandomly(t *rapid.T, c *cluster) {
	h := c.hosts[rapid.SampledFrom(c.ids()).Draw(t, "host")]
	switch rapid.IntRange(0, 14).Draw(t, "action") {
	case 0, 1, 2:
		c.now = c.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		for _, id := range c.ids() {
			c.step(c.hosts[id], consensus.Tick{
				Jitter: time.Duration(rapid.IntRange(0, 500).Draw(t, "jitter")) * time.Millisecond,
			})
		}
	case 3, 4, 5, 6:
		deliverRandomly(t, c)
	case 7, 8:
		c.sync(h)
	case 9:
		if h.replica.IsLeader() {
			c.propose(h, fmt.Sprint("command-", c.lastToken))
		}
	case 10:
		c.compact(h)
		if h.alive && rapid.Bool().Draw(t, "transfer") {
			c.step(h, consensus.TransferLeadership{})
		}
	case 11:
		// Without faults for a while, the hosts that run can commit entries.
		c.runWithoutFaults(time.Duration(rapid.IntRange(50, 1500).Draw(t, "quiet ms")) * time.Millisecond)
	case 12:
		other := rapid.SampledFrom(c.ids()).Draw(t, "other")
		c.blockedLinks[linkBetween(h.id, other)] = !c.blockedLinks[linkBetween(h.id, other)]
	case 13:
		if h.alive {
			c.crash(h)
		} else {
			c.start(h)
		}
	case 14:
		h.isFull = rapid.Bool().Draw(t, "full")
		h.refusesSnapshots = h.isFull
	}
}

// deliverRandomly picks some of the messages in flight, in any order. It
// delivers most of them, loses some and delivers some twice.
func deliverRandomly(t *rapid.T, c *cluster) {
	for range min(len(c.inFlight), rapid.IntRange(1, 8).Draw(t, "messages")) {
		i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
		msg := c.inFlight[i]
		// 0 delivers the message and keeps it in flight, 1 loses it.
		disturbance := rapid.IntRange(0, 9).Draw(t, "disturbance")
		if disturbance != 0 {
			c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
		}
		if disturbance != 1 {
			c.deliver(msg)
		}
	}
}

// checkAcknowledged checks that a leader was elected once the faults ended and
// that it has applied every acknowledged command.
func checkAcknowledged(t *rapid.T, c *cluster) {
	if len(c.violations) > 0 {
		t.Fatalf("%v", c.violations)
	}
	if c.leader() == nil {
		t.Fatalf("no leader after the faults ended\n%s", c)
	}
	for command, index := range c.acknowledged {
		found := false
		for _, text := range c.leader().applied {
			found = found || endsWithCommand(text, command)
		}
		if !found {
			t.Fatalf("acknowledged command %q at index %d is lost", command, index)
		}
	}
}

// endsWithCommand reports whether the record of an applied entry is that of the
// command.
func endsWithCommand(applied, command string) bool {
	want := fmt.Sprintf("/%v", consensus.Data{
		Bytes: []byte(command),
	})
	return len(applied) >= len(want) && applied[len(applied)-len(want):] == want
}
