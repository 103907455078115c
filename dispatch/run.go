package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/workflow"
)

// reconcileRun decides which order, if any, a worker gets for a run placed on
// it, and whether the run must have ended.
func (s *reconciliation) reconcileRun(v workerView, t workflow.PlacedTask) workerView {
	if v.hasUncommittedEnd(t.RunKey) {
		return v
	}
	r := v.runs[t.RunKey]
	if v.hasEnded {
		if s.mayRunOnNext(v, t, r) {
			return s.holdRun(v, t, r)
		}
		s.endLost(v, t, r, string(reasonWorkerEnded), s.now.Sub(v.lastAnswerAt(s.dispatcher.termStartedAt)))
		return v
	}
	if r.mayHaveStarted() && s.isLeaseExpired(v, t) {
		if !s.hasRecentContact(v) && s.mayStartLate(v, t.RunKey) {
			return s.holdRun(v, t, r)
		}
		s.endLost(v, t, r, string(reasonLeaseExpired), s.now.Sub(v.lastAnswerAt(s.dispatcher.termStartedAt)))
		// A renewal makes the lease valid again before the end is committed.
		r.pendingStop = reasonLeaseExpired
		return v.withRun(t.RunKey, r)
	}
	r.isHeld = false
	r = s.sampleProgress(v, t, r)
	if r.pendingStop == "" {
		r = s.withStopReason(v, t, r)
		v = s.withStallPenalty(v, t, r)
	}
	if r.pendingStop != "" {
		return s.stopRun(v, t, r)
	}
	return s.startRun(v, t, r)
}

// mayRunOnNext reports whether the next incarnation of a worker that has ended may still
// carry out a start of the run, or has done so and not announced itself yet. Once it has,
// it is told to stop the run.
func (s *reconciliation) mayRunOnNext(v workerView, t workflow.PlacedTask, r runState) bool {
	isRunning := !r.startedAfterEndAt.IsZero() && s.now.Sub(r.startedAfterEndAt) <= s.maxInheritedLease()
	return s.mayStartLate(v, t.RunKey) || isRunning
}

// holdRun keeps a run that its worker cannot have any more, but the next incarnation may
// get, until that has answered a stop or the start is too old to be carried out. The other members of its gang do not wait for it.
func (s *reconciliation) holdRun(v workerView, t workflow.PlacedTask, r runState) workerView {
	s.doom(t)
	if r.isHeld {
		return v
	}
	r.isHeld, r.scene = true, s.crashScene(v)
	s.record(DecisionRecord{
		Text:   "Run is not ended yet, since the next incarnation of its worker may carry out its start.",
		RunKey: t.RunKey,
		Worker: v.worker.ID,
		Reason: string(reasonStartOpen),
		Age:    s.now.Sub(v.openStarts[t.RunKey].sentAt),
	})
	return v.withRun(t.RunKey, r)
}

// isLeaseExpired reports whether the worker must have killed a run that was
// started under its lease. If no answer of the worker had its clock, the longest
// lease that an earlier leader can have granted is the bound.
func (s *reconciliation) isLeaseExpired(v workerView, t workflow.PlacedTask) bool {
	known := s.now.Sub(util.Later(v.firstSeenAt, s.dispatcher.termStartedAt))
	bound := s.maxInheritedLease()
	if v.worker.Incarnation != t.Incarnation {
		// A start for the earlier incarnation may still reach this one, and the
		// lease counts from there.
		bound *= 2
	}
	switch {
	case !v.clock.isKnown():
		return known > bound
	case !v.clock.isConfirmed && known <= bound:
		return false
	case v.worker.Incarnation != t.Incarnation && known <= bound:
		return false
	}
	return v.isLeaseExpired(s.now)
}

// withStopReason returns r with the reason to stop the run, if there is one.
func (s *reconciliation) withStopReason(v workerView, t workflow.PlacedTask, r runState) runState {
	isStarted := !r.startedAt.IsZero()
	_, isListed := v.listed[t.RunKey]
	switch {
	case !t.IsNeeded:
		r.pendingStop = reasonWorkflowFinished
	case v.worker.Incarnation != t.Incarnation:
		r.pendingStop = reasonWorkerRestarted
	case s.index.isGangBroken[t.RunKey]:
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
	case r.startsSent == 0 && s.awaitsAnswer(v, t, r) && s.now.Sub(r.placedAt) >= startTimeout:
		r.pendingStop = reasonWorkerUnanswering
	case isStarted && v.hasListingAfter(r.startedAt) && !isListed:
		r.pendingStop = reasonNotListed
	case isListed && s.isStalled(v, t, r):
		r.pendingStop = reasonStalled
	}
	if r.pendingStop != "" {
		s.recordStop(v, t, r)
		s.doom(t)
	}
	return r
}

