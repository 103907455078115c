package dispatch

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/speed"
	"github.com/plantainladder/plantainladder/workflow"
)

// A workerView is what the leader knows about one incarnation of a worker.
type workerView struct {
	worker pool.Worker
	// firstSeenAt is when the leader first learned of this incarnation.
	firstSeenAt time.Time
	// sequence is that of the last announcement.
	sequence uint64
	// lastContact is when the worker last sent an announcement or an answer.
	lastContact time.Time
	// announcedAt is when this leader last received an announcement; zero if it
	// received none.
	announcedAt time.Time
	clock       clock
	// maxLeaseUntilMS is the latest end of a lease that any leader may have
	// granted, in milliseconds on the worker's clock.
	maxLeaseUntilMS int64
	// answeredFence is the highest fence of the orders that this incarnation has
	// carried out.
	answeredFence uint64
	// committedSequence is the sequence of the last ended run that is committed;
	// ackedSequence is the last one that the worker has been told of.
	committedSequence uint64
	ackedSequence     uint64
	// uncommittedEnds holds the listed ended runs that are not committed yet.
	uncommittedEnds []EndedRun
	// listed holds the active runs of the last listing, which answered a Renew
	// sent at listingSentAt.
	listed        map[workflow.RunKey]Running
	listingSentAt time.Time
	// listingFence is the fence of that Renew.
	listingFence uint64
	// isListingPartial is true if that listing may lack ended runs, so that a run that
	// is not in it may have ended.
	isListingPartial bool
	// listingReceivedAt is when that answer came. The progress in it is as of
	// then.
	listingReceivedAt time.Time
	// renewSentAt is when the last Renew was sent; renewsInFlight counts those
	// without an answer yet.
	renewSentAt    time.Time
	renewsInFlight int
	// lastAnsweredAt is when an order was last answered; unanswered counts the
	// orders since then that failed without an answer.
	lastAnsweredAt time.Time
	unanswered     int
	// aliveAt is when the last of the answered orders was sent: the worker was alive
	// then or later.
	aliveAt time.Time
	// lastBreakAt is when a connection on which the worker owed an answer last broke.
	lastBreakAt time.Time
	// hasEnded is true once this incarnation has certainly ended, with all of its
	// runs: another worker has answered at its address, or the platform's
	// inventory of machines lacks it. Nothing more is sent to it.
	hasEnded bool
	// isListed is true once a reading of the inventory has listed the worker.
	// missingSince is the start of the first of the last readings that lack it;
	// the zero time if the last one lists it.
	isListed     bool
	missingSince time.Time
	predecessor  predecessor
	// backoffUntil is when the worker may get new tasks again.
	backoffUntil time.Time
	// consecutiveFailures counts the runs that the worker rejected or failed
	// since one last succeeded.
	consecutiveFailures int
	// speed is what is known of how fast the worker runs tasks.
	speed speed.Estimate
	runs  map[workflow.RunKey]runState
	// orphans holds the runs in listed that are not placed on the worker.
	orphans map[workflow.RunKey]orphan
	// openStarts holds the starts that this incarnation or the next may still carry out.
	openStarts openStarts
	// isChanged is true in a working copy that differs from the stored view.
	isChanged bool
}

// A runState is what the leader has told a worker about one run, and what it
// knows of the run.
type runState struct {
	// isOwnPlacement is true if this leader placed the run, so that no earlier
	// leader can have started it.
	isOwnPlacement bool
	// firstStartAt and lastStartAt are when the first and the last Start were
	// sent.
	firstStartAt time.Time
	lastStartAt  time.Time
	startsSent   int
	// startsUndelivered counts the starts that certainly did not reach the worker.
	startsUndelivered int
	// startedAfterEndAt is when a start was acknowledged although the incarnation had
	// ended, so that the next one has carried it out; the zero time for never.
	startedAfterEndAt time.Time
	// isHeld is true while the run is not ended only because of an open start. scene is
	// what was known then of the runs on the worker.
	isHeld bool
	scene  crashScene
	// placedAt is when this leader learned that its placement was committed.
	placedAt time.Time
	// wasWorkerAlive is true if the worker was known to be alive when the last Start
	// was sent.
	wasWorkerAlive bool
	// isResumed is true if the run was started from a checkpoint.
	isResumed bool
	// startedAt is when the leader learned that the worker has started the run.
	startedAt time.Time
	// pendingStop is why the run is to be stopped; empty while it may go on.
	pendingStop stopReason
	// gangBrokenAt is when another member of the gang was first seen to have
	// ended.
	gangBrokenAt time.Time
	// lastStopAt is when the last Stop was sent; stopAckedAt is when one was
	// acknowledged.
	lastStopAt  time.Time
	stopAckedAt time.Time
	// isStartRejected is true if the worker rejected a start.
	isStartRejected bool
	// percent is the last known progress, reached at progressedAt. pace is the run
	// time that follows from the time between the last two; zero if it is not known.
	percent      int
	progressedAt time.Time
	pace         time.Duration
	// firstListedAt and firstPercent are the time and the progress of the first listing
	// that this leader has of the run.
	firstListedAt time.Time
	firstPercent  int
	// endListedAt is when the end of the run was first listed.
	endListedAt time.Time
	// isSampled is true once the run was taken as evidence of its worker's speed.
	isSampled bool
}

