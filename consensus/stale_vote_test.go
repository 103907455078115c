package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
)

// takeMessages removes the messages on their way from one host to another and returns them.
func (c *cluster) takeMessages(from, to *host) (taken []consensus.Message) {
	var others []consensus.Message
	for _, msg := range c.inFlight {
		if msg.From == from.id && msg.To == to.id {
			taken = append(taken, msg)
			continue
		}
		others = append(others, msg)
	}
	c.inFlight = others
	return taken
}

// deliverTo delivers what is on its way from one host to others and syncs the receivers.
func (c *cluster) deliverTo(from *host, receivers ...*host) {
	for _, to := range receivers {
		for _, msg := range c.takeMessages(from, to) {
			c.deliver(msg)
		}
		c.sync(to)
	}
}

var _ = Describe("A vote for a candidate that lost entries in a restart", func() {
	It("does not let it lead the same term without a committed entry", func() {
		c := newFormedCluster(5)
		leader := c.leader()
		var others []*host
		for _, id := range c.ids() {
			if id != leader.id {
				others = append(others, c.hosts[id])
			}
		}
		candidate, earlyVoter, lateHolder, lateVoter := others[0], others[1], others[2], others[3]
		c.inFlight = nil
		lost := func() { c.inFlight = nil }

		By("an entry that is durable at two of five, and not yet at the candidate")
		c.propose(leader, "x")
		c.sync(leader)
		c.deliverTo(leader, earlyVoter)
		c.deliverTo(earlyVoter, leader)
		for _, msg := range c.takeMessages(leader, candidate) {
			c.deliver(msg)
		}
		onTheWay := c.takeMessages(leader, lateHolder)
		lost()

		By("an election in which the candidate asks before its disk has its log and its vote")
		elect := func(voters ...*host) {
			for !isCandidate(candidate) {
				c.now = c.now.Add(tickInterval)
				c.step(candidate, consensus.Tick{})
				for _, v := range voters {
					c.deliverTo(candidate, v)
					for _, msg := range c.takeMessages(v, candidate) {
						c.deliver(msg)
					}
				}
			}
		}
		elect(earlyVoter, lateVoter)
		c.deliverTo(candidate, earlyVoter)
		delayed := c.takeMessages(earlyVoter, candidate)
		Expect(delayed).NotTo(BeEmpty())
		lost()

		By("a restart of the candidate, and its next election in the same term")
		c.crash(candidate)
		c.start(candidate)
		elect(lateHolder, lateVoter)

		By("the commitment of the entry by the leader of the term before")
		Expect(leader.replica.IsLeader()).To(BeTrue())
		requests := c.takeMessages(candidate, lateVoter)
		lost()
		for _, msg := range onTheWay {
			c.deliver(msg)
		}
		c.sync(lateHolder)
		c.deliverTo(lateHolder, leader)
		Expect(c.acknowledged).To(HaveKey("x"))

		By("the votes of both elections")
		for _, msg := range append(requests, delayed...) {
			c.deliver(msg)
		}
		c.sync(lateVoter)
		c.deliverTo(lateVoter, candidate)
		c.runWithoutFaults(3 * time.Second)
		Expect(c.violations).To(BeEmpty())
		Expect(c.leader()).NotTo(BeNil())
	})
})

func isCandidate(h *host) bool {
	_, ok := h.replica.Role().(consensus.Candidate)
	return ok
}
