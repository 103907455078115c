package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// A slowSync is the sync of a host's disk that is under way. What is written meanwhile
// waits for the next one.
type slowSync struct {
	endsAt   time.Time
	state    consensus.StoredState
	messages []consensus.Message
}

const (
	// tickInterval is the time between two ticks of a controller.
	tickInterval = 50 * time.Millisecond
	// messageDelay is how long a message is on its way.
	messageDelay = 5 * time.Millisecond
)

// A slowDiskCluster is a cluster in which each sync takes syncTime.
type slowDiskCluster struct {
	*cluster
	syncTime time.Duration
	syncs    map[string]*slowSync
	rng      *rand.Rand
}

// newSlowDiskCluster returns a cluster of five voters that were stopped at the same
// moment. Two of them are lost for good; the others have started again.
func newSlowDiskCluster(seed uint64, syncTime time.Duration) *slowDiskCluster {
	c := newFormedCluster(5)
	for _, id := range c.ids() {
		c.crash(c.hosts[id])
	}
	for _, id := range c.ids()[:3] {
		c.start(c.hosts[id])
	}
	c.inFlight = nil
	return &slowDiskCluster{
		cluster:  c,
		syncTime: syncTime,
		syncs:    map[string]*slowSync{},
		rng:      rand.New(rand.NewPCG(seed, 0)),
	}
}

// run lets time pass and calls observe after each step.
func (c *slowDiskCluster) run(d time.Duration, observe func()) {
	lastTick := c.now
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(messageDelay)
		inFlight := c.inFlight
		c.inFlight = nil
		for _, msg := range inFlight {
			c.deliver(msg)
		}
		isTickDue := c.now.Sub(lastTick) >= tickInterval
		for _, id := range c.ids() {
			h := c.hosts[id]
			if isTickDue {
				c.step(h, consensus.Tick{
					Jitter: time.Duration(c.rng.Int64N(int64(electionTimeout))),
				})
			}
			c.step(h, consensus.ApplyDue{})
			c.stepDisk(h)
		}
		if isTickDue {
			lastTick = c.now
		}
		observe()
	}
}

// stepDisk ends a sync that is due, and begins one for all that has been written since
// the last one began.
func (c *slowDiskCluster) stepDisk(h *host) {
	if !h.alive {
		return
	}
	if s := c.syncs[h.id]; s != nil && !c.now.Before(s.endsAt) {
		delete(c.syncs, h.id)
		h.disk = s.state
		c.inFlight = append(c.inFlight, s.messages...)
		c.step(h, consensus.HardStateSynced{
			Hard: s.state.Hard,
		})
		if n := len(s.state.Entries); n > 0 {
			c.step(h, consensus.EntriesSynced{
				Index: s.state.Entries[n-1].Index,
				Term:  s.state.Entries[n-1].Term,
			})
		}
	}
	if c.syncs[h.id] != nil || !h.isDirty && len(h.awaitingSync) == 0 {
		return
	}
	syncTime := c.syncTime
	if !h.isDirty {
		syncTime = 0
	}
	state := h.written
	state.Entries = slices.Clone(h.written.Entries)
	c.syncs[h.id] = &slowSync{
		endsAt:   c.now.Add(syncTime),
		state:    state,
		messages: h.awaitingSync,
	}
	h.isDirty, h.awaitingSync = false, nil
}

// leaseHolder returns the host that holds a lease; nil if there is none.
func (c *slowDiskCluster) leaseHolder() *host {
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.alive && h.replica.HasLease(c.now) {
			return h
		}
	}
	return nil
}

// slowSyncTimes are the times that a sync takes on a disk that is fast, shared or bad.
var slowSyncTimes = []time.Duration{
	6 * time.Millisecond,
	60 * time.Millisecond,
	150 * time.Millisecond,
	300 * time.Millisecond,
	500 * time.Millisecond,
	800 * time.Millisecond,
}

// recoveryBound is how long after a stop of all hosts a leader may be missing: twice the
// time after which the users count machines as in touch.
const recoveryBound = 6 * time.Second

