package job_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/shape"
)

func TestJob(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "job")
}

var epoch = time.Unix(1_700_000_000, 0).UTC()

// started returns a running job with two tasks.
func started(change func(s *job.Spec)) job.Job {
	s := job.Spec{
		ID:           "j",
		Organisation: "o",
		Class:        "normal",
		Shape: shape.Shape{
			Tasks: 2,
		},
	}
	change(&s)
	placements := []job.TaskPlacement{
		{
			Worker: "w1",
		},
		{
			Worker: "w2",
		},
	}
	return job.New(epoch, s).WithPlacement(epoch, placements, false).WithStart(epoch)
}

func nonPreemptible(*job.Spec)            {}
func idempotent(s *job.Spec)              { s.Idempotent = true }
func checkpointable(s *job.Spec)          { s.Checkpointable = true }
func phaseOf(j job.Job) string            { return job.PhaseName(j.Phase) }
func later(d time.Duration) (t time.Time) { return epoch.Add(d) }

var _ = Describe("A job", func() {
	done := job.TaskResult{
		Done: true,
	}
	checkpointed := job.TaskResult{
		Checkpoint: true,
	}
	notRun := job.TaskResult{
		NotRun: true,
	}

	DescribeTable("after a stop",
		func(change func(s *job.Spec), first, second job.TaskResult, phase string, result job.Result) {
			j := started(change).WithStop(later(time.Minute), job.StopReclaimed)
			j = j.WithTaskEnded(later(time.Minute), 0, first)
			Expect(phaseOf(j)).To(Equal("stopping"), "it waits for its last task to end")
			j = j.WithTaskEnded(later(time.Minute), 1, second)
			Expect(phaseOf(j)).To(Equal(phase))
			if result != "" {
				Expect(j.Phase).To(HaveField("Result", result))
			}
		},
		Entry("ends as unknown if it cannot be preempted", nonPreemptible, job.TaskResult{}, job.TaskResult{}, "ended", job.ResultUnknown),
		Entry("is queued again if no task ever started", nonPreemptible, notRun, notRun, "queued", job.Result("")),
		Entry("ends as unknown if one task started", nonPreemptible, notRun, job.TaskResult{}, "ended", job.ResultUnknown),
		Entry("is queued again if it is idempotent", idempotent, job.TaskResult{}, done, "queued", job.Result("")),
		Entry("is queued again if checkpoints cover all tasks", checkpointable, checkpointed, checkpointed, "queued", job.Result("")),
		Entry("ends as unknown if a checkpoint covers only one task", checkpointable, checkpointed, job.TaskResult{}, "ended", job.ResultUnknown),
		Entry("ends as done if all tasks completed before they were stopped", nonPreemptible, done, done, "ended", job.ResultDone),
	)

	It("keeps the run time that checkpoints cover", func() {
		j := started(checkpointable).WithStop(later(time.Minute), job.StopOutOfService)
		j = j.WithTaskEnded(later(time.Minute), 0, checkpointed).WithTaskEnded(later(time.Minute), 1, checkpointed)
		Expect(j.SavedMS).To(Equal(time.Minute.Milliseconds()))
	})

	It("is parked after the maximum number of failures and queued again when an operator releases it", func() {
		j := started(idempotent)
		for range job.MaxFailures {
			j = j.WithTaskEnded(epoch, 0, job.TaskResult{}).WithTaskEnded(epoch, 1, job.TaskResult{})
			if phaseOf(j) == "queued" {
				j = j.WithPlacement(epoch, make([]job.TaskPlacement, 2), false).WithStart(epoch)
			}
		}
		Expect(phaseOf(j)).To(Equal("parked"))
		Expect(phaseOf(j.WithReleased(epoch))).To(Equal("queued"))
	})

	// afterLoss returns j, queued or parked, after a worker was lost some time after
	// the start of an attempt.
	afterLoss := func(j job.Job, ranFor time.Duration) job.Job {
		if phaseOf(j) == "queued" {
			j = j.WithPlacement(epoch, make([]job.TaskPlacement, 2), false).WithStart(epoch)
		}
		at := epoch.Add(ranFor)
		return j.WithStop(at, job.StopTaskLost).WithTaskEnded(at, 0, job.TaskResult{}).WithTaskEnded(at, 1, job.TaskResult{})
	}

	It("is parked if workers are lost soon after each of three successive starts", func() {
		j := started(idempotent)
		for range 2 {
			j = afterLoss(j, time.Second)
			Expect(phaseOf(j)).To(Equal("queued"))
		}
		j = afterLoss(j, time.Second)
		Expect(phaseOf(j)).To(Equal("parked"))
		Expect(phaseOf(j.WithReleased(epoch))).To(Equal("queued"))
	})

	It("is not parked if workers are lost late", func() {
		j := started(idempotent)
		for range 2 {
			j = afterLoss(j, time.Second)
		}
		j = afterLoss(j, time.Hour)
		j = afterLoss(j, time.Second)
		Expect(phaseOf(j)).To(Equal("queued"))
	})

	It("keeps a bounded history that includes the first entry", func() {
		j := started(idempotent)
		for i := range 100 {
			at := later(time.Duration(i) * time.Second)
			j = j.WithStop(at, job.StopOutOfService).WithTaskEnded(at, 0, notRun).WithTaskEnded(at, 1, notRun)
			j = j.WithPlacement(at, make([]job.TaskPlacement, 2), false).WithStart(at)
		}
		Expect(len(j.History)).To(BeNumerically("<=", job.MaxHistory))
		Expect(j.History[0].Text).To(Equal("Accepted."))
	})
})

func ExampleJob_WithStop() {
	j := job.New(epoch, job.Spec{
		ID: "j",
	})
	j = j.WithStop(epoch, job.StopCancelled)
	fmt.Println(job.PhaseName(j.Phase), j.HasEnded())
	// Output: ended true
}
