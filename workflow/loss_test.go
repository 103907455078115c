package workflow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

// afterSilentLoss returns w after a run of its only task was lost with a worker that
// was out of reach. The incarnation of the worker is the number of the run.
func afterSilentLoss(w workflow.Workflow, hasBegun bool) workflow.Workflow {
	GinkgoHelper()
	k := taskKey(0, 0)
	p := newPlacement(k, w.NextRun(k))
	p.Incarnation = int64(p.Run)
	w = withPlacements(w, p)
	e := newRunEnd(k, p.Run, workflow.EndedLost)
	e.IsUnconfirmed, e.AwaitsVerdict, e.HasBegun, e.WasAlone = true, true, hasBegun, true
	return w.WithRunEnd(now, e)
}

// afterVerdict returns w after the verdict on the silent loss of a run.
func afterVerdict(w workflow.Workflow, run int, fate workflow.WorkerFate) workflow.Workflow {
	return w.WithLossVerdict(now, workflow.LossVerdict{
		TaskKey:     taskKey(0, 0),
		Worker:      newPlacement(taskKey(0, 0), run).Worker,
		Incarnation: int64(run),
		Fate:        fate,
	})
}

func onlyTask(w workflow.Workflow) workflow.Task {
	GinkgoHelper()
	t, ok := w.Task(taskKey(0, 0))
	Expect(ok).To(BeTrue())
	return t
}

var _ = Describe("A task that loses runs with workers out of reach", func() {
	// Guards against network partitions that are taken for crashes.
	It("is neither a suspect nor given up, however many there are", func() {
		w := newWorkflow(newStep(1))
		for range 12 {
			w = afterSilentLoss(w, true)
			Expect(w.IsOpen()).To(BeTrue())
			Expect(w.HasSuspect()).To(BeFalse())
		}
	})

	It("is isolated from when a verdict makes it a suspect", func() {
		w := afterSilentLoss(afterSilentLoss(newWorkflow(newStep(1)), true), true)
		Expect(onlyTask(w).IsIsolated(now)).To(BeFalse())
		later := now.Add(time.Minute)
		w = w.WithLossVerdict(later, workflow.LossVerdict{
			TaskKey:     taskKey(0, 0),
			Worker:      newPlacement(taskKey(0, 0), 1).Worker,
			Incarnation: 1,
			Fate:        workflow.FateCrashed,
		})
		Expect(onlyTask(w).IsIsolated(later)).To(BeTrue())
	})

	It("awaits a verdict after the fifth, and none once a worker was only cut off", func() {
		w := newWorkflow(newStep(1))
		for run := range 5 {
			w = afterSilentLoss(w, true)
			Expect(onlyTask(w).AwaitsVerdict()).To(Equal(run == 4))
		}
		w = afterVerdict(w, 2, workflow.FateAlive)
		t := onlyTask(w)
		Expect(t.AwaitsVerdict()).To(BeFalse())
		Expect(t.Crashes).To(Equal(4))
		Expect(t.UnresolvedLosses).To(HaveLen(4))
	})

	It("is as if nothing had happened once all of them are back", func() {
		w := afterSilentLoss(afterSilentLoss(newWorkflow(newStep(1)), true), false)
		w = afterVerdict(afterVerdict(w, 1, workflow.FateAlive), 2, workflow.FateAlive)
		t := onlyTask(w)
		Expect(t.Crashes).To(BeZero())
		Expect(t.UnconfirmedCrashes).To(BeZero())
		Expect(t.SilentLosses).To(BeZero())
	})

	It("is given up at the third crash if two of them are confirmed afterwards", func() {
		w := newWorkflow(newStep(1))
		for range 3 {
			w = afterSilentLoss(w, true)
		}
		w = afterVerdict(w, 1, workflow.FateCrashed)
		Expect(w.IsOpen()).To(BeTrue())
		w = afterVerdict(w, 2, workflow.FateCrashed)
		Expect(w.Phase).To(Equal(workflow.Failed{
			At:    now,
			Cause: workflow.EndedCrashed,
		}))
	})

	It("is given up at the fifth if two of them are crashes under runs that may not have begun", func() {
		w := newWorkflow(newStep(1))
		for range 5 {
			w = afterSilentLoss(w, false)
		}
		w = afterVerdict(w, 1, workflow.FateCrashed)
		Expect(w.IsOpen()).To(BeTrue())
		w = afterVerdict(w, 2, workflow.FateCrashed)
		Expect(w.Status()).To(Equal(workflow.StatusFailed))
	})

	It("may start again if the fate of no worker can be found out", func() {
		w := newWorkflow(newStep(1))
		for range 5 {
			w = afterSilentLoss(w, true)
		}
		for run := range 5 {
			w = afterVerdict(w, run+1, workflow.FateUnknown)
		}
		t := onlyTask(w)
		Expect(t.AwaitsVerdict()).To(BeFalse())
		Expect(t.Crashes).To(Equal(5))
		Expect(w.IsOpen()).To(BeTrue())
		Expect(onlyTask(afterSilentLoss(w, true)).AwaitsVerdict()).To(BeTrue())
	})

	It("is not given up by a verdict after it has succeeded", func() {
		w := newWorkflow(newStep(1))
		for range 3 {
			w = afterSilentLoss(w, true)
		}
		w = withPlacements(w, newPlacement(taskKey(0, 0), 4))
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 0), 4, workflow.EndedDone))
		for run := range 3 {
			w = afterVerdict(w, run+1, workflow.FateCrashed)
		}
		Expect(w.Status()).To(Equal(workflow.StatusCompleted))
	})

	It("ignores a verdict on another worker, and a repeated one", func() {
		w := afterSilentLoss(newWorkflow(newStep(1)), true)
		Expect(afterVerdict(w, 2, workflow.FateCrashed)).To(Equal(w))
		w = afterVerdict(w, 1, workflow.FateCrashed)
		Expect(onlyTask(w).UnconfirmedCrashes).To(BeZero())
		Expect(afterVerdict(w, 1, workflow.FateAlive)).To(Equal(w))
	})
})
