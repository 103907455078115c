package workflow_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

func TestWorkflow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "workflow")
}

var now = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func newStep(tasks int) workflow.Step {
	return workflow.Step{
		Tasks: tasks,
		PerTask: pool.ResourceVector{
			MilliCores: 1000,
		},
		DeclaredRunTime: time.Second,
	}
}

func newWorkflow(steps ...workflow.Step) workflow.Workflow {
	return workflow.New(now, workflow.Spec{
		ID:    "f",
		Steps: steps,
	}, workflow.QueueSettings{
		MaxAttempts: 2,
		Stretch:     2,
		Slack:       time.Second,
	})
}

func taskKey(step, index int) workflow.TaskKey {
	return workflow.TaskKey{
		Workflow: "f",
		Step:     step,
		Index:    index,
	}
}

func newPlacement(k workflow.TaskKey, run int) workflow.Placement {
	return workflow.Placement{
		RunKey: workflow.RunKey{
			TaskKey: k,
			Run:     run,
		},
		Worker:      "w",
		Incarnation: 1,
	}
}

func newRunEnd(k workflow.TaskKey, run int, reason workflow.EndReason) workflow.RunEnd {
	return workflow.RunEnd{
		RunKey: workflow.RunKey{
			TaskKey: k,
			Run:     run,
		},
		EndReason: reason,
	}
}

// withPlacements returns w with the placements, which must be allowed.
func withPlacements(w workflow.Workflow, list ...workflow.Placement) workflow.Workflow {
	GinkgoHelper()
	next, ok := w.WithPlacements(now, list)
	Expect(ok).To(BeTrue())
	return next
}

