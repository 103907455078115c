package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/workflow"

	plantainladder "github.com/plantainladder/plantainladder"
)

// givenUpText is the log line about a workflow under which workers crashed.
const givenUpText = "Workflow is given up, since workers crashed under one of its tasks."

// commitRun commits the placement of the only task of the workflow "w-1" and the end
// of its run. It returns the next core and the effects of the end.
func commitRun(now time.Time, c control.Core, run int, end workflow.RunEnd) (next control.Core, effects []control.Effect) {
	end.RunKey = workflow.RunKey{
		TaskKey: workflow.TaskKey{
			Workflow: "w-1",
		},
		Run: run,
	}
	c, _ = commit(now, c, plantainladder.Round{
		ID: uint64(2*run - 1),
		Placements: []workflow.Placement{
			{
				RunKey: end.RunKey,
				Worker: "a",
			},
		},
	})
	return commitWithEffects(now, c, plantainladder.Round{
		ID: uint64(2 * run),
		RunEnds: []workflow.RunEnd{
			end,
		},
	})
}

// crashLabels returns the labels with which crashes were counted.
func crashLabels(effects []control.Effect) (labels []string) {
	for _, f := range effects {
		if e, ok := f.(control.IncrementCounter); ok && e.Name == control.CounterRunCrashes {
			labels = append(labels, e.Label)
		}
	}
	return labels
}

// loggedTexts returns the texts of the logged decisions.
func loggedTexts(effects []control.Effect) (texts []string) {
	for _, f := range effects {
		if e, ok := f.(control.LogDecision); ok {
			texts = append(texts, e.Record.Text)
		}
	}
	return texts
}

var _ = Describe("A leader that records runs under which workers crashed", func() {
	var (
		now time.Time
		c   control.Core
	)
	BeforeEach(func() {
		now = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
		c = newDispatchCore(now)
		c, _ = commit(now, c, newQueueConfiguration())
		c, _ = commit(now, c, newSubmission("w-1"))
	})

	It("counts each crash by whether the run was alone, and logs that the workflow is given up", func() {
		var out []control.Effect
		for run, wasAlone := range []bool{false, true} {
			c, out = commitRun(now, c, run+1, workflow.RunEnd{
				EndReason: workflow.EndedCrashed,
				WasAlone:  wasAlone,
			})
			Expect(crashLabels(out)).To(Equal([]string{[]string{control.LabelShared, control.LabelAlone}[run]}))
			Expect(loggedTexts(out)).To(BeEmpty(), "not given up yet")
		}
		_, out = commitRun(now, c, 3, workflow.RunEnd{
			EndReason: workflow.EndedCrashed,
			WasAlone:  true,
		})
		Expect(crashLabels(out)).To(Equal([]string{control.LabelAlone}))
		Expect(loggedTexts(out)).To(Equal([]string{givenUpText}))
	})

	It("counts no repeated report of a crash", func() {
		end := workflow.RunEnd{
			EndReason: workflow.EndedCrashed,
		}
		c, out := commitRun(now, c, 1, end)
		Expect(crashLabels(out)).To(Equal([]string{control.LabelShared}))
		end.RunKey = workflow.RunKey{
			TaskKey: workflow.TaskKey{
				Workflow: "w-1",
			},
			Run: 1,
		}
		_, out = commitWithEffects(now, c, plantainladder.Round{
			ID: 3,
			RunEnds: []workflow.RunEnd{
				end,
			},
		})
		Expect(crashLabels(out)).To(BeEmpty())
	})

	It("counts silent workers by their fates, and logs that the workflow is given up once they had crashed", func() {
		var out []control.Effect
		for run := range 3 {
			c, out = commitRun(now, c, run+1, workflow.RunEnd{
				EndReason:     workflow.EndedLost,
				IsUnconfirmed: true,
				AwaitsVerdict: true,
				HasBegun:      true,
				WasAlone:      true,
			})
			Expect(crashLabels(out)).To(BeEmpty())
			Expect(loggedTexts(out)).To(BeEmpty())
		}
		verdict := plantainladder.Round{
			ID: 7,
			LossVerdicts: []workflow.LossVerdict{
				{
					TaskKey: workflow.TaskKey{
						Workflow: "w-1",
					},
					Worker: "a",
					Fate:   workflow.FateCrashed,
				},
			},
		}
		c, out = commitWithEffects(now, c, verdict)
		Expect(out).To(ContainElement(control.IncrementCounter{
			Name:  control.CounterLossVerdicts,
			Label: "crashed",
		}))
		Expect(loggedTexts(out)).To(Equal([]string{givenUpText}))
		_, out = commitWithEffects(now, c, verdict)
		Expect(out).NotTo(ContainElement(HaveField("Name", control.CounterLossVerdicts)), "repeated")
	})

	It("logs that a workflow is finished if its task failed by itself", func() {
		_, out := commitRun(now, c, 1, workflow.RunEnd{
			EndReason: workflow.EndedFailed,
		})
		Expect(crashLabels(out)).To(BeEmpty())
		Expect(loggedTexts(out)).To(Equal([]string{"Workflow is finished."}))
	})
})