var _ = Describe("A candidate whose own vote is not durable", func() {
	It("does not lead the same term twice with other entries if it restarts", func() {
		c := newFormedCluster(5)
		old := c.leader()
		c.crash(old)
		candidate := c.hosts["c2"]
		Expect(candidate).NotTo(Equal(old))
		term := candidate.replica.Hard().Term
		candidate.isFull = true
		for c.now = c.now.Add(2 * electionTimeout); candidate.replica.Hard().Term == term; c.now = c.now.Add(tickInterval) {
			c.step(candidate, consensus.Tick{})
			c.deliverAll()
		}
		Expect(candidate.replica.Hard().Vote).To(Equal(candidate.id))
		Expect(candidate.replica.IsLeader()).To(BeFalse())
		candidate.isFull = false
		c.sync(candidate)
		Expect(candidate.replica.IsLeader()).To(BeTrue())
	})
})

var _ = Describe("Three voters of five whose disks are slow", func() {
	It("elect a leader in time after all stopped at once", func() {
		var failed []string
		for _, syncTime := range slowSyncTimes {
			for seed := range uint64(8) {
				c := newSlowDiskCluster(seed, syncTime)
				hasLease := false
				for end := c.now.Add(recoveryBound); !hasLease && c.now.Before(end); {
					c.run(tickInterval, func() { hasLease = hasLease || c.leaseHolder() != nil })
				}
				if !hasLease {
					failed = append(failed, fmt.Sprintf("syncs of %v, seed %d", syncTime, seed))
				}
				Expect(c.violations).To(BeEmpty())
			}
		}
		Expect(failed).To(BeEmpty())
	})

	It("keep their leader while commands come", func() {
		for _, syncTime := range slowSyncTimes {
			c := newSlowDiskCluster(1, slowSyncTimes[0])
			c.run(recoveryBound, func() {})
			leader := c.leaseHolder()
			Expect(leader).NotTo(BeNil())
			c.syncTime = syncTime
			lost, n := 0, 0
			c.run(10*time.Second, func() {
				if n++; n%4 == 0 {
					c.propose(leader, fmt.Sprint(n))
				}
				if !leader.replica.HasLease(c.now) {
					lost++
				}
			})
			Expect(lost).To(BeZero(), "steps without a lease of %d, with syncs of %v", n, syncTime)
			Expect(c.violations).To(BeEmpty())
		}
	})
})

var _ = Describe("A learner whose disk is slow", func() {
	It("is promoted while commands come faster than its disk syncs them one by one", func() {
		for _, syncTime := range slowSyncTimes {
			c := newSlowDiskCluster(1, slowSyncTimes[0])
			c.run(recoveryBound, func() {})
			leader := c.leaseHolder()
			Expect(leader).NotTo(BeNil())
			c.syncTime = syncTime
			c.addHost("c6")
			c.step(leader, consensus.ChangeMembers{
				Change: member.Add{
					Member: member.Member{
						ID:       "c6",
						Address:  "c6",
						Replaces: "c4",
					},
				},
			})
			n := 0
			c.run(recoveryBound, func() {
				n++
				c.propose(leader, fmt.Sprint(n))
			})
			Expect(leader.replica.Members().IsVoter("c6")).To(BeTrue(), "syncs of %v", syncTime)
			Expect(c.violations).To(BeEmpty())
		}
	})
})

var _ = Describe("Five voters, one of which has a disk that stands still", func() {
	It("elect a leader in time when theirs is gone", func() {
		for seed := range uint64(20) {
			c := &slowDiskCluster{
				cluster:  newFormedCluster(5),
				syncTime: slowSyncTimes[0],
				syncs:    map[string]*slowSync{},
				rng:      rand.New(rand.NewPCG(seed, 0)),
			}
			old := c.leader()
			stalled := c.hosts["c2"]
			Expect(stalled).NotTo(Equal(old))
			c.syncs[stalled.id] = &slowSync{
				endsAt: c.now.Add(time.Hour),
				state:  stalled.written,
			}
			c.crash(old)
			for end := c.now.Add(recoveryBound); c.leaseHolder() == nil && c.now.Before(end); {
				c.run(tickInterval, func() {})
			}
			Expect(c.leaseHolder()).NotTo(BeNil(), "seed %d", seed)
			Expect(c.violations).To(BeEmpty())
		}
	})
})
