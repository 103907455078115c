package workflow_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

// largeGang returns a workflow with a large gang and its placements.
func largeGang() (w workflow.Workflow, list []workflow.Placement) {
	gang := newStep(256)
	gang.IsGang = true
	w = newWorkflow(gang)
	for i := range gang.Tasks {
		list = append(list, newPlacement(taskKey(0, i), w.NextRun(taskKey(0, i))))
	}
	return w, list
}

// Every controller applies a round in one step of its event loop. One that copies all
// members of a gang for each of them holds up the loop by the square of their number.
var _ = Describe("The placements of a gang", func() {
	It("are applied with one copy of the members, and one allocation for the state of each", func() {
		w, list := largeGang()
		Expect(testing.AllocsPerRun(10, func() { w.WithPlacements(now, list) })).To(BeNumerically("<", len(list)+16))
	})

	It("place each member and leave the workflow before them as it was", func() {
		w, list := largeGang()
		placed := withPlacements(w, list...)
		Expect(w.PlacedTasks()).To(BeEmpty())
		Expect(w.HasStarted).To(BeFalse())
		Expect(placed.HasStarted).To(BeTrue())
		var runs []workflow.RunKey
		for _, t := range placed.PlacedTasks() {
			Expect(t.Placed).To(Equal(workflow.Placed{
				Worker:      "w",
				Incarnation: 1,
				At:          now,
			}))
			runs = append(runs, t.RunKey)
		}
		Expect(runs).To(HaveLen(len(list)))
		for i, p := range list {
			Expect(runs[i]).To(Equal(p.RunKey))
		}
	})

	It("change nothing if one of them is not allowed", func() {
		w, list := largeGang()
		list[200].Run++
		refused, ok := w.WithPlacements(now, list)
		Expect(ok).To(BeFalse())
		Expect(refused).To(Equal(w))
	})

	It("are refused if a member that they name does not exist", func() {
		w, list := largeGang()
		list[200].Index = len(list)
		refused, ok := w.WithPlacements(now, list)
		Expect(ok).To(BeFalse())
		Expect(refused).To(Equal(w))
	})

	It("are refused while a task of a step that is no gang is placed already", func() {
		w := newWorkflow(newStep(3))
		w = withPlacements(w, newPlacement(taskKey(0, 1), 1))
		for _, run := range []int{1, 2} {
			_, ok := w.WithPlacements(now, []workflow.Placement{
				newPlacement(taskKey(0, 0), 1),
				newPlacement(taskKey(0, 1), run),
			})
			Expect(ok).To(BeFalse())
		}
		withPlacements(w, newPlacement(taskKey(0, 0), 1), newPlacement(taskKey(0, 2), 1))
	})

	It("are refused for an occurrence that the workflow does not have", func() {
		w, list := largeGang()
		for i := range list {
			list[i].Occurrence = 1
		}
		refused, ok := w.WithPlacements(now, list)
		Expect(ok).To(BeFalse())
		Expect(refused).To(Equal(w))
	})
})

func BenchmarkWithPlacements(b *testing.B) {
	b.ReportAllocs()
	w, list := largeGang()
	for range b.N {
		w.WithPlacements(now, list)
	}
}
