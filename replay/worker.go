package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// An execution is a run on a simulated worker.
type execution struct {
	ref workflow.RunKey
	// remaining is the work that is left of the total work.
	remaining, total time.Duration
	resources        pool.ResourceVector
	isGang           bool
	gangSize         int
	// stopAt is when a stop order takes effect, zero if there was none.
	stopAt      time.Duration
	startedAt   time.Duration
	alwaysFails bool
	// crashesWorker is true if the worker crashes crashDelay after the start.
	crashesWorker bool
	crashDelay    time.Duration
}

// simWorker is a simulated worker.
type simWorker struct {
	simulation       *Simulation
	announced        pool.Worker
	faults           []Fault
	clockOffset      time.Duration
	announceSequence uint64
	fence            uint64
	leaseUntil       int64
	runs             map[workflow.RunKey]*execution
	blockedRuns      map[workflow.TaskKey]int
	ended            []dispatch.EndedRun
	endedSequence    uint64
	isShutDown       bool
	// isDown is true from a crash until the worker is back.
	isDown bool
	// isHidden is true if the inventory of machines lacks the worker.
	isHidden bool
	// isReplaced is true once another worker has this worker's address.
	isReplaced bool
	// leavingSince is when the worker's announcement that it leaves was
	// committed, zero if it was not.
	leavingSince time.Duration
	// formerCapacities holds the capacities that the worker had before the
	// announced one.
	formerCapacities []formerCapacity
	// isDelayed is true while the worker handles a delayed order.
	isDelayed bool
	// endedAt holds when each listed run ended, by its sequence number;
	// leaseExpiredAt is when the lease was last found expired.
	endedAt        map[uint64]time.Duration
	leaseExpiredAt time.Duration
}

// A formerCapacity is a capacity that a worker had until a time.
type formerCapacity struct {
	capacity pool.ResourceVector
	until    time.Duration
}

// setCapacity changes the capacity, which the next announcement states.
func (w *simWorker) setCapacity(now time.Duration, capacity pool.ResourceVector) {
	w.formerCapacities = append(w.formerCapacities, formerCapacity{
		capacity: w.announced.Capacity,
		until:    now,
	})
	w.announced.Capacity = capacity
}

// hasCapacityFor reports whether used fits in the capacity that the worker has or
// had since a time.
func (w *simWorker) hasCapacityFor(used pool.ResourceVector, since time.Duration) bool {
	if used.FitsIn(w.announced.Capacity) {
		return true
	}
	return slices.ContainsFunc(w.formerCapacities, func(f formerCapacity) bool {
		return f.until >= since && used.FitsIn(f.capacity)
	})
}

func (w *simWorker) activeFault(now time.Duration) (t Fault) {
	for _, known := range w.faults {
		if now >= known.From && now < known.Until {
			return known
		}
	}
	return t
}

func (w *simWorker) clock(now time.Duration) int64 {
	return (now + w.clockOffset).Milliseconds()
}

// restart begins a new incarnation without state.
func (w *simWorker) restart(now time.Duration) {
	w.loseRuns(now, workflow.RunKey{})
	w.announced.Incarnation += now.Milliseconds() + 1
	w.announced.Leaving, w.leavingSince = false, 0
	w.announceSequence, w.fence, w.leaseUntil, w.endedSequence = 0, 0, 0, 0
	w.clockOffset = -now
	w.blockedRuns = map[workflow.TaskKey]int{}
	w.ended = nil
}

// shutDown ends the worker and all of its runs for good.
func (w *simWorker) shutDown(now time.Duration) {
	w.loseRuns(now, workflow.RunKey{})
	w.isShutDown = true
}

// handleOrder executes an order and returns the answer.
func (w *simWorker) handleOrder(now time.Duration, o dispatch.Order) dispatch.OrderCompleted {
	a := dispatch.OrderCompleted{
		Order:       o,
		Incarnation: w.announced.Incarnation,
		ClockMS:     w.clock(now),
	}
	switch o := o.(type) {
	case dispatch.Start:
		a.Result = w.handleStart(now, o)
	case dispatch.Stop:
		a.Result = w.handleStop(now, o)
	case dispatch.Renew:
		a.Result = w.handleRenew(now, o)
		a.Listing = w.listing()
	}
	w.crashIfDue(now)
	return a
}

func (w *simWorker) isFenced(fence uint64) bool {
	w.fence = max(w.fence, fence)
	return fence < w.fence
}

// extendLease extends the lease up to a time on the worker's clock, but to no more than
// the longest lease. It never shortens it.
func (w *simWorker) extendLease(now time.Duration, until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock(now+maxLeaseDuration)))
}

func rejected(r dispatch.Rejection) dispatch.Result {
	return dispatch.Rejected{
		Reason: r,
	}
}

func (w *simWorker) handleStart(now time.Duration, o dispatch.Start) dispatch.Result {
	_, isRunning := w.runs[o.RunKey]
	switch {
	case w.isFenced(o.Fence):
		return rejected(dispatch.RejectedStaleLeader)
	case o.LeaseUntil < w.clock(now):
		return rejected(dispatch.RejectedLeaseExpired)
	}
	w.extendLease(now, o.LeaseUntil)
	if isRunning {
		return dispatch.Acknowledged{}
	}
	if o.Run <= w.blockedRuns[o.TaskKey] {
		return rejected(dispatch.RejectedEndedRun)
	}
	e := w.simulation.startRun(now, w, o.RunKey)
	if o.Checkpoint != "" {
		e.remaining = min(e.remaining, parseCheckpoint(o.Checkpoint, e.total))
	}
	w.runs[o.RunKey] = e
	return dispatch.Acknowledged{}
}

