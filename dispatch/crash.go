package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// A predecessor is what is known of the incarnation of a worker before the current
// one.
type predecessor struct {
	// hasLeft is true if it had announced that it would leave.
	hasLeft bool
	// isExamined is true once wasShared is known.
	isExamined bool
	// wasShared is true if several workflows had runs on it when it ended.
	wasShared bool
}

// withSuccessor returns the view of the next incarnation of a worker.
func (v workerView) withSuccessor(next workerView) workerView {
	next.predecessor = predecessor{
		hasLeft: v.worker.Leaving,
	}
	return next
}

// withPredecessorRuns returns v after its first look at the runs that are placed on
// the incarnation before. Their ends are recorded one by one, so later looks do not
// show all of them.
func (v workerView) withPredecessorRuns(tasks []workflow.PlacedTask) workerView {
	var earlier []workflow.PlacedTask
	for _, t := range tasks {
		if t.Incarnation != v.worker.Incarnation {
			earlier = append(earlier, t)
		}
	}
	if v.predecessor.isExamined || len(earlier) == 0 {
		return v
	}
	v.predecessor.isExamined, v.predecessor.wasShared = true, isShared(earlier)
	v.isChanged = true
	return v
}

// isShared reports whether the tasks belong to several workflows.
func isShared(tasks []workflow.PlacedTask) bool {
	for _, t := range tasks {
		if t.Workflow != tasks[0].Workflow {
			return true
		}
	}
	return false
}

// endLost ends a run whose end was not reported. It counts as a crash if the run
// may have been in progress and its worker has certainly ended without notice, as
// opposed to one that cannot be reached.
func (s *reconciliation) endLost(v workerView, t workflow.PlacedTask, r runState, reason string, age time.Duration) {
	e := workflow.RunEnd{
		RunKey:    t.RunKey,
		EndReason: workflow.EndedLost,
	}
	isPredecessor := v.worker.Incarnation != t.Incarnation
	switch {
	case !r.mayHaveStarted():
	case isPredecessor && !v.predecessor.hasLeft:
		e.EndReason, e.WasAlone = workflow.EndedCrashed, !v.predecessor.wasShared
	case !isPredecessor && v.hasEnded && !v.worker.Leaving:
		e.EndReason, e.WasAlone = workflow.EndedCrashed, !isShared(s.index.placedByWorker[v.worker.ID])
	}
	s.end(t, e, reason, age)
}

// mayHaveStarted reports whether a worker may have started the run.
func (r runState) mayHaveStarted() bool {
	return !r.isOwnPlacement || r.startsSent > 0
}

// crashText returns the log message about a run whose worker crashed.
func crashText(wasAlone bool) string {
	if wasAlone {
		return "Worker crashed under a run, with no other workflow beside it."
	}
	return "Worker crashed under a run, with other workflows beside it."
}
