package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A gang with one member that is being stopped", func() {
	member := func(index int, isStopping bool) allocation {
		return allocation{
			task: workflow.PlacedTask{
				RunKey: workflow.RunKey{
					TaskKey: workflow.TaskKey{
						Workflow: "gang",
						Index:    index,
					},
					Run: 1,
				},
				StepSpec: workflow.Step{
					IsGang: true,
				},
			},
			priority:   1,
			loss:       1,
			endsAt:     time.Unix(int64(index), 0),
			isStopping: isStopping,
		}
	}
	It("is a preemption candidate with its other members, except for work of the same priority", func() {
		n := &node{
			worker: pool.Worker{
				ID: "w",
			},
			allocations: []allocation{
				member(0, true),
				member(1, false),
				member(2, false),
			},
		}
		f := &fleet{
			nodes: []*node{
				n,
			},
		}
		groups := candidatesOf(f, 0)
		Expect(groups).To(HaveLen(1))
		for k, found := range groups {
			Expect(found.members).To(HaveLen(2), "the capacity of the first is being released already")
			Expect(found.loss).To(Equal(2.0))
			Expect(found.isProtected).To(BeFalse())
			Expect(found.endsAt).To(Equal(time.Unix(2, 0)))
			Expect(candidatesOn(f.nodes, groups)).To(Equal([]gangRun{k}))
		}
		Expect(candidatesOn(f.nodes, candidatesOf(f, 1))).To(BeEmpty(), "as urgent as the work that needs capacity")
	})
})
