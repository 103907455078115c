package consensus_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// deliverRound delivers what is in flight once and syncs all disks.
func (c *cluster) deliverRound() {
	inFlight := c.inFlight
	c.inFlight = nil
	for _, msg := range inFlight {
		c.deliver(msg)
	}
	for _, id := range c.ids() {
		c.sync(c.hosts[id])
	}
}

// isolate blocks the links between a host and all others.
func (c *cluster) isolate(id string) {
	for _, other := range c.ids() {
		c.blockedLinks[linkBetween(id, other)] = true
	}
}

var _ = Describe("The replacement of a member by one at another address", func() {
	It("ends if the member is the leader", func() {
		c := newFormedCluster(3)
		c.addHost("c9")
		c.addMember("c9", c.leader().id)
		c.runWithoutFaults(20 * time.Second)
		Expect(c.leader().replica.Members().IsVoter("c9")).To(BeTrue(), c.String())
	})

	It("does not stop the group if the member was only cut off and another one is lost meanwhile", func() {
		for rounds := range 12 {
			c := newFormedCluster(3)
			leader := c.leader().id
			others := slices.DeleteFunc(c.ids(), func(id string) bool { return id == leader })
			cutOff, lost := others[0], others[1]
			c.addHost("c9")
			c.isolate(cutOff)
			c.runWithoutFaults(1600 * time.Millisecond)
			c.step(c.leader(), consensus.ChangeMembers{
				Change: member.Add{
					Member: member.Member{
						ID:       "c9",
						Address:  "c9",
						Replaces: cutOff,
					},
				},
			})
			for range rounds {
				c.deliverRound()
			}
			delete(c.hosts, lost)
			delete(c.blockedLinks, linkBetween(cutOff, leader))
			delete(c.blockedLinks, linkBetween(cutOff, "c9"))
			c.runWithoutFaults(30 * time.Second)
			Expect(c.leader()).NotTo(BeNil(), "lost after %d rounds\n%s", rounds, c.String())
		}
	})
})

var _ = Describe("A learner that was just added", func() {
	It("does not count as silent before it had time to answer", func() {
		g := newGroup(3)
		l := g.leader()
		others := slices.DeleteFunc(g.ids(), func(id string) bool { return id == l.id })
		g.removeForGood(others[0])
		g.removeForGood(others[1])
		g.run(deadTimeout + time.Second)
		learner, next := g.addNew(""), g.addNew("")
		g.requestJoin(learner)
		g.cutOff(learner, true, false)
		g.deliverAll()
		g.requestJoin(next)
		g.deliverAll()
		_, ok := g.leader().replica.Members().Get(learner)
		Expect(ok).To(BeTrue(), "%v", g.leader().replica.Members().Members)
	})
})

var _ = Describe("A leader after a long election", func() {
	// Guards against a successor that is admitted too late: each new leader waited for
	// the whole timeout, although nobody had answered its requests for votes.
	It("counts the time in which a voter did not answer the election", func() {
		g := newGroup(4)
		old := g.leader().id
		others := slices.DeleteFunc(g.ids(), func(id string) bool { return id == old })
		gone, cut := others[0], others[1]
		g.removeForGood(gone)
		g.removeForGood(old)
		g.cutOff(cut, true, true)
		g.run(deadTimeout)
		Expect(g.leader()).To(BeNil())
		g.heal(cut)
		for range 20 {
			if g.leader() == nil {
				g.run(joinInterval)
			}
		}
		electedAt := g.now
		l := g.leader()
		Expect(l.replica.IsSilent(electedAt, cut, electionTimeout)).To(BeFalse())
		g.run(2 * electionTimeout)
		Expect(g.leader().id).To(Equal(l.id))
		for _, id := range []string{gone, old} {
			Expect(g.leader().replica.IsSilent(g.now, id, deadTimeout)).To(BeTrue(), id)
		}
		for _, id := range others[1:] {
			Expect(g.leader().replica.IsSilent(g.now, id, electionTimeout)).To(BeFalse(), id)
		}
	})

	It("gives each member an election timeout to answer", func() {
		g := newGroup(4)
		old := g.leader().id
		others := slices.DeleteFunc(g.ids(), func(id string) bool { return id == old })
		g.crash(g.hosts[old])
		g.crash(g.hosts[others[0]])
		g.cutOff(others[1], true, true)
		g.run(deadTimeout)
		g.heal(others[1])
		for range 200 {
			if g.leader() == nil {
				g.runWithoutFaults(20 * time.Millisecond)
			}
		}
		Expect(g.leader().replica.IsSilent(g.now, old, deadTimeout)).To(BeFalse())
		g.start(g.hosts[old])
		g.start(g.hosts[others[0]])
		g.run(2 * electionTimeout)
		for _, id := range g.ids() {
			Expect(g.leader().replica.IsSilent(g.now, id, electionTimeout)).To(BeFalse(), id)
		}
	})
})