var _ = Describe("A workflow", func() {
	It("places the tasks of a step only once its dependencies have succeeded", func() {
		second := newStep(1)
		second.Dependencies = []int{0}
		w := newWorkflow(newStep(2), second)
		Expect(w.CanPlace(now, taskKey(1, 0))).To(BeFalse())
		w = withPlacements(w, newPlacement(taskKey(0, 0), 1), newPlacement(taskKey(0, 1), 1))
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 0), 1, workflow.EndedDone))
		Expect(w.CanPlace(now, taskKey(1, 0))).To(BeFalse())
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 1), 1, workflow.EndedDone))
		Expect(w.CanPlace(now, taskKey(1, 0))).To(BeTrue())
		w = withPlacements(w, newPlacement(taskKey(1, 0), 1))
		w = w.WithRunEnd(now, newRunEnd(taskKey(1, 0), 1, workflow.EndedDone))
		Expect(w.Status()).To(Equal(workflow.StatusCompleted))
		Expect(w.IsInactive()).To(BeTrue())
	})

	It("never has two runs of a task at once and never reuses a run number", func() {
		w := withPlacements(newWorkflow(newStep(1)), newPlacement(taskKey(0, 0), 1))
		_, ok := w.WithPlacements(now, []workflow.Placement{
			newPlacement(taskKey(0, 0), 2),
		})
		Expect(ok).To(BeFalse())
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 0), 1, workflow.EndedLost))
		_, ok = w.WithPlacements(now, []workflow.Placement{
			newPlacement(taskKey(0, 0), 1),
		})
		Expect(ok).To(BeFalse())
		w = withPlacements(w, newPlacement(taskKey(0, 0), 2))
		Expect(w.AcceptsEnd(newRunEnd(taskKey(0, 0), 1, workflow.EndedDone))).To(BeFalse())
	})

	It("places all members of a gang together, in a run of the same number", func() {
		gang := newStep(2)
		gang.IsGang = true
		w := newWorkflow(gang)
		_, ok := w.WithPlacements(now, []workflow.Placement{
			newPlacement(taskKey(0, 0), 1),
		})
		Expect(ok).To(BeFalse())
		w = withPlacements(w, newPlacement(taskKey(0, 0), 1), newPlacement(taskKey(0, 1), 1))
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 0), 1, workflow.EndedStopped))
		Expect(w.CanPlace(now, taskKey(0, 0))).To(BeFalse(), "the other member is still placed")
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 1), 1, workflow.EndedGangAborted))
		Expect(w.NextRun(taskKey(0, 0))).To(Equal(2))
		Expect(w.CanPlace(now, taskKey(0, 0))).To(BeTrue())
	})

	It("completes once one member of a gang succeeds, but keeps the placements of the others", func() {
		gang := newStep(2)
		gang.IsGang = true
		w := withPlacements(newWorkflow(gang), newPlacement(taskKey(0, 0), 1), newPlacement(taskKey(0, 1), 1))
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 1), 1, workflow.EndedDone))
		Expect(w.Status()).To(Equal(workflow.StatusCompleted))
		Expect(w.IsInactive()).To(BeFalse())
		Expect(w.PlacedTasks()).To(HaveLen(1))
		Expect(w.PlacedTasks()[0].IsNeeded).To(BeTrue())
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 0), 1, workflow.EndedDone))
		Expect(w.IsInactive()).To(BeTrue())
	})

	It("fails once a task has failed MaxAttempts times; other ends of runs do not count", func() {
		w := newWorkflow(newStep(1))
		for run, reason := range []workflow.EndReason{
			workflow.EndedLeaseExpired, workflow.EndedFailed, workflow.EndedStopped, workflow.EndedFailed,
		} {
			Expect(w.Status()).NotTo(Equal(workflow.StatusFailed))
			w = withPlacements(w, newPlacement(taskKey(0, 0), run+1))
			w = w.WithRunEnd(now, newRunEnd(taskKey(0, 0), run+1, reason))
		}
		Expect(w.Status()).To(Equal(workflow.StatusFailed))
	})

	It("counts failures of several members of a gang in the same run once", func() {
		gang := newStep(2)
		gang.IsGang = true
		w := withPlacements(newWorkflow(gang), newPlacement(taskKey(0, 0), 1), newPlacement(taskKey(0, 1), 1))
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 0), 1, workflow.EndedFailed))
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 1), 1, workflow.EndedFailed))
		Expect(w.IsOpen()).To(BeTrue())
		w = withPlacements(w, newPlacement(taskKey(0, 0), 2), newPlacement(taskKey(0, 1), 2))
		w = w.WithRunEnd(now, newRunEnd(taskKey(0, 0), 2, workflow.EndedFailed))
		Expect(w.Status()).To(Equal(workflow.StatusFailed))
	})

	It("places no task once it is cancelled, and needs none of its runs", func() {
		w := withPlacements(newWorkflow(newStep(2)), newPlacement(taskKey(0, 0), 1)).WithCancelled(now)
		Expect(w.CanPlace(now, taskKey(0, 1))).To(BeFalse())
		Expect(w.PlacedTasks()[0].IsNeeded).To(BeFalse())
		Expect(w.WithRunEnd(now, newRunEnd(taskKey(0, 0), 1, workflow.EndedDone)).Status()).To(Equal(workflow.StatusCancelled))
	})

	It("starts an occurrence once it is due, even while an earlier one is not done", func() {
		w := newWorkflow(newStep(1))
		w.Spec.Repetitions, w.Spec.FirstAt, w.Spec.Interval = 2, now.Add(time.Second), time.Second
		Expect(w.DueOccurrences(now)).To(BeZero())
		Expect(w.CanPlace(now, taskKey(0, 0))).To(BeFalse())
		then := now.Add(2 * time.Second)
		Expect(w.DueOccurrences(then)).To(Equal(2))
		second := taskKey(0, 0)
		second.Occurrence = 1
		w, ok := w.WithPlacements(then, []workflow.Placement{
			newPlacement(second, 1),
		})
		Expect(ok).To(BeTrue())
		w = w.WithRunEnd(then, newRunEnd(second, 1, workflow.EndedDone))
		Expect(w.IsOpen()).To(BeTrue())
		w, _ = w.WithPlacements(then, []workflow.Placement{
			newPlacement(taskKey(0, 0), 1),
		})
		Expect(w.WithRunEnd(then, newRunEnd(taskKey(0, 0), 1, workflow.EndedDone)).Status()).To(Equal(workflow.StatusCompleted))
	})

	It("resumes a task from its own checkpoint and a gang from the last one of any member", func() {
		gang := newStep(2)
		gang.IsGang = true
		w := withPlacements(newWorkflow(newStep(2), gang), newPlacement(taskKey(0, 0), 1))
		w = withPlacements(w, newPlacement(taskKey(1, 0), 1), newPlacement(taskKey(1, 1), 1))
		saved := newRunEnd(taskKey(0, 0), 1, workflow.EndedStopped)
		saved.Checkpoint = "c0"
		w = w.WithRunEnd(now, saved)
		saved = newRunEnd(taskKey(1, 1), 1, workflow.EndedStopped)
		saved.Checkpoint = "c1"
		w = w.WithRunEnd(now, saved)
		Expect(w.ResumeCheckpoint(taskKey(0, 0))).To(Equal("c0"))
		Expect(w.ResumeCheckpoint(taskKey(0, 1))).To(BeEmpty())
		Expect(w.ResumeCheckpoint(taskKey(1, 0))).To(Equal("c1"))
	})

	It("computes its critical path and its target completion", func() {
		second := newStep(1)
		second.Dependencies = []int{0}
		w := newWorkflow(newStep(3), second, newStep(1))
		Expect(w.Spec.CriticalPath(nil)).To(Equal(2 * time.Second))
		Expect(w.TargetCompletion(0, nil)).To(Equal(now.Add(5 * time.Second)))
	})

	DescribeTable("reports the field whose value is not allowed", func(change func(s *workflow.Spec), field string) {
		s := newWorkflow(newStep(1), newStep(1)).Spec
		change(&s)
		err := s.Check()
		Expect(err).NotTo(BeNil())
		Expect(err.Field).To(Equal(field))
	},
		Entry("no identifier", func(s *workflow.Spec) { s.ID = "" }, "id"),
		Entry("an identifier with a dot", func(s *workflow.Spec) { s.ID = "a.b" }, "id"),
		Entry("no steps", func(s *workflow.Spec) { s.Steps = nil }, "steps"),
		Entry("no tasks", func(s *workflow.Spec) { s.Steps[1].Tasks = 0 }, "steps[1].tasks"),
		Entry("a later step", func(s *workflow.Spec) { s.Steps[0].Dependencies = []int{1} }, "steps[0].after"),
		Entry("negative resources", func(s *workflow.Spec) { s.Steps[0].PerTask.MemoryMB = -1 }, "steps[0].each"),
		Entry("a long payload", func(s *workflow.Spec) { s.Payload = string(make([]byte, 4001)) }, "payload"),
	)
})
