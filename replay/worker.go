package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// execution is a run on a simulated worker.
type execution struct {
	ref workflow.RunKey
	// left is the work that is left; total is all of it.
	left, total time.Duration
	each        pool.ResourceVector
	isGang      bool
	members     int
	stopAt      time.Duration
	since       time.Duration
	isHopeless  bool
}

// simWorker is a simulated worker.
type simWorker struct {
	world    *Simulation
	pool     pool.Worker
	troubles []Fault
	offset   time.Duration
	sequence uint64
	fence    uint64
	lease    int64
	runs     map[workflow.RunKey]*execution
	blocked  map[workflow.TaskKey]int
	finished []dispatch.FinishedRun
	number   uint64
	gone     bool
	// leavingSince is when its announcement that it leaves was acknowledged, zero
	// for never.
	leavingSince time.Duration
	// isDelayed is true while it carries an order out that was held up.
	isDelayed bool
	// endedAt holds when each listed end took place; lapsedAt is when the lease
	// last was over.
	endedAt  map[uint64]time.Duration
	lapsedAt time.Duration
}

func (w *simWorker) trouble(now time.Duration) (t Fault) {
	for _, known := range w.troubles {
		if now >= known.From && now < known.Until {
			return known
		}
	}
	return t
}

func (w *simWorker) clock(now time.Duration) int64 {
	return (now + w.offset).Milliseconds()
}

// restart begins a new life that knows nothing.
func (w *simWorker) restart(now time.Duration) {
	w.pool.Incarnation += now.Milliseconds() + 1
	w.pool.Leaving, w.leavingSince = false, 0
	w.sequence, w.fence, w.lease, w.number = 0, 0, 0, 0
	w.offset = -now
	for _, ref := range w.sortedRuns() {
		delete(w.runs, ref)
		w.world.ended(now, ref, workflow.EndedLost)
	}
	w.blocked = map[workflow.TaskKey]int{}
	w.finished = nil
}

// obey carries an order out and returns the answer.
func (w *simWorker) obey(now time.Duration, o dispatch.Order) dispatch.OrderCompleted {
	a := dispatch.OrderCompleted{
		Order:       o,
		Incarnation: w.pool.Incarnation,
		ClockMS:     w.clock(now),
	}
	switch o := o.(type) {
	case dispatch.Start:
		a.Result = w.start(now, o)
	case dispatch.Stop:
		a.Result = w.stop(now, o)
	case dispatch.Renew:
		a.Result = w.hold(now, o)
		a.Listing = w.listing()
	}
	return a
}

func (w *simWorker) isFenced(fence uint64) bool {
	w.fence = max(w.fence, fence)
	return fence < w.fence
}

func rejected(r dispatch.Rejection) dispatch.Result {
	return dispatch.Rejected{
		Reason: r,
	}
}

func (w *simWorker) start(now time.Duration, o dispatch.Start) dispatch.Result {
	_, isThere := w.runs[o.RunKey]
	switch {
	case w.isFenced(o.LeaderTerm):
		return rejected(dispatch.RejectedStaleLeader)
	case o.LeaseUntil < w.clock(now):
		return rejected(dispatch.RejectedLeaseExpired)
	}
	w.lease = max(w.lease, o.LeaseUntil)
	if isThere {
		return dispatch.Acknowledged{}
	}
	if o.Run <= w.blocked[o.TaskKey] {
		return rejected(dispatch.RejectedEndedRun)
	}
	e := w.world.begin(now, w, o.RunKey)
	if o.Checkpoint != "" {
		e.left = min(e.left, savedWork(o.Checkpoint, e.total))
	}
	w.runs[o.RunKey] = e
	return dispatch.Acknowledged{}
}

func (w *simWorker) stop(now time.Duration, o dispatch.Stop) dispatch.Result {
	if w.isFenced(o.LeaderTerm) {
		return rejected(dispatch.RejectedStaleLeader)
	}
	w.blocked[o.TaskKey] = max(w.blocked[o.TaskKey], o.Run)
	if e, ok := w.runs[o.RunKey]; ok && e.stopAt == 0 {
		e.stopAt = now + w.world.cfg.MaxStopDuration
	}
	return dispatch.Acknowledged{}
}

