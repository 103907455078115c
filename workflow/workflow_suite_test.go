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

func newFlow(steps ...workflow.Step) workflow.Workflow {
	return workflow.New(now, workflow.Spec{
		ID:    "f",
		Steps: steps,
	}, workflow.QueueSettings{
		MaxAttempts: 2,
		Stretch:     2,
		Slack:       time.Second,
	})
}

func key(step, index int) workflow.TaskKey {
	return workflow.TaskKey{
		Workflow: "f",
		Step:     step,
		Index:    index,
	}
}

func place(k workflow.TaskKey, run int) workflow.Placement {
	return workflow.Placement{
		RunKey: workflow.RunKey{
			TaskKey: k,
			Run:     run,
		},
		Worker:      "w",
		Incarnation: 1,
	}
}

func end(k workflow.TaskKey, run int, how workflow.EndReason) workflow.RunEnd {
	return workflow.RunEnd{
		RunKey: workflow.RunKey{
			TaskKey: k,
			Run:     run,
		},
		EndReason: how,
	}
}

// placed returns w with places, which must be allowed.
func placed(w workflow.Workflow, list ...workflow.Placement) workflow.Workflow {
	GinkgoHelper()
	next, ok := w.WithPlacements(now, list)
	Expect(ok).To(BeTrue())
	return next
}

