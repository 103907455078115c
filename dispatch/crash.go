package dispatch

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/workflow"
)

// A predecessor is what is known of the incarnation of a worker before the current
// one.
type predecessor struct {
	// hasLeft is true if it had announced that it would leave.
	hasLeft bool
	// runs is what it had been told about its runs. hasOrphans is true if it ran others.
	runs       map[workflow.RunKey]runState
	hasOrphans bool
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

// crashScene returns the scene of the tasks on the known incarnation of a worker.
func (s *reconciliation) crashScene(v workerView) crashScene {
	return newCrashScene(s.index.placedByWorker[v.worker.ID], v.runs, len(v.orphans) > 0)
}

// newCrashScene returns the scene of the tasks on a worker, without those that it was certainly
// not running.
func newCrashScene(tasks []workflow.PlacedTask, runs map[workflow.RunKey]runState, hasOrphans bool) (c crashScene) {
	c.isShared = hasOrphans
	first := ""
	for _, t := range tasks {
		r := runs[t.RunKey]
		if !r.mayHaveStarted() {
			continue
		}
		if first == "" {
			first = t.Workflow
		}
		c.isShared = c.isShared || t.Workflow != first
		if r.startedAt.IsZero() {
			c.unanswered++
		}
	}
	return c
}

// evidence is how likely it is that a run had begun when its worker was lost.
type evidence int

const (
	// mayHaveBegun means that nothing speaks for it but a start that was sent.
	mayHaveBegun evidence = iota
	// hasProbablyBegun means that its worker was alive just before the start.
	hasProbablyBegun
	// hasBegun means that the worker answered the start or listed the run, or that
	// the start was the only one that the worker, which was alive, did not answer.
	hasBegun
)

// evidenceOf returns the evidence for a run. A start without an answer may have been
// sent to a worker that had already crashed. Of several such starts, the first to be
// carried out may have crashed the worker before the others began. An earlier leader
// awaited an answer before it started a task with a history of crashes, but it may
// not have got to the start.
func (c crashScene) evidenceOf(r runState, hasHistory bool) evidence {
	switch {
	case !r.startedAt.IsZero():
		return hasBegun
	case r.wasWorkerAlive && c.isShared && c.unanswered > 1:
		return hasProbablyBegun
	case r.wasWorkerAlive:
		return hasBegun
	case !r.isOwnPlacement && hasHistory:
		return hasProbablyBegun
	}
	return mayHaveBegun
}

// crashEnd returns the end of a run on a worker that has crashed.
func (c crashScene) crashEnd(ref workflow.RunKey, e evidence) workflow.RunEnd {
	if e == mayHaveBegun {
		return workflow.RunEnd{
			RunKey:        ref,
			EndReason:     workflow.EndedLost,
			IsUnconfirmed: true,
		}
	}
	return workflow.RunEnd{
		RunKey:        ref,
		EndReason:     workflow.EndedCrashed,
		WasAlone:      !c.isShared,
		IsUnconfirmed: e != hasBegun,
	}
}

// silentEnd returns the end of a run whose worker was out of reach until its lease was
// over.
func (c crashScene) silentEnd(ref workflow.RunKey, e evidence) workflow.RunEnd {
	return workflow.RunEnd{
		RunKey:        ref,
		EndReason:     workflow.EndedLost,
		IsUnconfirmed: true,
		AwaitsVerdict: e != mayHaveBegun,
		HasBegun:      e == hasBegun,
		WasAlone:      !c.isShared,
	}
}

// aliveTimeout is how long a worker that has answered an order counts as alive,
// counted from when the order was sent. It covers the round trip and the time until
// the next pass.
const aliveTimeout = startRetryInterval

// hasAnsweredSince reports whether the worker has answered an order that was sent
// after a run was placed on it, and after the last start for the run.
func (v workerView) hasAnsweredSince(r runState) bool {
	return !v.aliveAt.Before(util.Later(r.placedAt, r.lastStartAt))
}

// isAlive reports whether the worker has answered just before it is told to start a
// run, so that it hardly crashed before the start.
func (s *reconciliation) isAlive(v workerView, r runState) bool {
	return v.unanswered == 0 && v.hasAnsweredSince(r) && s.now.Sub(v.aliveAt) <= aliveTimeout
}

// awaitsAnswer reports whether a run must not be started before its worker has
// answered another order: once for each incarnation and leader, so that the worker takes
// no orders for an earlier incarnation any more, and after the placement of each task with
// a history of crashes. Otherwise a start that is sent to a worker that has lost power
// cannot be told from one that crashes the worker. It is not required of others, since it
// costs an order for each start.
func (s *reconciliation) awaitsAnswer(v workerView, t workflow.PlacedTask, r runState) bool {
	if !r.isOwnPlacement || r.startsSent > 0 {
		return false
	}
	return !s.isFenced(v) || s.hasCrashHistory(t) && !v.hasAnsweredSince(r)
}

// hasCrashHistory reports whether workers have crashed, or may have crashed, under
// the task.
func (s *reconciliation) hasCrashHistory(t workflow.PlacedTask) bool {
	task, ok := s.index.workflows[t.Workflow].Task(t.TaskKey)
	return ok && task.Crashes > 0
}

// withSuccessor returns the view of the next incarnation of a worker.
func (v workerView) withSuccessor(next workerView) workerView {
	next.predecessor = predecessor{
		hasLeft:    v.worker.Leaving,
		runs:       v.runs,
		hasOrphans: len(v.orphans) > 0,
	}
	next.openStarts = v.openStarts
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
	v.predecessor.isExamined, v.predecessor.scene = true, newCrashScene(earlier, v.predecessor.runs, v.predecessor.hasOrphans)
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
		scene := r.sceneOr(v.predecessor.scene)
		e = scene.crashEnd(t.RunKey, scene.evidenceOf(r, s.hasCrashHistory(t)))
	case !isPredecessor && v.hasEnded && !v.worker.Leaving:
		scene := r.sceneOr(s.crashScene(v))
		e = scene.crashEnd(t.RunKey, scene.evidenceOf(r, s.hasCrashHistory(t)))
	case !isPredecessor && reason == string(reasonLeaseExpired) && !s.hasRecentContact(v):
		scene := r.sceneOr(s.crashScene(v))
		e = scene.silentEnd(t.RunKey, scene.evidenceOf(r, s.hasCrashHistory(t)))
	}
	s.end(t, e, reason, age)
}

// sceneOr returns the scene of a run that was held when its worker was lost, since other runs
// there have ended by now, and present for any other.
func (r runState) sceneOr(present crashScene) crashScene {
	if r.isHeld {
		return r.scene
	}
	return present
}

// mayHaveStarted reports whether a worker may have started the run.
func (r runState) mayHaveStarted() bool {
	isUndelivered := r.startsSent == r.startsUndelivered
	isRejected := r.isStartRejected && r.startsSent == 1
	return !r.isOwnPlacement || !isUndelivered && !isRejected
}

// endText returns the log message about a run that its worker did not report.
func endText(e workflow.RunEnd) string {
	isCrash, isLoss := e.EndReason == workflow.EndedCrashed, e.EndReason == workflow.EndedLost
	switch {
	case isCrash && e.IsUnconfirmed:
		return "Worker crashed, and its run may not have begun by then."
	case isCrash && e.WasAlone:
		return "Worker crashed under a run, with no other workflow beside it."
	case isCrash:
		return "Worker crashed under a run, with other workflows beside it."
	case isLoss && e.IsUnconfirmed:
		return "Worker was lost, and its run may not be the cause."
	}
	return "Run counts as ended without a report from its worker."
}
