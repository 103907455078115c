package consensus_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
)

// commandBytes is the size of a large command beside the bounds of the tests.
const commandBytes = 1000

// limitedConfig returns a configuration with bounds of some large commands.
func limitedConfig() consensus.Config {
	cfg := config("")
	cfg.MaxUncommittedBytes = 10 * commandBytes
	cfg.MaxInflightBytes = 4 * commandBytes
	cfg.MaxBatchBytes = 2 * commandBytes
	return cfg
}

func (c *cluster) proposeLarge(h *host) {
	c.propose(h, strings.Repeat("a", commandBytes))
}

// runAndCount lets time pass, with a large command every 100 ms if there is a leader, and
// returns the size of the entries sent to a host.
func (c *cluster) runAndCount(d time.Duration, to *host) (sentBytes int) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		for _, id := range c.ids() {
			c.step(c.hosts[id], consensus.Tick{})
			c.sync(c.hosts[id])
		}
		if leader := c.leader(); leader != nil && c.now.UnixMilli()%100 == 0 {
			c.proposeLarge(leader)
		}
		for round := 0; len(c.inFlight) > 0; round++ {
			Expect(round).To(BeNumerically("<", 50), "messages go back and forth without end")
			inFlight := c.inFlight
			c.inFlight = nil
			for _, msg := range inFlight {
				if request, ok := msg.Body.(consensus.Append); ok && msg.To == to.id {
					sentBytes += len(request.Entries) * commandBytes
				}
				c.deliver(msg)
			}
			for _, id := range c.ids() {
				c.sync(c.hosts[id])
			}
		}
	}
	return sentBytes
}

func (c *cluster) follower() *host {
	for _, id := range c.ids() {
		if h := c.hosts[id]; h != c.leader() {
			return h
		}
	}
	return nil
}

// Entries that a disk has not taken yet fill the memory, and then the disk.
var _ = Describe("A leader of large commands", func() {
	It("refuses further ones while its own disk does not sync", func() {
		c := newConfiguredCluster(3, limitedConfig())
		leader := c.leader()
		leader.isFull = true
		for range 100 {
			c.proposeLarge(leader)
			c.deliverAll()
		}
		log := leader.replica.Log()
		Expect(log.BytesAfter(uint64(len(leader.disk.Entries)))).To(BeNumerically("<=", 12*commandBytes))
		Expect(leader.replica.CommitIndex()).To(Equal(log.LastIndex()))
		leader.isFull = false
		Expect(c.checkConverges(time.Second)).To(Succeed())
	})

	It("refuses further ones while no majority holds them", func() {
		c := newConfiguredCluster(3, limitedConfig())
		leader := c.leader()
		for range 100 {
			c.proposeLarge(leader)
			c.sync(leader)
		}
		Expect(leader.replica.Log().BytesAfter(leader.replica.CommitIndex())).To(BeNumerically("<=", 12*commandBytes))
		Expect(c.checkConverges(time.Second)).To(Succeed())
	})

	// It could never be sent, and no later entry could be committed.
	It("refuses one that no message can hold", func() {
		c := newConfiguredCluster(3, config(""))
		leader := c.leader()
		last := leader.replica.Log().LastIndex()
		_, effects := leader.replica.Step(c.now, consensus.Propose{
			Proposals: []consensus.Proposal{
				{
					Token: 7,
					Bytes: make([]byte, config("").MaxCommandBytes+1),
				},
			},
		})
		Expect(effects).To(ConsistOf(consensus.Refused{
			Token:  7,
			Reason: consensus.RefusedTooLarge,
		}))
		Expect(leader.replica.Log().LastIndex()).To(Equal(last))
	})

	// Copies of the whole log would wait in the queue of the connection.
	It("sends a member that is gone no more than the bound in flight", func() {
		c := newConfiguredCluster(3, limitedConfig())
		gone := c.follower()
		c.crash(gone)
		Expect(c.runAndCount(10*time.Second, gone)).To(BeNumerically("<=", 6*commandBytes))
		c.start(gone)
		Expect(c.checkConverges(2 * time.Second)).To(Succeed())
	})
})

var _ = Describe("A follower whose disk stands still", func() {
	DescribeTable("takes no more than it may hold, and keeps its leader", func(maxInflightBytes uint64) {
		cfg := limitedConfig()
		cfg.MaxInflightBytes = maxInflightBytes
		c := newConfiguredCluster(3, cfg)
		leader, stalled := c.leader(), c.follower()
		stalled.isFull = true
		c.runAndCount(5*time.Second, stalled)
		base := uint64(len(stalled.disk.Entries))
		Expect(stalled.replica.Log().BytesAfter(base)).To(BeNumerically("<=", 12*commandBytes))
		waiting := len(stalled.awaitingSync)
		Expect(c.runAndCount(10*time.Second, stalled)).To(BeZero())
		Expect(stalled.awaitingSync).To(HaveLen(waiting))
		Expect(c.leader()).To(Equal(leader))
		Expect(leader.replica.IsSilent(c.now, stalled.id, electionTimeout)).To(BeFalse())
		stalled.isFull = false
		Expect(c.checkConverges(2 * time.Second)).To(Succeed())
	},
		Entry("with a leader that bounds what is in flight", limitedConfig().MaxInflightBytes),
		Entry("with a leader that does not", uint64(0)),
	)
})

// All entries of a group that restarts are durable, and most are not known to be committed.
var _ = Describe("Five voters that restart with a log over all bounds", func() {
	It("elect a leader and accept commands", func() {
		c := newConfiguredCluster(5, config(""))
		for range 300 {
			c.proposeLarge(c.leader())
			c.deliverAll()
		}
		c.cfg = limitedConfig()
		for _, id := range c.ids() {
			c.crash(c.hosts[id])
			c.start(c.hosts[id])
		}
		c.inFlight = nil
		Expect(c.checkConverges(3 * time.Second)).To(Succeed())
		Expect(c.violations).To(BeEmpty())
	})
})
