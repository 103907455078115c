package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/workflow"
)

// targetOf returns the worker that an order is sent to.
func targetOf(o Order) Target {
	switch o := o.(type) {
	case Start:
		return o.Target
	case Stop:
		return o.Target
	case Renew:
		return o.Target
	}
	return Target{}
}

// withAnswer returns d after an order completed. Of orders to an incarnation other
// than the known one, it only takes the starts off those that are open.
func (d Dispatcher) withAnswer(now time.Time, a OrderCompleted) Dispatcher {
	t := targetOf(a.Order)
	v, ok := d.workerView(t.Worker)
	if !ok {
		return d
	}
	if o, isStart := a.Order.(Start); isStart {
		v.openStarts = v.openStarts.withCompleted(now, o.RunKey, a.Result)
		d.isDirty = true
		d = d.withView(v)
	}
	if v.worker.Incarnation != t.Incarnation {
		return d
	}
	d.isDirty = true
	if v.hasEnded {
		return d.withAnswerAfterEnd(now, v, a)
	}
	if _, replaced := a.Result.(Replaced); replaced {
		return d.withReplacedWorker(now, v)
	}
	if a.Incarnation > t.Incarnation {
		return d.withNextIncarnation(now, v, a)
	}
	backoffBefore := v.backoffUntil
	v = v.withContact(now, d.cfg, a)
	switch o := a.Order.(type) {
	case Start:
		v = v.withStartAnswer(now, o.RunKey, a.Result)
	case Stop:
		v = v.withStopAnswer(now, o.RunKey, a.Result).withOrphanStopped(now, o.RunKey, a.Result)
	case Renew:
		v = v.withRenewAnswer(now, o, a)
	}
	if v.backoffUntil.After(backoffBefore) {
		d = d.withDecisionRecord(DecisionRecord{
			Text:   "Worker gets no new tasks for " + v.backoffUntil.Sub(now).String() + ".",
			Worker: t.Worker,
			Reason: resultName(a.Result),
		})
	}
	return d.withView(v)
}

// withReplacedWorker returns d after another worker answered at a worker's
// address.
func (d Dispatcher) withReplacedWorker(now time.Time, v workerView) Dispatcher {
	d = d.withDecisionRecord(DecisionRecord{
		Text:   "Another worker answered at the worker's address.",
		Worker: v.worker.ID,
		Reason: string(reasonWorkerReplaced),
		Age:    now.Sub(v.lastContact),
	})
	v.hasEnded = true
	// What is late arrives at the address of the other worker, which rejects it.
	v.openStarts = nil
	return d.withView(v)
}

// withAnswerAfterEnd returns d after an order to a worker that has ended completed. The
// next incarnation may have carried it out, which need not be known yet and cannot tell
// orders for the earlier one from its own.
func (d Dispatcher) withAnswerAfterEnd(now time.Time, v workerView, a OrderCompleted) Dispatcher {
	if _, replaced := a.Result.(Replaced); !replaced && a.Incarnation > v.worker.Incarnation {
		return d.withNextIncarnation(now, v, a)
	}
	o, isStart := a.Order.(Start)
	r, ok := v.runs[o.RunKey]
	_, acknowledged := a.Result.(Acknowledged)
	if !isStart || !ok || !acknowledged {
		return d
	}
	r.startedAfterEndAt = now
	return d.withView(v.withRun(o.RunKey, r))
}

// withNextIncarnation returns d after the next incarnation of a worker answered
// an order for the known one, which has ended. The order may have been carried
// out by the next incarnation.
func (d Dispatcher) withNextIncarnation(now time.Time, v workerView, a OrderCompleted) Dispatcher {
	d = d.withDecisionRecord(DecisionRecord{
		Text:   "Next incarnation of the worker answered before it announced itself.",
		Worker: v.worker.ID,
		Reason: string(reasonWorkerRestarted),
		Age:    now.Sub(v.lastContact),
	})
	w := v.worker
	w.Incarnation, w.Leaving, w.Sequence = a.Incarnation, false, 0
	return d.withView(v.withSuccessor(newWorkerView(now, w)).withContact(now, d.cfg, a))
}

// resultName returns the keyword for a result in the log.
func resultName(r Result) string {
	switch r := r.(type) {
	case Acknowledged:
		return "runs-failed"
	case Rejected:
		return string(r.Reason)
	case Unhealthy:
		return "unhealthy"
	case Replaced:
		return string(reasonWorkerReplaced)
	case Unanswered:
		return "silent"
	}
	return ""
}

// withContact returns v after an order was answered or went unanswered.
func (v workerView) withContact(now time.Time, cfg Config, a OrderCompleted) workerView {
	if u, unanswered := a.Result.(Unanswered); unanswered {
		v.unanswered++
		if u.BrokenAfter > 0 {
			v.lastBreakAt = now
		}
		return v
	}
	v.unanswered = 0
	v.lastAnsweredAt, v.lastContact = now, now
	v.aliveAt = util.Later(v.aliveAt, a.SentAt)
	fence := targetOf(a.Order).Fence
	isFirst := hasAcceptedFence(a.Result) && fence > v.answeredFence
	if isFirst {
		v.answeredFence = fence
	}
	return v.withClockReading(now, cfg, a.ClockMS, true, isFirst)
}

