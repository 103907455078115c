package dispatch

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A workerView is what the leader knows of one life of a worker.
type workerView struct {
	worker   pool.Worker
	sequence uint64
	// lastContact is when the worker last spoke, by itself or in an answer.
	lastContact time.Time
	clock       clock
	// maxLeaseUntilMS is the latest lease that any leader may have given, in
	// milliseconds on the worker's clock.
	maxLeaseUntilMS int64
	// cursor is the last end that is committed; told is what the worker has
	// been told of it.
	cursor      uint64
	ackedCursor uint64
	// uncommittedEnds holds the listed ends that are not committed.
	uncommittedEnds []FinishedRun
	// listed holds what the worker ran when it answered a hold that was sent
	// at listedAt.
	listed        map[workflow.Ref]Running
	listingSentAt time.Time
	// listingReceivedAt is when that answer came: progress is as of then.
	listingReceivedAt time.Time
	// renewSentAt is when the last hold was sent; holds counts those in flight.
	renewSentAt    time.Time
	renewsInFlight int
	// lastAnsweredAt is when an order was last lastAnsweredAt; silence counts the orders
	// without an answer since.
	lastAnsweredAt time.Time
	unanswered     int
	// supersededAt is when another life of the worker answered, zero for never. This
	// life is over then, and nothing more may be sent to it: the next life has
	// the same address and would take it.
	supersededAt time.Time
	// backoffUntil keeps new tasks away.
	backoffUntil time.Time
	// consecutiveFailures counts the tasks in a row that the worker refused or failed.
	consecutiveFailures int
	runs                map[workflow.Ref]runState
	// isChanged is true in a working copy that differs from the board's.
	isChanged bool
}

// A runState is what the leader has told a worker about one runState.
type runState struct {
	// isOwnPlacement is true if this leader placed the run, so that no leader before
	// can have started it.
	isOwnPlacement bool
	// firstStartAt and lastStart are when start orders were sent.
	firstStartAt time.Time
	lastStartAt  time.Time
	startsSent   int
	// startsInFlight counts the start orders without an answer.
	startsInFlight int
	// isResumed is true if the run began from a checkpoint.
	isResumed bool
	// startedAt is when the worker was known to have begun the run.
	startedAt time.Time
	// pendingStop says why the run is to end, empty while it may go on.
	pendingStop stopReason
	// gangBrokenAt is when another member of the gang was seen to have ended.
	gangBrokenAt time.Time
	// lastStopAt is when a stop was sent; stopped is when one was obeyed.
	lastStopAt  time.Time
	stopAckedAt time.Time
	// isStartRejected is true if the worker refused the only start.
	isStartRejected bool
	// percent was the progress when it last moved, at movedAt.
	percent      int
	progressedAt time.Time
}

// A stopReason says why a run is to end.
type stopReason string

// Reasons to end a run.
const (
	reasonWorkflowFinished stopReason = "workflow-decided"
	reasonGangBroken       stopReason = "gang-broken"
	reasonStartUnanswered  stopReason = "start-not-answered"
	reasonStartRejected    stopReason = "start-refused"
	reasonWorkerLeaving    stopReason = "worker-leaving"
	reasonDataCentreOut    stopReason = "data-centre-out"
	reasonNotListed        stopReason = "not-listed"
	reasonWorkerRestarted  stopReason = "worker-restarted"
	reasonPreempted        stopReason = "preempted"
	reasonStalled          stopReason = "no-progress"
)

func newWorkerView(w pool.Worker) workerView {
	return workerView{
		worker: w,
		listed: map[workflow.Ref]Running{},
		runs:   map[workflow.Ref]runState{},
	}
}

func (v workerView) withRun(ref workflow.Ref, r runState) workerView {
	if known, ok := v.runs[ref]; ok && known == r {
		return v
	}
	v.isChanged = true
	v.runs = maps.Clone(v.runs)
	v.runs[ref] = r
	return v
}

// withOnlyRuns returns v without the runs that are not kept.
func (v workerView) withOnlyRuns(keep func(ref workflow.Ref) bool) workerView {
	for ref := range v.runs {
		if keep(ref) {
			continue
		}
		v.isChanged = true
		v.runs = maps.Clone(v.runs)
		maps.DeleteFunc(v.runs, func(ref workflow.Ref, _ runState) bool {
			return !keep(ref)
		})
		break
	}
	return v
}

// withCursor returns v after the ends up to a number were committed.
func (v workerView) withCursor(n uint64) workerView {
	v.cursor = max(v.cursor, n)
	var rest []FinishedRun
	for _, f := range v.uncommittedEnds {
		if f.Sequence > v.cursor {
			rest = append(rest, f)
		}
	}
	v.uncommittedEnds = rest
	return v
}

// withBackoff returns v kept away from new tasks, longer each time.
func (v workerView) withBackoff(now time.Time) workerView {
	v.consecutiveFailures++
	backoff := minBackoff << min(v.consecutiveFailures-1, maxBackoffShift)
	v.backoffUntil = now.Add(backoff)
	return v
}

// Avoidance of workers that refuse or fail what they are told.
const (
	// minBackoff is about two reports of a worker.
	minBackoff      = time.Second
	maxBackoffShift = 3
)

// isLeaseExpired reports whether everything that was started under leases has
// surely been killed by the worker itself.
func (v workerView) isLeaseExpired(now time.Time) bool {
	return v.clock.lowerBound(now) > v.maxLeaseUntilMS+leaseMargin.Milliseconds()
}

// hasUncommittedEnd reports whether the end of a run is listed and not committed.
func (v workerView) hasUncommittedEnd(ref workflow.Ref) bool {
	for _, f := range v.uncommittedEnds {
		if f.Ref == ref {
			return true
		}
	}
	return false
}

// isIdle reports whether a worker without tasks needs nothing.
func (v workerView) isIdle() bool {
	return len(v.runs) == 0 && len(v.uncommittedEnds) == 0 && len(v.listed) == 0 && v.ackedCursor >= v.cursor
}
