package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/workflow"
)

const (
	// stallTimeout is the shortest time without progress after which a listed
	// run counts as stalled. The run must also have had the time for
	// stallPercent.
	stallTimeout = 1800 * time.Millisecond
	// stallPercent is the share of its expected run time, in percent, that a
	// run must spend without progress to count as stalled. It is several times
	// the resolution of the progress, which is one percent.
	stallPercent = 10
	// workerStalls is the number of stalls of a task for which its workers are held
	// responsible. From then on the task may be the cause.
	workerStalls = 2
	// maxStallShift bounds the doublings of the time after that, to about an hour.
	maxStallShift = 11
	// stallBackoff is half of the first backoff of a worker with a stalled run;
	// the backoff doubles with each further failure. It is long because a stall
	// takes as long to detect.
	stallBackoff = 4 * time.Second
	// gangWaitPercent is the progress from which on a run does not count as
	// stalled: a gang member that has finished its work waits there for the
	// others.
	gangWaitPercent = 99
)

// isStalled reports whether a run has shown no progress for much longer than it
// should need.
func (s *reconciliation) isStalled(v workerView, t workflow.PlacedTask, r runState) bool {
	unchanged := v.listingSentAt.Sub(r.progressedAt)
	if r.progressedAt.IsZero() || r.percent >= gangWaitPercent || unchanged < stallTimeout {
		return false
	}
	return unchanged >= s.stallLimit(t, r)
}

// stallLimit returns how long a run may show no progress. The longest of the
// estimates of its run time counts: what its caller declared, what the runs of its
// queue suggest, and its own pace. If all of them are too short, the run is sound and
// still counts as stalled, so the limit doubles with each further stall of the task.
func (s *reconciliation) stallLimit(t workflow.PlacedTask, r runState) time.Duration {
	expected := max(s.expectedRunTime(t), t.StepSpec.DeclaredRunTime, r.pace)
	doublings := max(s.stallsOf(t)-workerStalls+1, 0)
	return max(stallTimeout, expected*stallPercent/100) << min(doublings, maxStallShift)
}

// stallsOf returns how often runs of the task have been stopped as stalled.
func (s *reconciliation) stallsOf(t workflow.PlacedTask) int {
	task, _ := s.index.workflows[t.Workflow].Task(t.TaskKey)
	return task.Stalls
}

// withStallPenalty returns v after one of its runs was found stalled. A stalled
// member of a gang may be waiting for another member, so it only counts as a
// failure. A stalled single task suggests that the worker hangs, which puts the
// worker into backoff. A task that has stalled on others before may be the cause
// itself, and tells nothing about the worker.
func (s *reconciliation) withStallPenalty(v workerView, t workflow.PlacedTask, r runState) workerView {
	if r.pendingStop != reasonStalled || s.stallsOf(t) >= workerStalls {
		return v
	}
	v.isChanged = true
	v = v.withRunEnding(s.now, workflow.EndedFailed)
	if !t.StepSpec.IsGang {
		backoff := stallBackoff << min(v.consecutiveFailures, maxBackoffShift)
		v.backoffUntil = util.Later(v.backoffUntil, s.now.Add(backoff))
	}
	return v
}

// withProgressAt returns r after a listing with another progress.
func (r runState) withProgressAt(now time.Time, percent int) runState {
	if steps := percent - r.percent; steps > 0 && !r.progressedAt.IsZero() {
		r.pace = now.Sub(r.progressedAt) * 100 / time.Duration(steps)
	}
	r.percent, r.progressedAt = percent, now
	return r
}
