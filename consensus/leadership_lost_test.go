package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
)

// Without its cause, the log does not tell a leader that nobody answers from one that was
// replaced.
var _ = Describe("The loss of a leadership", func() {
	lossOf := func(effects []consensus.Effect) (losses []consensus.LeadershipLost) {
		for _, f := range effects {
			if lost, ok := f.(consensus.LeadershipLost); ok {
				losses = append(losses, lost)
			}
		}
		return losses
	}

	It("is reported with the member that has a later term", func() {
		c := newFormedCluster(3)
		leader := c.leader()
		_, effects := leader.replica.Step(c.now, consensus.MessageReceived{
			Message: consensus.Message{
				From:  "c3",
				To:    leader.id,
				Group: "g",
				Term:  leader.replica.Hard().Term + 1,
				Body:  consensus.AppendReply{},
			},
		})
		Expect(lossOf(effects)).To(ConsistOf(And(
			HaveField("Term", leader.replica.Hard().Term),
			HaveField("Cause", consensus.LostLaterTerm),
			HaveField("By", "c3"),
			HaveField("IsEstablished", true),
		)))
	})

	It("is reported with the time since a majority answered", func() {
		c := newFormedCluster(3)
		leader := c.leader()
		silentSince := c.now
		var losses []consensus.LeadershipLost
		for len(losses) == 0 && c.now.Sub(silentSince) < 10*electionTimeout {
			c.now = c.now.Add(tickInterval)
			var effects []consensus.Effect
			leader.replica, effects = leader.replica.Step(c.now, consensus.Tick{})
			losses = lossOf(effects)
		}
		Expect(losses).To(ConsistOf(And(
			HaveField("Cause", consensus.LostMajority),
			HaveField("By", ""),
			HaveField("ContactAge", BeNumerically("~", c.now.Sub(silentSince), 2*heartbeat)),
		)))
	})

	It("is reported when it is handed over", func() {
		c := newFormedCluster(3)
		leader := c.leader()
		c.step(leader, consensus.TransferLeadership{})
		before := leader.replica
		c.now = c.now.Add(2 * electionTimeout)
		_, effects := before.Step(c.now, consensus.Tick{})
		Expect(lossOf(effects)).To(ConsistOf(HaveField("Cause", consensus.LostTransfer)))
		Expect(lossOf(effects)[0].Duration).To(BeNumerically(">", time.Second))
	})
})
