package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// reconcileRun decides what a worker is told about one run that has a place there.
func (s *scheduler) reconcileRun(v workerView, t workflow.PlacedTask) workerView {
	if v.hasUncommittedEnd(t.Ref) {
		return v
	}
	r := v.runs[t.Ref]
	mayHaveStarted := !r.isOwnPlacement || r.startsSent > 0
	if mayHaveStarted && v.worker.Incarnation == t.Born && s.isLeaseExpired(v) {
		s.end(t, workflow.EndedLost, "lease-over", s.now.Sub(v.lastAnsweredAt))
		return v
	}
	if r.pendingStop == "" {
		r = s.withStopReason(v, t, r)
		v = v.withStallPenalty(s.now, t, r)
	}
	if r.pendingStop != "" {
		return s.stopRun(v, t, r)
	}
	return s.startRun(v, t, r)
}

// isLeaseExpired reports whether everything on a worker has surely been killed. A
// worker that was never heard is bounded by what a leader before can have
// promised.
func (s *scheduler) isLeaseExpired(v workerView) bool {
	switch {
	case !v.clock.isKnown():
		return s.now.Sub(s.dispatcher.termStartedAt) > s.maxInheritedLease()
	case !v.supersededAt.IsZero():
		// The next life may have taken a start, and counts the lease anew.
		return s.now.Sub(v.supersededAt) > 2*s.maxInheritedLease()
	}
	return v.isLeaseExpired(s.now)
}

// withStopReason returns r marked with the reason to end it, if there is one.
func (s *scheduler) withStopReason(v workerView, t workflow.PlacedTask, r runState) runState {
	isStarted := !r.startedAt.IsZero()
	_, isListed := v.listed[t.Ref]
	switch {
	case !t.IsWanted:
		r.pendingStop = reasonWorkflowFinished
	case v.worker.Incarnation != t.Born:
		r.pendingStop = reasonWorkerRestarted
	case s.index.isGangBroken[t.Ref]:
		if r.gangBrokenAt.IsZero() {
			r.gangBrokenAt = s.now
		}
		if s.now.Sub(r.gangBrokenAt) >= brokenGangGrace || !isStarted {
			r.pendingStop = reasonGangBroken
		}
	case r.isStartRejected:
		r.pendingStop = reasonStartRejected
	case !isStarted && v.worker.Leaving:
		r.pendingStop = reasonWorkerLeaving
	case !isStarted && s.state.IsOutOfService(v.worker.DataCentre):
		r.pendingStop = reasonDataCentreOut
	case !isStarted && r.startsSent > 0 && s.now.Sub(r.firstStartAt) >= startTimeout:
		r.pendingStop = reasonStartUnanswered
	case isStarted && v.listingSentAt.After(r.startedAt) && !isListed:
		r.pendingStop = reasonNotListed
	case isListed && isStalled(v, s.expectedRunTime(t), r):
		r.pendingStop = reasonStalled
	}
	if r.pendingStop != "" {
		s.note(Note{
			Text:   "Run is to end.",
			Ref:    t.Ref,
			Worker: v.worker.ID,
			Reason: string(r.pendingStop),
			Age:    s.now.Sub(v.lastContact),
		})
	}
	return r
}

// withStallPenalty returns v after a run was found stuck there. A member of a gang may wait
// for another, so it counts as one failure; a single task's worker stands still.
func (v workerView) withStallPenalty(now time.Time, t workflow.PlacedTask, r runState) workerView {
	if r.pendingStop != reasonStalled {
		return v
	}
	v.isChanged = true
	v = v.withRunEnding(now, workflow.EndedFailed)
	if !t.Terms.IsGang {
		backoff := stallBackoff << min(v.consecutiveFailures, maxBackoffShift)
		v.backoffUntil = later(v.backoffUntil, now.Add(backoff))
	}
	return v
}

const (
	// stallTimeout is how long a listed run may show the same progress, if that
	// is also the time in which it should have moved by several percent.
	stallTimeout = 1800 * time.Millisecond
	// stallPercent is that progress.
	stallPercent = 10
	// stallBackoff is half of how long a worker that stands still gets nothing
	// new at first, and twice as long each time: it takes as long to find out.
	stallBackoff = 4 * time.Second
	// gangWaitPercent is the progress of a gang's member that waits for the others.
	gangWaitPercent = 99
)