func (w *simWorker) handleStop(now time.Duration, o dispatch.Stop) dispatch.Result {
	if w.isFenced(o.Fence) {
		return rejected(dispatch.RejectedStaleLeader)
	}
	w.blockedRuns[o.TaskKey] = max(w.blockedRuns[o.TaskKey], o.Run)
	if e, ok := w.runs[o.RunKey]; ok && e.stopAt == 0 {
		e.stopAt = now + w.simulation.cfg.MaxStopDuration
	}
	return dispatch.Acknowledged{}
}

func (w *simWorker) handleRenew(now time.Duration, o dispatch.Renew) dispatch.Result {
	if w.isFenced(o.Fence) {
		return rejected(dispatch.RejectedStaleLeader)
	}
	w.extendLease(now, o.LeaseUntil)
	w.ended = slices.DeleteFunc(w.ended, func(f dispatch.EndedRun) bool {
		isAcknowledged := f.Sequence <= o.AckSequence
		if isAcknowledged && f.EndReason == workflow.EndedDone && w.leaseExpiredAt <= w.endedAt[f.Sequence] {
			w.simulation.recordAcknowledged(now, f.RunKey)
		}
		return isAcknowledged
	})
	return dispatch.Acknowledged{}
}

// maxListedEnds is the number of ended runs that a worker lists at a time. Source: the
// platform's protocol.
const maxListedEnds = 500

func (w *simWorker) listing() (l dispatch.Listing) {
	for _, ref := range w.sortedRuns() {
		e := w.runs[ref]
		l.Running = append(l.Running, dispatch.Running{
			RunKey:  ref,
			Percent: int(100 * (e.total - e.remaining) / e.total),
		})
	}
	l.Ended = slices.Clone(w.ended[:min(len(w.ended), maxListedEnds)])
	l.HasMore = len(l.Ended) == maxListedEnds
	return l
}

func (w *simWorker) sortedRuns() []workflow.RunKey {
	return slices.SortedFunc(maps.Keys(w.runs), compareRunKeys)
}

// endRun ends a run and lists its end for the dispatcher.
func (w *simWorker) endRun(now time.Duration, ref workflow.RunKey, reason workflow.EndReason) {
	e, ok := w.runs[ref]
	if !ok {
		return
	}
	delete(w.runs, ref)
	w.blockedRuns[ref.TaskKey] = max(w.blockedRuns[ref.TaskKey], ref.Run)
	w.endedSequence++
	f := dispatch.EndedRun{
		RunEnd: workflow.RunEnd{
			RunKey:    ref,
			EndReason: reason,
		},
		Sequence: w.endedSequence,
	}
	if reason == workflow.EndedStopped {
		w.simulation.stoppedRuns++
	}
	isSaved := reason == workflow.EndedStopped && w.simulation.savesCheckpoints(ref)
	if isSaved {
		f.Checkpoint = formatCheckpoint(e.remaining)
	}
	if reason != workflow.EndedDone && !isSaved {
		w.simulation.wastedWork += (now - e.startedAt).Seconds() * e.resources.WeightedCores()
	}
	w.ended = append(w.ended, f)
	w.endedAt[w.endedSequence] = now
	w.simulation.recordEnd(now, ref, reason)
}

// tick advances the worker's runs by one time step.
func (w *simWorker) tick(now, step time.Duration) {
	if w.crashIfDue(now) {
		return
	}
	fault := w.activeFault(now)
	if w.leaseUntil < w.clock(now) {
		w.leaseExpiredAt = now
	}
	for _, ref := range w.sortedRuns() {
		e, ok := w.runs[ref]
		switch {
		case !ok:
		case w.leaseUntil < w.clock(now):
			w.endRun(now, ref, workflow.EndedLeaseExpired)
		case e.stopAt > 0 && now >= e.stopAt:
			w.endRun(now, ref, workflow.EndedStopped)
		case fault.Fails && now-e.startedAt >= failureDelay:
			w.endRun(now, ref, workflow.EndedFailed)
		case e.isGang && !w.simulation.isGangRunning(ref, e.gangSize):
			if now-e.startedAt > gangTimeout {
				w.endRun(now, ref, workflow.EndedGangIncomplete)
			}
		case !fault.Hangs:
			w.advanceRun(now, e, step, fault.SlowFactor)
		}
	}
}

// failureDelay is how long a run lasts on a worker with Fault.Fails; gangTimeout
// is how long a run waits for the other members of its gang.
const (
	failureDelay = 500 * time.Millisecond
	gangTimeout  = 3 * time.Second
)

func (w *simWorker) advanceRun(now time.Duration, e *execution, step time.Duration, slow float64) {
	if slow > 0 {
		step = time.Duration(float64(step) / slow)
	}
	e.remaining = max(e.remaining-step, 0)
	switch {
	case e.remaining > 0 || e.isGang && !w.simulation.isGangWorkDone(e.ref, e.gangSize):
	case e.alwaysFails:
		w.endRun(now, e.ref, workflow.EndedFailed)
	default:
		w.endRun(now, e.ref, workflow.EndedDone)
	}
}