// hasAcceptedFence reports whether a worker has accepted the fence of an order, even if it
// rejected the order for another reason.
func hasAcceptedFence(r Result) bool {
	switch r := r.(type) {
	case Acknowledged:
		return true
	case Rejected:
		return r.Reason != RejectedStaleLeader && r.Reason != RejectedOther
	case Unhealthy, Replaced, Unanswered:
	}
	return false
}

func (v workerView) withStartAnswer(now time.Time, ref workflow.RunKey, result Result) workerView {
	r, ok := v.runs[ref]
	if !ok {
		return v
	}
	switch result := result.(type) {
	case Acknowledged:
		if r.startedAt.IsZero() {
			r.startedAt, r.progressedAt = now, now
		}
	case Rejected:
		switch result.Reason {
		case RejectedEndedRun:
			// The worker has had the run: its end is listed already or will be.
			r.startedAt = now
		case RejectedLeaseExpired:
			r.lastStartAt = time.Time{}
		case RejectedNoCapacity, RejectedOther:
			r.isStartRejected = true
			v = v.withBackoff(now)
		case RejectedStaleLeader:
		}
	case Unhealthy:
		r.isStartRejected = true
		v = v.withBackoff(now)
	case Unanswered:
		if result.IsUndelivered {
			r.startsUndelivered++
		}
	case Replaced:
	}
	return v.withRun(ref, r)
}

func (v workerView) withStopAnswer(now time.Time, ref workflow.RunKey, result Result) workerView {
	r, ok := v.runs[ref]
	if !ok {
		return v
	}
	if _, acknowledged := result.(Acknowledged); acknowledged {
		r.stopAckedAt = now
	}
	return v.withRun(ref, r)
}

// withRenewAnswer returns v after the answer to a Renew. A listing older than
// the last one is ignored.
func (v workerView) withRenewAnswer(now time.Time, o Renew, a OrderCompleted) workerView {
	v.renewsInFlight--
	if _, acknowledged := a.Result.(Acknowledged); !acknowledged {
		return v
	}
	v.ackedSequence = max(v.ackedSequence, o.AckSequence)
	if a.SentAt.Before(v.listingSentAt) {
		return v
	}
	known := len(v.uncommittedEnds)
	v.uncommittedEnds = nil
	for _, f := range a.Listing.Ended {
		if f.Sequence > v.committedSequence {
			v.uncommittedEnds = append(v.uncommittedEnds, f)
		}
	}
	for _, f := range v.uncommittedEnds[min(known, len(v.uncommittedEnds)):] {
		v = v.withRunEnding(now, f.EndReason).withEndListed(now, f.RunKey)
	}
	v.listingSentAt, v.listingReceivedAt, v.listingFence = a.SentAt, now, o.Fence
	v.isListingPartial = a.Listing.HasMore
	v.listed = make(map[workflow.RunKey]Running, len(a.Listing.Running))
	for _, r := range a.Listing.Running {
		v.listed[r.RunKey] = r
		v = v.withProgress(now, r)
	}
	return v
}

// failuresBeforeBackoff is the number of consecutive failed runs from which on
// a worker is in backoff. A single failure is often the task's own fault.
const failuresBeforeBackoff = 2

// withRunEnding returns v after the end of a run was listed for the first time.
func (v workerView) withRunEnding(now time.Time, e workflow.EndReason) workerView {
	switch e {
	case workflow.EndedDone:
		v.consecutiveFailures = 0
	case workflow.EndedFailed:
		v.consecutiveFailures++
		if v.consecutiveFailures >= failuresBeforeBackoff {
			v.consecutiveFailures--
			v = v.withBackoff(now)
		}
	case workflow.EndedStopped, workflow.EndedLeaseExpired, workflow.EndedGangAborted, workflow.EndedGangIncomplete,
		workflow.EndedLost, workflow.EndedCrashed, workflow.EndedNotStarted:
	}
	return v
}

// withEndListed returns v after the end of a run was listed for the first time.
func (v workerView) withEndListed(now time.Time, ref workflow.RunKey) workerView {
	r, ok := v.runs[ref]
	if !ok || !r.endListedAt.IsZero() {
		return v
	}
	r.endListedAt = now
	return v.withRun(ref, r)
}

// withProgress returns v after a run was listed as active.
func (v workerView) withProgress(now time.Time, listed Running) workerView {
	r, ok := v.runs[listed.RunKey]
	if !ok {
		return v
	}
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	if r.firstListedAt.IsZero() {
		r.firstListedAt, r.firstPercent = now, listed.Percent
	}
	if listed.Percent != r.percent || r.progressedAt.IsZero() {
		r = r.withProgressAt(now, listed.Percent)
	}
	return v.withRun(listed.RunKey, r)
}
