package dispatch

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A predecessor is what is known of the incarnation of a worker before the current
// one.
type predecessor struct {
	// hasLeft is true if it had announced that it would leave.
	hasLeft bool
	// runs is what it had been told about its runs.
	runs map[workflow.RunKey]runState
	// isExamined is true once scene is known.
	isExamined bool
	// scene is what is known of its runs when it ended.
	scene crashScene
}

// A crashScene is what is known of the runs on a worker that has crashed.
type crashScene struct {
	// isShared is true if the runs belong to several workflows.
	isShared bool
	// unanswered counts the runs whose start may have been carried out or not.
	unanswered int
}

func newCrashScene(tasks []workflow.PlacedTask, runs map[workflow.RunKey]runState) (c crashScene) {
	for _, t := range tasks {
		c.isShared = c.isShared || t.Workflow != tasks[0].Workflow
		if r := runs[t.RunKey]; r.startedAt.IsZero() && r.mayHaveStarted() {
			c.unanswered++
		}
	}
	return c
}

// crashEnd returns the end of a run on a worker that has crashed. Of several starts
// without an answer, the first to be carried out may have crashed the worker before
// the others began.
func (c crashScene) crashEnd(ref workflow.RunKey, r runState) workflow.RunEnd {
	return workflow.RunEnd{
		RunKey:        ref,
		EndReason:     workflow.EndedCrashed,
		WasAlone:      !c.isShared,
		IsUnconfirmed: c.isShared && r.startedAt.IsZero() && c.unanswered > 1,
	}
}

// withSuccessor returns the view of the next incarnation of a worker.
func (v workerView) withSuccessor(next workerView) workerView {
	next.predecessor = predecessor{
		hasLeft: v.worker.Leaving,
		runs:    v.runs,
	}
	return next
}

// withLatePlacement returns v after the commit of a placement on the incarnation
// before, which was never told of it.
func (v workerView) withLatePlacement(ref workflow.RunKey) workerView {
	runs := maps.Clone(v.predecessor.runs)
	if runs == nil {
		runs = map[workflow.RunKey]runState{}
	}
	runs[ref] = runState{
		isOwnPlacement: true,
	}
	v.predecessor.runs = runs
	return v
}

// withPredecessorRuns returns v after its first look at the runs that are placed on
// the incarnation before. Their ends are recorded one by one, so later looks do not
// show all of them. The next incarnation soon replaces the committed announcement,
// which is the only one that a new leader may know of the incarnation before.
func (v workerView) withPredecessorRuns(tasks []workflow.PlacedTask, committed pool.Worker) workerView {
	var earlier []workflow.PlacedTask
	for _, t := range tasks {
		if t.Incarnation != v.worker.Incarnation {
			earlier = append(earlier, t)
		}
	}
	if v.predecessor.isExamined || len(earlier) == 0 {
		return v
	}
	v.predecessor.isExamined, v.predecessor.scene = true, newCrashScene(earlier, v.predecessor.runs)
	if committed.Incarnation < v.worker.Incarnation {
		v.predecessor.hasLeft = v.predecessor.hasLeft || committed.Leaving
	}
	v.isChanged = true
	return v
}

// endLost ends a run whose end was not reported. It counts as a crash if the run
// may have been in progress and its worker has ended without notice. A worker that
// was out of reach until its lease expired may have crashed.
func (s *reconciliation) endLost(v workerView, t workflow.PlacedTask, r runState, reason string, age time.Duration) {
	e := workflow.RunEnd{
		RunKey:    t.RunKey,
		EndReason: workflow.EndedLost,
	}
	isPredecessor := v.worker.Incarnation != t.Incarnation
	if isPredecessor {
		r = v.predecessor.runs[t.RunKey]
	}
	committed := s.index.workers[t.Worker]
	switch {
	case !r.mayHaveStarted():
	case committed.Incarnation == t.Incarnation && committed.Leaving:
	case isPredecessor && !v.predecessor.hasLeft:
		e = v.predecessor.scene.crashEnd(t.RunKey, r)
	case !isPredecessor && v.hasEnded && !v.worker.Leaving:
		e = newCrashScene(s.index.placedByWorker[v.worker.ID], v.runs).crashEnd(t.RunKey, r)
	case !isPredecessor && reason == string(reasonLeaseExpired):
		e.IsUnconfirmed = !s.hasRecentContact(v)
	}
	s.end(t, e, reason, age)
}

// mayHaveStarted reports whether a worker may have started the run.
func (r runState) mayHaveStarted() bool {
	isUndelivered := r.startsSent == r.startsUndelivered
	isRejected := r.isStartRejected && r.startsSent == 1
	return !r.isOwnPlacement || !isUndelivered && !isRejected
}

// crashText returns the log message about a run whose worker crashed.
func crashText(wasAlone bool) string {
	if wasAlone {
		return "Worker crashed under a run, with no other workflow beside it."
	}
	return "Worker crashed under a run, with other workflows beside it."
}