var _ = Describe("A workflow", func() {
	It("places tasks only once the steps before have ended well", func() {
		second := newStep(1)
		second.Dependencies = []int{0}
		w := newFlow(newStep(2), second)
		Expect(w.CanPlace(now, key(1, 0))).To(BeFalse())
		w = placed(w, place(key(0, 0), 1), place(key(0, 1), 1))
		w = w.WithRunEnd(now, end(key(0, 0), 1, workflow.EndedDone))
		Expect(w.CanPlace(now, key(1, 0))).To(BeFalse())
		w = w.WithRunEnd(now, end(key(0, 1), 1, workflow.EndedDone))
		Expect(w.CanPlace(now, key(1, 0))).To(BeTrue())
		w = placed(w, place(key(1, 0), 1))
		w = w.WithRunEnd(now, end(key(1, 0), 1, workflow.EndedDone))
		Expect(w.Status()).To(Equal(workflow.StatusCompleted))
		Expect(w.IsInactive()).To(BeTrue())
	})

	It("never has two runs of a task, and never repeats a run's number", func() {
		w := placed(newFlow(newStep(1)), place(key(0, 0), 1))
		_, ok := w.WithPlacements(now, []workflow.Placement{
			place(key(0, 0), 2),
		})
		Expect(ok).To(BeFalse())
		w = w.WithRunEnd(now, end(key(0, 0), 1, workflow.EndedLost))
		_, ok = w.WithPlacements(now, []workflow.Placement{
			place(key(0, 0), 1),
		})
		Expect(ok).To(BeFalse())
		w = placed(w, place(key(0, 0), 2))
		Expect(w.AcceptsEnd(end(key(0, 0), 1, workflow.EndedDone))).To(BeFalse())
	})

	It("places a gang whole or not at all, in one run", func() {
		gang := newStep(2)
		gang.IsGang = true
		w := newFlow(gang)
		_, ok := w.WithPlacements(now, []workflow.Placement{
			place(key(0, 0), 1),
		})
		Expect(ok).To(BeFalse())
		w = placed(w, place(key(0, 0), 1), place(key(0, 1), 1))
		w = w.WithRunEnd(now, end(key(0, 0), 1, workflow.EndedStopped))
		Expect(w.CanPlace(now, key(0, 0))).To(BeFalse(), "the other member has its place")
		w = w.WithRunEnd(now, end(key(0, 1), 1, workflow.EndedGangAborted))
		Expect(w.NextRun(key(0, 0))).To(Equal(2))
		Expect(w.CanPlace(now, key(0, 0))).To(BeTrue())
	})

	It("takes one good end of a gang for all, but keeps the room of the others", func() {
		gang := newStep(2)
		gang.IsGang = true
		w := placed(newFlow(gang), place(key(0, 0), 1), place(key(0, 1), 1))
		w = w.WithRunEnd(now, end(key(0, 1), 1, workflow.EndedDone))
		Expect(w.Status()).To(Equal(workflow.StatusCompleted))
		Expect(w.IsInactive()).To(BeFalse())
		Expect(w.PlacedTasks()).To(HaveLen(1))
		Expect(w.PlacedTasks()[0].IsNeeded).To(BeTrue())
		w = w.WithRunEnd(now, end(key(0, 0), 1, workflow.EndedDone))
		Expect(w.IsInactive()).To(BeTrue())
	})

	It("fails once a task has failed too often; other ends do not count", func() {
		w := newFlow(newStep(1))
		for run, how := range []workflow.EndReason{
			workflow.EndedLeaseExpired, workflow.EndedFailed, workflow.EndedStopped, workflow.EndedFailed,
		} {
			Expect(w.Status()).NotTo(Equal(workflow.StatusFailed))
			w = placed(w, place(key(0, 0), run+1))
			w = w.WithRunEnd(now, end(key(0, 0), run+1, how))
		}
		Expect(w.Status()).To(Equal(workflow.StatusFailed))
	})

	It("counts the failures of a gang's members in one run once", func() {
		gang := newStep(2)
		gang.IsGang = true
		w := placed(newFlow(gang), place(key(0, 0), 1), place(key(0, 1), 1))
		w = w.WithRunEnd(now, end(key(0, 0), 1, workflow.EndedFailed))
		w = w.WithRunEnd(now, end(key(0, 1), 1, workflow.EndedFailed))
		Expect(w.IsOpen()).To(BeTrue())
		w = placed(w, place(key(0, 0), 2), place(key(0, 1), 2))
		w = w.WithRunEnd(now, end(key(0, 0), 2, workflow.EndedFailed))
		Expect(w.Status()).To(Equal(workflow.StatusFailed))
	})

	It("places nothing once it is cancelled, and wants its runs gone", func() {
		w := placed(newFlow(newStep(2)), place(key(0, 0), 1)).WithCancelled(now)
		Expect(w.CanPlace(now, key(0, 1))).To(BeFalse())
		Expect(w.PlacedTasks()[0].IsNeeded).To(BeFalse())
		Expect(w.WithRunEnd(now, end(key(0, 0), 1, workflow.EndedDone)).Status()).To(Equal(workflow.StatusCancelled))
	})

	It("runs its occurrences when they are due, one beside another", func() {
		w := newFlow(newStep(1))
		w.Spec.Repetitions, w.Spec.FirstAt, w.Spec.Interval = 2, now.Add(time.Second), time.Second
		Expect(w.DueOccurrences(now)).To(BeZero())
		Expect(w.CanPlace(now, key(0, 0))).To(BeFalse())
		then := now.Add(2 * time.Second)
		Expect(w.DueOccurrences(then)).To(Equal(2))
		second := key(0, 0)
		second.Occurrence = 1
		w, ok := w.WithPlacements(then, []workflow.Placement{
			place(second, 1),
		})
		Expect(ok).To(BeTrue())
		w = w.WithRunEnd(then, end(second, 1, workflow.EndedDone))
		Expect(w.IsOpen()).To(BeTrue())
		w, _ = w.WithPlacements(then, []workflow.Placement{
			place(key(0, 0), 1),
		})
		Expect(w.WithRunEnd(then, end(key(0, 0), 1, workflow.EndedDone)).Status()).To(Equal(workflow.StatusCompleted))
	})

	It("resumes a task from its own checkpoint and a gang from any member's", func() {
		gang := newStep(2)
		gang.IsGang = true
		w := placed(newFlow(newStep(2), gang), place(key(0, 0), 1))
		w = placed(w, place(key(1, 0), 1), place(key(1, 1), 1))
		saved := end(key(0, 0), 1, workflow.EndedStopped)
		saved.Checkpoint = "c0"
		w = w.WithRunEnd(now, saved)
		saved = end(key(1, 1), 1, workflow.EndedStopped)
		saved.Checkpoint = "c1"
		w = w.WithRunEnd(now, saved)
		Expect(w.ResumeCheckpoint(key(0, 0))).To(Equal("c0"))
		Expect(w.ResumeCheckpoint(key(0, 1))).To(BeEmpty())
		Expect(w.ResumeCheckpoint(key(1, 0))).To(Equal("c1"))
	})

	It("knows its longest chain and its objective", func() {
		second := newStep(1)
		second.Dependencies = []int{0}
		w := newFlow(newStep(3), second, newStep(1))
		Expect(w.Spec.CriticalPath(nil)).To(Equal(2 * time.Second))
		Expect(w.TargetCompletion(0, nil)).To(Equal(now.Add(5 * time.Second)))
	})

	DescribeTable("names the field at fault", func(change func(s *workflow.Spec), field string) {
		s := newFlow(newStep(1), newStep(1)).Spec
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
		Entry("negative room", func(s *workflow.Spec) { s.Steps[0].PerTask.MemoryMB = -1 }, "steps[0].each"),
		Entry("a long payload", func(s *workflow.Spec) { s.Payload = string(make([]byte, 4001)) }, "payload"),
	)
})
