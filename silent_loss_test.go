package plantainladder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A silent loss", func() {
	It("is kept by a snapshot until there is a verdict", func() {
		r := newReplica()
		r.putContract(newContract())
		r.apply("", newConfiguration())
		r.apply("", newSubmission())
		k := workflow.RunKey{
			TaskKey: workflow.TaskKey{
				Workflow: "f",
			},
			Run: 1,
		}
		r.apply("", plantainladder.Round{
			ID: 1,
			Placements: []workflow.Placement{
				{
					RunKey:      k,
					Worker:      "w",
					Incarnation: 7,
				},
			},
		})
		r.apply("", plantainladder.Round{
			ID: 2,
			RunEnds: []workflow.RunEnd{
				{
					RunKey:        k,
					EndReason:     workflow.EndedLost,
					IsUnconfirmed: true,
					AwaitsVerdict: true,
					HasBegun:      true,
				},
			},
		})
		restored, err := wire.UnmarshalState(encode(r.state))
		Expect(err).NotTo(HaveOccurred())
		Expect(encode(restored)).To(Equal(encode(r.state)))
		r.state = restored
		r.apply("", plantainladder.Round{
			ID: 3,
			LossVerdicts: []workflow.LossVerdict{
				{
					TaskKey:     k.TaskKey,
					Worker:      "w",
					Incarnation: 7,
					Fate:        workflow.FateAlive,
				},
			},
		})
		w, _ := r.state.Workflow("f")
		t, _ := w.Task(k.TaskKey)
		Expect(t.Crashes).To(BeZero())
		Expect(t.UnresolvedLosses).To(BeEmpty())
	})
})
