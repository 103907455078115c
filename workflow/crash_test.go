package workflow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

// afterCrash returns w after a worker crashed under a new run of the first of
// tasks, and the others were lost with their gang.
func afterCrash(w workflow.Workflow, wasAlone bool, tasks ...int) workflow.Workflow {
	GinkgoHelper()
	run := w.NextRun(taskKey(0, tasks[0]))
	var list []workflow.Placement
	for _, i := range tasks {
		list = append(list, newPlacement(taskKey(0, i), run))
	}
	w = withPlacements(w, list...)
	e := newRunEnd(taskKey(0, tasks[0]), run, workflow.EndedCrashed)
	e.WasAlone = wasAlone
	w = w.WithRunEnd(now, e)
	for _, i := range tasks[1:] {
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, i), run, workflow.EndedGangAborted))
	}
	return w
}

var _ = Describe("A task under which workers crash", func() {
	It("is a suspect after two crashes and given up after the third if it was alone there", func() {
		w := afterCrash(newWorkflow(newStep(1)), true, 0)
		Expect(w.HasSuspect()).To(BeFalse())
		w = afterCrash(w, false, 0)
		Expect(w.HasSuspect()).To(BeTrue())
		Expect(w.CanPlace(now, taskKey(0, 0))).To(BeTrue())
		w = afterCrash(w, true, 0)
		Expect(w.Status()).To(Equal(workflow.StatusFailed))
		Expect(w.Phase).To(Equal(workflow.Failed{
			At:    now,
			Cause: workflow.EndedCrashed,
		}))
	})

	It("is isolated for 2 s after the crash, and not by a crash that is yet to come", func() {
		w := afterCrash(afterCrash(newWorkflow(newStep(1)), false, 0), false, 0)
		Expect(onlyTask(w).IsIsolated(now)).To(BeTrue())
		Expect(onlyTask(w).IsIsolated(now.Add(2*time.Second - time.Millisecond))).To(BeTrue())
		Expect(onlyTask(w).IsIsolated(now.Add(2 * time.Second))).To(BeFalse())
		Expect(onlyTask(w).IsIsolated(now.Add(-time.Millisecond))).To(BeFalse())
	})

	It("is not given up before two crashes under runs that had certainly begun", func() {
		w := newWorkflow(newStep(1))
		for run := range 3 {
			w = withPlacements(w, newPlacement(taskKey(0, 0), run+1))
			e := newRunEnd(taskKey(0, 0), run+1, workflow.EndedCrashed)
			e.WasAlone, e.IsUnconfirmed = run == 2, run < 2
			w = w.WithRunEnd(now, e)
		}
		Expect(w.IsOpen()).To(BeTrue())
		w = afterCrash(w, true, 0)
		Expect(w.Status()).To(Equal(workflow.StatusFailed))
	})

	It("is given up after the fifth crash even if it was never alone", func() {
		w := newWorkflow(newStep(1))
		for range 4 {
			w = afterCrash(w, false, 0)
			Expect(w.IsOpen()).To(BeTrue())
		}
		w = afterCrash(w, false, 0)
		Expect(w.Status()).To(Equal(workflow.StatusFailed))
	})

	It("does not make the other tasks of its step suspects", func() {
		w := newWorkflow(newStep(2))
		for range 3 {
			w = afterCrash(w, false, 0)
		}
		w = afterCrash(w, true, 1)
		Expect(w.IsOpen()).To(BeTrue())
		t, _ := w.Task(taskKey(0, 1))
		Expect(t.IsSuspect()).To(BeFalse())
	})

	It("fails its gang, in which each member is counted for itself", func() {
		gang := newStep(2)
		gang.IsGang = true
		w := newWorkflow(gang)
		w = afterCrash(w, true, 0, 1)
		w = afterCrash(w, true, 1, 0)
		w = afterCrash(w, true, 0, 1)
		Expect(w.IsOpen()).To(BeTrue())
		w = afterCrash(w, true, 0, 1)
		Expect(w.Status()).To(Equal(workflow.StatusFailed))
	})

	It("is not blamed for a worker that is in contact but takes no orders", func() {
		w := newWorkflow(newStep(1))
		for run := range 6 {
			w = withPlacements(w, newPlacement(taskKey(0, 0), run+1))
			w = w.WithRunEnd(now, newRunEnd(taskKey(0, 0), run+1, workflow.EndedLost))
		}
		Expect(w.IsOpen()).To(BeTrue())
		Expect(w.HasSuspect()).To(BeFalse())
	})
})
