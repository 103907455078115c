package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// A learner cannot tell apart the entries of two leaderships in one term.
var _ = Describe("The only voter of a group", func() {
	It("does not lead the same term twice with other entries if it restarts", func() {
		c := newCluster(2, config(""))
		voter, learner := c.hosts["c1"], c.hosts["c2"]
		c.step(voter, consensus.FormGroup{
			Group: "g",
			Self: member.Member{
				ID:      voter.id,
				Address: voter.id,
			},
		})
		c.runWithoutFaults(time.Second)
		learner.isFull = true
		c.step(voter, consensus.ChangeMembers{
			Change: member.Add{
				Member: member.Member{
					ID:      learner.id,
					Address: learner.id,
				},
			},
		})
		c.runWithoutFaults(time.Second)
		learner.isFull = false
		c.sync(learner)
		Expect(c.leader().replica.Members().IsVoter(learner.id)).To(BeFalse())

		for _, command := range []string{"x", "y"} {
			c.crash(voter)
			c.start(voter)
			voter.isFull = true
			for range 20 {
				c.now = c.now.Add(tickInterval)
				c.step(voter, consensus.Tick{})
				c.deliverAll()
			}
			c.propose(voter, command)
			c.deliverAll()
		}
		voter.isFull = false
		c.runWithoutFaults(3 * time.Second)
		Expect(c.violations).To(BeEmpty())
		Expect(c.leader().replica.Members().IsVoter(learner.id)).To(BeTrue())
	})
})