// A stopReason is why a run is to be stopped.
type stopReason string

// Reasons to stop a run.
const (
	reasonWorkflowFinished stopReason = "workflow-decided"
	reasonGangBroken       stopReason = "gang-broken"
	reasonStartUnanswered  stopReason = "start-not-answered"
	// reasonWorkerUnanswering is for a run that was not started, since its worker left
	// the order before it unanswered.
	reasonWorkerUnanswering stopReason = "worker-not-answering"
	reasonStartRejected     stopReason = "start-refused"
	reasonWorkerLeaving     stopReason = "worker-leaving"
	reasonCapacityShrunk    stopReason = "capacity-shrunk"
	reasonOrganisationLimit stopReason = "organisation-limit"
	reasonDataCentreOut     stopReason = "data-centre-out"
	reasonNotListed         stopReason = "not-listed"
	reasonWorkerRestarted   stopReason = "worker-restarted"
	reasonPreempted         stopReason = "preempted"
	reasonStalled           stopReason = "no-progress"
	reasonWorkerReplaced    stopReason = "worker-replaced"
	reasonWorkerMissing     stopReason = "worker-missing"
	reasonWorkerEnded       stopReason = "worker-ended"
	reasonLeaseExpired      stopReason = "lease-over"
	// reasonStartOpen is for a run that is not ended while a start for it may still be
	// carried out.
	reasonStartOpen stopReason = "start-open"
)

func newWorkerView(now time.Time, w pool.Worker) workerView {
	return workerView{
		worker:      w,
		firstSeenAt: now,
		listed:      map[workflow.RunKey]Running{},
		runs:        map[workflow.RunKey]runState{},
	}
}

func (v workerView) withRun(ref workflow.RunKey, r runState) workerView {
	if known, ok := v.runs[ref]; ok && known == r {
		return v
	}
	v.isChanged = true
	v.runs = maps.Clone(v.runs)
	v.runs[ref] = r
	return v
}

// withOnlyRuns returns v without the runs for which keep is false.
func (v workerView) withOnlyRuns(keep func(ref workflow.RunKey) bool) workerView {
	for ref := range v.runs {
		if keep(ref) {
			continue
		}
		v.isChanged = true
		v.runs = maps.Clone(v.runs)
		maps.DeleteFunc(v.runs, func(ref workflow.RunKey, _ runState) bool {
			return !keep(ref)
		})
		break
	}
	return v
}

// withCommittedSequence returns v after the ended runs up to sequence n were committed.
func (v workerView) withCommittedSequence(n uint64) workerView {
	v.committedSequence = max(v.committedSequence, n)
	var rest []EndedRun
	for _, f := range v.uncommittedEnds {
		if f.Sequence > v.committedSequence {
			rest = append(rest, f)
		}
	}
	v.uncommittedEnds = rest
	return v
}

// withBackoff returns v with one more failure and a backoff that doubles with
// each consecutive one.
func (v workerView) withBackoff(now time.Time) workerView {
	v.consecutiveFailures++
	backoff := minBackoff << min(v.consecutiveFailures-1, maxBackoffShift)
	v.backoffUntil = now.Add(backoff)
	return v
}

// Backoff of workers that reject or fail what they are told.
const (
	// minBackoff is about two announcement intervals.
	minBackoff      = time.Second
	maxBackoffShift = 3
)

// isLeaseExpired reports whether the worker must have killed everything that
// was started under any lease.
func (v workerView) isLeaseExpired(now time.Time) bool {
	return v.clock.lowerBound(now) > v.maxLeaseUntilMS+leaseMargin.Milliseconds()
}

// hasListingAfter reports whether the last listing was requested after a time and has
// all ended runs, so that a run that is not in it is certainly not on the worker.
func (v workerView) hasListingAfter(t time.Time) bool {
	return !v.isListingPartial && v.listingSentAt.After(t)
}

// hasUncommittedEnd reports whether the end of a run is listed and not
// committed yet.
func (v workerView) hasUncommittedEnd(ref workflow.RunKey) bool {
	for _, f := range v.uncommittedEnds {
		if f.RunKey == ref {
			return true
		}
	}
	return false
}

// isIdle reports whether a worker without placed tasks needs no orders.
func (v workerView) isIdle() bool {
	isInformed := v.hasEnded || len(v.listed) == 0 && len(v.orphans) == 0 && v.ackedSequence >= v.committedSequence
	return len(v.runs) == 0 && len(v.uncommittedEnds) == 0 && isInformed
}