// isStalled reports whether a run has not moved for much longer than it should.
func isStalled(v workerView, expected time.Duration, r runState) bool {
	unchanged := v.listingSentAt.Sub(r.progressedAt)
	return !r.progressedAt.IsZero() && r.percent < gangWaitPercent && unchanged >= max(stallTimeout, expected*stallPercent/100)
}

// startRun sends a start until it is answered. A run that an earlier leader
// placed may be there, and one that was not answered may have reached another
// life of the worker: the worker is asked first.
func (s *scheduler) startRun(v workerView, t workflow.PlacedTask, r runState) workerView {
	isAsked := r.isOwnPlacement || !v.listingSentAt.IsZero()
	if r.startsSent > 0 {
		isAsked = v.listingSentAt.After(r.lastStartAt)
	}
	if !r.startedAt.IsZero() || !isAsked || !v.clock.isKnown() || !v.supersededAt.IsZero() {
		return v.withRun(t.Ref, r)
	}
	if r.startsSent == 0 {
		r.firstStartAt = s.now
	}
	r.lastStartAt = s.now
	r.startsSent++
	r.startsInFlight++
	lease := v.clock.now(s.now) + s.dispatcher.cfg.LeaseDuration.Milliseconds()
	v.maxLeaseUntilMS = max(v.maxLeaseUntilMS, lease)
	w := s.index.workflows[t.Workflow]
	checkpoint := w.StartCheckpoint(t.Key)
	r.isResumed = checkpoint != ""
	s.send(Start{
		Target:     s.target(v),
		Ref:        t.Ref,
		Payload:    w.Spec.Payload,
		Checkpoint: checkpoint,
		LeaseUntil: lease,
	})
	return v.withRun(t.Ref, r)
}

// stopRun sends a stop until it is obeyed, and ends the run once the worker
// does not list it any more. A run that no start can have reached ends at once.
func (s *scheduler) stopRun(v workerView, t workflow.PlacedTask, r runState) workerView {
	isUnsent := r.isOwnPlacement && r.startsSent == 0
	isRejected := r.isOwnPlacement && r.isStartRejected && r.startsSent == 1
	if isUnsent || isRejected {
		s.end(t, workflow.EndedUnstarted, string(r.pendingStop), 0)
		return v.withRun(t.Ref, r)
	}
	if r.stopAckedAt.IsZero() {
		return s.sendStop(v, t.Ref, r)
	}
	_, isListed := v.listed[t.Ref]
	switch {
	case v.listingSentAt.After(r.stopAckedAt) && !isListed:
		s.end(t, workflow.EndedLost, string(r.pendingStop), s.now.Sub(v.listingSentAt))
	case isListed && s.now.Sub(r.stopAckedAt) > s.dispatcher.cfg.MaxStopDuration+time.Second:
		return s.sendStop(v, t.Ref, r)
	}
	return v.withRun(t.Ref, r)
}

func (s *scheduler) sendStop(v workerView, ref workflow.Ref, r runState) workerView {
	if s.now.Sub(r.lastStopAt) >= stopRetryInterval && v.supersededAt.IsZero() {
		r.lastStopAt = s.now
		s.send(Stop{
			Target: s.target(v),
			Ref:    ref,
		})
	}
	return v.withRun(ref, r)
}

// stopOrphans stops runs that a worker lists though they have no place there.
func (s *scheduler) stopOrphans(v workerView) workerView {
	for ref := range v.listed {
		if !v.supersededAt.IsZero() {
			return v
		}
		if s.index.placedRuns[ref] || v.hasUncommittedEnd(ref) {
			continue
		}
		s.send(Stop{
			Target: s.target(v),
			Ref:    ref,
		})
		s.note(Note{
			Text:   "Worker runs what has no place there.",
			Ref:    ref,
			Worker: v.worker.ID,
			Reason: "stopped",
			Age:    s.now.Sub(v.listingSentAt),
		})
		v = v.withoutListed(ref)
	}
	return v
}