func (w *simWorker) hold(now time.Duration, o dispatch.Renew) dispatch.Result {
	if w.isFenced(o.LeaderTerm) {
		return rejected(dispatch.RejectedStaleLeader)
	}
	w.lease = max(w.lease, o.LeaseUntil)
	w.finished = slices.DeleteFunc(w.finished, func(f dispatch.FinishedRun) bool {
		isNoted := f.Sequence <= o.AckSequence
		if isNoted && f.EndReason == workflow.EndedDone && w.lapsedAt <= w.endedAt[f.Sequence] {
			w.world.noted(now, f.RunKey)
		}
		return isNoted
	})
	return dispatch.Acknowledged{}
}

func (w *simWorker) listing() (l dispatch.Listing) {
	for _, ref := range w.sortedRuns() {
		e := w.runs[ref]
		l.Running = append(l.Running, dispatch.Running{
			RunKey:  ref,
			Percent: int(100 * (e.total - e.left) / e.total),
		})
	}
	l.Finished = slices.Clone(w.finished)
	return l
}

func (w *simWorker) sortedRuns() []workflow.RunKey {
	return slices.SortedFunc(maps.Keys(w.runs), compareRefs)
}

// end lists the end of a run.
func (w *simWorker) end(now time.Duration, ref workflow.RunKey, how workflow.EndReason) {
	e, ok := w.runs[ref]
	if !ok {
		return
	}
	delete(w.runs, ref)
	w.blocked[ref.TaskKey] = max(w.blocked[ref.TaskKey], ref.Run)
	w.number++
	f := dispatch.FinishedRun{
		RunEnd: workflow.RunEnd{
			RunKey:    ref,
			EndReason: how,
		},
		Sequence: w.number,
	}
	if how == workflow.EndedStopped {
		w.world.stops++
	}
	isSaved := how == workflow.EndedStopped && w.world.saves(ref)
	if isSaved {
		f.Checkpoint = checkpoint(e.left)
	}
	if how != workflow.EndedDone && !isSaved {
		w.world.waste += (now - e.since).Seconds() * e.each.WeightedCores()
	}
	w.finished = append(w.finished, f)
	w.endedAt[w.number] = now
	w.world.ended(now, ref, how)
}

// work lets a step of time pass.
func (w *simWorker) work(now, step time.Duration) {
	t := w.trouble(now)
	if w.lease < w.clock(now) {
		w.lapsedAt = now
	}
	for _, ref := range w.sortedRuns() {
		e, ok := w.runs[ref]
		switch {
		case !ok:
		case w.lease < w.clock(now):
			w.end(now, ref, workflow.EndedLeaseExpired)
		case e.stopAt > 0 && now >= e.stopAt:
			w.end(now, ref, workflow.EndedStopped)
		case t.Fails && now-e.since >= failAfter:
			w.end(now, ref, workflow.EndedFailed)
		case e.isGang && !w.world.isComplete(ref, e.members):
			if now-e.since > gangPatience {
				w.end(now, ref, workflow.EndedGangIncomplete)
			}
		case !t.Hangs:
			w.advance(now, e, step, t.SlowFactor)
		}
	}
}

const (
	failAfter    = 500 * time.Millisecond
	gangPatience = 3 * time.Second
)

func (w *simWorker) advance(now time.Duration, e *execution, step time.Duration, slow float64) {
	if slow > 0 {
		step = time.Duration(float64(step) / slow)
	}
	e.left = max(e.left-step, 0)
	switch {
	case e.left > 0 || e.isGang && !w.world.isGangDone(e.ref, e.members):
	case e.isHopeless:
		w.end(now, e.ref, workflow.EndedFailed)
	default:
		w.end(now, e.ref, workflow.EndedDone)
	}
}