func (s *reconciliation) recordStop(v workerView, t workflow.PlacedTask, r runState) {
	s.record(DecisionRecord{
		Text:   "Run will be stopped.",
		RunKey: t.RunKey,
		Worker: v.worker.ID,
		Reason: string(r.pendingStop),
		Age:    s.now.Sub(v.lastContact),
	})
}

// startRun sends a start until it is answered. It first asks the worker for a
// listing if there is none with the present fence, if an earlier leader placed the
// run and may have started it, if an unanswered start may have reached another
// incarnation, or if awaitsAnswer. It waits for an orphan of the same task.
func (s *reconciliation) startRun(v workerView, t workflow.PlacedTask, r runState) workerView {
	isListingFresh := s.hasFencedListing(v) && (r.isOwnPlacement || v.hasListingAfter(time.Time{}))
	if r.startsSent > 0 {
		isListingFresh = v.hasListingAfter(r.lastStartAt)
	}
	if !r.startedAt.IsZero() || !isListingFresh || !v.clock.isKnown() || s.awaitsAnswer(v, t, r) || s.isOrphaned(v, t) {
		return v.withRun(t.RunKey, r)
	}
	switch {
	case !s.hasCapacityFor(v, t):
		r.pendingStop = reasonCapacityShrunk
	case !s.isWithinLimit(v, t):
		r.pendingStop = reasonOrganisationLimit
	}
	if r.pendingStop != "" {
		s.recordStop(v, t, r)
		s.doom(t)
		return s.stopRun(v, t, r)
	}
	if r.startsSent == 0 {
		r.firstStartAt = s.now
	}
	r.wasWorkerAlive = s.isAlive(v, r)
	r.lastStartAt = s.now
	r.startsSent++
	v.openStarts = v.openStarts.withSent(s.now, s.dispatcher.cfg.MaxOrderDelay, t.RunKey)
	lease := v.clock.now(s.now) + s.dispatcher.cfg.LeaseDuration.Milliseconds()
	v.maxLeaseUntilMS = max(v.maxLeaseUntilMS, lease)
	w := s.index.workflows[t.Workflow]
	checkpoint := w.ResumeCheckpoint(t.TaskKey)
	r.isResumed = checkpoint != ""
	s.send(Start{
		Target:     s.target(v),
		RunKey:     t.RunKey,
		Payload:    w.Spec.Payload,
		Checkpoint: checkpoint,
		LeaseUntil: lease,
	})
	return v.withRun(t.RunKey, r)
}

// stopRun sends a stop until it is acknowledged, and ends the run once a later
// listing no longer has it. A run that the worker cannot have started ends at
// once.
func (s *reconciliation) stopRun(v workerView, t workflow.PlacedTask, r runState) workerView {
	if !r.mayHaveStarted() {
		s.end(t, workflow.RunEnd{
			RunKey:    t.RunKey,
			EndReason: workflow.EndedNotStarted,
		}, string(r.pendingStop), 0)
		return v.withRun(t.RunKey, r)
	}
	if r.stopAckedAt.IsZero() {
		return s.sendStop(v, t.RunKey, r)
	}
	_, isListed := v.listed[t.RunKey]
	switch {
	case v.hasListingAfter(r.stopAckedAt) && !isListed:
		s.endLost(v, t, r, string(r.pendingStop), s.now.Sub(v.listingSentAt))
	case isListed && s.now.Sub(r.stopAckedAt) > s.dispatcher.cfg.MaxStopDuration+time.Second:
		return s.sendStop(v, t.RunKey, r)
	}
	return v.withRun(t.RunKey, r)
}

func (s *reconciliation) sendStop(v workerView, ref workflow.RunKey, r runState) workerView {
	if s.now.Sub(r.lastStopAt) >= stopRetryInterval {
		r.lastStopAt = s.now
		s.send(Stop{
			Target: s.target(v),
			RunKey: ref,
		})
	}
	return v.withRun(ref, r)
}
