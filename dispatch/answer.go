package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// targetOf returns whom an order is for.
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

func (b Dispatcher) withAnswer(now time.Time, a OrderCompleted) Dispatcher {
	t := targetOf(a.Order)
	v, ok := b.view(t.Worker)
	if !ok || v.worker.Incarnation != t.Incarnation {
		return b
	}
	if a.Incarnation != 0 && a.Incarnation != t.Incarnation {
		a.Result = Rejected{
			Reason: RejectedIncarnation,
		}
		if v.goneAt.IsZero() {
			v.goneAt = now
			b = b.withNote(Note{
				Text:   "Another life of the worker answers.",
				Worker: t.Worker,
				Reason: string(RejectedIncarnation),
				Age:    now.Sub(v.heard),
			})
		}
	}
	b.isDirty = true
	avoided := v.avoidUntil
	v = v.withContact(now, b.cfg, a)
	switch o := a.Order.(type) {
	case Start:
		v = v.withStartAnswer(now, o.Ref, a.Result)
	case Stop:
		v = v.withStopAnswer(now, o.Ref, a.Result)
	case Renew:
		v = v.withHoldAnswer(now, o, a)
	}
	if v.avoidUntil.After(avoided) {
		b = b.withNote(Note{
			Text:   "Worker is avoided for " + v.avoidUntil.Sub(now).String() + ".",
			Worker: t.Worker,
			Reason: resultName(a.Result),
		})
	}
	return b.withView(v)
}

// resultName returns a result in a word for the log.
func resultName(r Result) string {
	switch r := r.(type) {
	case Acknowledged:
		return "runs-failed"
	case Rejected:
		return string(r.Reason)
	case Unhealthy:
		return "unhealthy"
	case Unanswered:
		return "silent"
	}
	return ""
}

// withContact returns v after an answer or the lack of one. Another life's
// answer says nothing about this one.
func (v view) withContact(now time.Time, cfg Config, a OrderCompleted) view {
	switch r := a.Result.(type) {
	case Unanswered:
		v.silence++
		return v
	case Rejected:
		if r.Reason == RejectedIncarnation {
			v.silence++
			return v
		}
	case Acknowledged, Unhealthy:
	}
	v.silence = 0
	v.answered, v.heard = now, now
	return v.withClock(now, cfg, a.ClockMS, true)
}

func (v view) withStartAnswer(now time.Time, ref workflow.Ref, result Result) view {
	r, ok := v.runs[ref]
	if !ok {
		return v
	}
	r.open--
	switch result := result.(type) {
	case Acknowledged:
		if r.accepted.IsZero() {
			r.accepted, r.movedAt = now, now
		}
	case Rejected:
		switch result.Reason {
		case RejectedEndedRun:
			// The run was there: its end is, or will be, listed.
			r.accepted = now
		case RejectedLeaseExpired:
			r.lastStart = time.Time{}
		case RejectedNoCapacity, RejectedOther:
			r.isRefused = true
			v = v.withAvoidance(now)
		case RejectedStaleLeader, RejectedIncarnation:
		}
	case Unhealthy:
		r.isRefused = true
		v = v.withAvoidance(now)
	case Unanswered:
		v.avoidUntil = later(v.avoidUntil, now.Add(firstAvoidance))
	}
	return v.withRun(ref, r)
}

func (v view) withStopAnswer(now time.Time, ref workflow.Ref, result Result) view {
	r, ok := v.runs[ref]
	if !ok {
		return v
	}
	if _, obeyed := result.(Acknowledged); obeyed {
		r.stopped = now
	}
	return v.withRun(ref, r)
}

func (v view) withHoldAnswer(now time.Time, h Renew, a OrderCompleted) view {
	v.holds--
	if _, obeyed := a.Result.(Acknowledged); !obeyed {
		return v
	}
	v.told = max(v.told, h.AckSequence)
	if a.SentAt.Before(v.listedAt) {
		return v
	}
	known := len(v.finished)
	v.finished = nil
	for _, f := range a.Listing.Finished {
		if f.Sequence > v.cursor {
			v.finished = append(v.finished, f)
		}
	}
	for _, f := range v.finished[min(known, len(v.finished)):] {
		v = v.withEnding(now, f.Ending)
	}
	v.listedAt, v.seenAt = a.SentAt, now
	v.listed = make(map[workflow.Ref]Running, len(a.Listing.Running))
	for _, r := range a.Listing.Running {
		v.listed[r.Ref] = r
		v = v.withProgress(now, r)
	}
	return v
}

// failuresToAvoid is how many runs in a row may fail on a worker before it is
// avoided. One is often the task's own fault.
const failuresToAvoid = 2

// withEnding returns v after the end of a run was listed for the first time.
func (v view) withEnding(now time.Time, e workflow.Ending) view {
	switch e {
	case workflow.EndedDone:
		v.refusals = 0
	case workflow.EndedFailed:
		v.refusals++
		if v.refusals >= failuresToAvoid {
			v.refusals--
			v = v.withAvoidance(now)
		}
	case workflow.EndedStopped, workflow.EndedLapsed, workflow.EndedBroken, workflow.EndedAlone,
		workflow.EndedLost, workflow.EndedUnstarted:
	}
	return v
}

// withProgress returns v after a run was listed.
func (v view) withProgress(now time.Time, listed Running) view {
	r, ok := v.runs[listed.Ref]
	if !ok {
		return v
	}
	if r.accepted.IsZero() {
		r.accepted = now
	}
	if listed.Percent != r.percent || r.movedAt.IsZero() {
		r.percent, r.movedAt = listed.Percent, now
	}
	return v.withRun(listed.Ref, r)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
