package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/workflow"

	plantainladder "github.com/plantainladder/plantainladder"
)

// endedText is the log line about a run whose worker is not known.
const endedText = "Run counts as ended without a report from its worker."

// A leader whose disk was full logged ends of runs that were never committed, and the next
// leader logged the same ends again.
var _ = Describe("The decisions of a round", func() {
	var (
		now time.Time
		c   control.Core
		out []control.Effect
	)

	step := func(e control.Event) {
		c, out = c.Step(now, e)
	}
	// sync makes all entries durable.
	sync := func() {
		step(control.EntriesSynced{
			Index: c.Replica().Log().LastIndex(),
			Term:  c.Replica().Log().LastTerm(),
		})
	}
	ends := func() (list []control.LogDecision) {
		for _, f := range out {
			if d, ok := f.(control.LogDecision); ok && d.Record.Text == endedText {
				list = append(list, d)
			}
		}
		return list
	}
	unseen := func() (list []control.LogUnseenRound) {
		for _, f := range out {
			if r, ok := f.(control.LogUnseenRound); ok {
				list = append(list, r)
			}
		}
		return list
	}

	// A run is placed on a worker that nobody knows.
	BeforeEach(func() {
		now = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
		c, _ = commit(now, newDispatchCore(now), newQueueConfiguration())
		c, _ = commit(now, c, newSubmission("w-1"))
		c, _ = commit(now, c, plantainladder.Round{
			ID: 1,
			Placements: []workflow.Placement{
				{
					RunKey: workflow.RunKey{
						TaskKey: workflow.TaskKey{
							Workflow: "w-1",
						},
						Run: 1,
					},
					Worker: "a",
				},
			},
		})
		now = now.Add(time.Second)
	})

	It("are logged once it is committed, with its entry", func() {
		step(control.Tick{})
		Expect(ends()).To(BeEmpty(), "proposed only")
		index := c.Replica().Log().LastIndex()
		Expect(index).To(Equal(c.Replica().CommitIndex() + 1))
		now = now.Add(700 * time.Millisecond)
		sync()
		Expect(ends()).To(HaveLen(1))
		Expect(ends()[0].Commit).To(Equal(control.RoundCommit{
			Round: c.State().LastRound(),
			Index: index,
			Took:  700 * time.Millisecond,
		}))
	})

	It("are logged once if it is proposed again and both rounds are committed", func() {
		step(control.Tick{})
		now = now.Add(4 * time.Second)
		step(control.Tick{})
		Expect(c.Replica().Log().LastIndex()).To(Equal(c.Replica().CommitIndex() + 2))
		sync()
		Expect(ends()).To(HaveLen(1))
		Expect(ends()[0].Commit.Took).To(Equal(4 * time.Second))
		Expect(ends()[0].Commit.Index).To(Equal(c.Replica().CommitIndex() - 1))
	})

	It("are not logged if the leadership ends first; one line says that", func() {
		step(control.Tick{})
		now = now.Add(time.Second)
		step(control.PeerMessageReceived{
			Message: consensus.Message{
				From:  "b",
				To:    "a",
				Group: "g",
				Term:  99,
				Body:  consensus.KeepAlive{},
			},
		})
		Expect(c.Replica().IsLeader()).To(BeFalse())
		Expect(ends()).To(BeEmpty())
		Expect(unseen()).To(HaveLen(1))
		Expect(unseen()[0]).To(And(
			HaveField("Reason", control.UnseenLeadershipEnded),
			HaveField("Ends", 1),
			HaveField("Placements", 0),
			HaveField("Age", time.Second),
		))
	})

	It("are not logged if the log refuses it; one line says that", func() {
		step(control.Tick{})
		for c.Replica().Log().LastIndex() < c.Replica().CommitIndex()+100 {
			step(control.Submit{
				Command: newSubmission("w-2"),
			})
		}
		now = now.Add(4 * time.Second)
		step(control.Tick{})
		Expect(unseen()).To(HaveExactElements(And(
			HaveField("Reason", control.UnseenRefused),
			HaveField("Ends", 1),
		)))
		sync()
		Expect(ends()).To(HaveExactElements(HaveField("Commit.Took", 4*time.Second)), "those of the round before")
	})
})
