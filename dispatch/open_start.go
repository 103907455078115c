package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// openStarts holds the starts that were sent to a worker and may still be carried out, by
// run: those on their way, and for Config.MaxOrderDelay those without an answer. They outlive
// an incarnation of the worker, since the next one takes orders for it as its own. An
// openStarts is never written after it was made.
type openStarts map[workflow.RunKey]openStart

// An openStart is the open starts of one run.
type openStart struct {
	// count is how many there are.
	count int
	// sentAt is when the last of them was sent.
	sentAt time.Time
	// broken is how many of them had a connection that broke at once, the last at brokenAt.
	// They are open only if the worker has lived on.
	broken   int
	brokenAt time.Time
}

// withSent returns s after a start was sent, without those that can no longer be carried out.
func (s openStarts) withSent(now time.Time, maxDelay time.Duration, ref workflow.RunKey) openStarts {
	next := maps.Clone(s)
	if next == nil {
		next = openStarts{}
	}
	maps.DeleteFunc(next, func(_ workflow.RunKey, o openStart) bool {
		return now.Sub(o.sentAt) >= maxDelay
	})
	o := next[ref]
	// A start is repeated only after the worker has answered another order.
	o.broken = 0
	o.count++
	o.sentAt = now
	next[ref] = o
	return next
}

// maxPromptBreak is the longest time after which the break of a connection counts as one at
// once: several round trips.
const maxPromptBreak = 50 * time.Millisecond

// withCompleted returns s after a start was answered, or will get no answer any more.
func (s openStarts) withCompleted(now time.Time, ref workflow.RunKey, result Result) openStarts {
	o, ok := s[ref]
	if !ok {
		return s
	}
	unanswered, isUnanswered := result.(Unanswered)
	switch {
	case !isUnanswered || unanswered.IsUndelivered:
		o.count--
		o.broken = min(o.broken, o.count)
	case unanswered.BrokenAfter > 0 && unanswered.BrokenAfter <= maxPromptBreak:
		o.broken++
		o.brokenAt = now
	default:
		return s
	}
	next := maps.Clone(s)
	if o.count > 0 {
		next[ref] = o
	} else {
		delete(next, ref)
	}
	return next
}

// isStartOpen reports whether a start for the run may still be carried out. One whose
// connection broke at once may not if the worker has shown no sign of life since: it ended
// when the start came.
func (v workerView) isStartOpen(now time.Time, maxDelay time.Duration, ref workflow.RunKey) bool {
	o := v.openStarts[ref]
	isKept := o.count > o.broken || o.broken > 0 && v.hasLivedAfter(o.brokenAt)
	return isKept && now.Sub(o.sentAt) < maxDelay
}

// isAnyStartOpen reports whether a start for any run may still be carried out.
func (v workerView) isAnyStartOpen(now time.Time, maxDelay time.Duration) bool {
	for ref := range v.openStarts {
		if v.isStartOpen(now, maxDelay, ref) {
			return true
		}
	}
	return false
}

// hasLivedAfter reports whether the worker answered an order that was sent after a time, or
// showed later that it was running: by a message, or by a connection that broke only then.
func (v workerView) hasLivedAfter(t time.Time) bool {
	end := t.Add(maxPromptBreak)
	return v.aliveAt.After(t) || v.lastContact.After(end) || v.lastBreakAt.After(end)
}

// mayStartLate reports whether the next incarnation of a worker may carry out a start for a
// run. Starts of earlier leaders are not known, and count as sent when the term began.
func (s *reconciliation) mayStartLate(v workerView, ref workflow.RunKey) bool {
	maxDelay := s.dispatcher.cfg.MaxOrderDelay
	isInherited := !v.runs[ref].isOwnPlacement && s.now.Sub(s.dispatcher.termStartedAt) < maxDelay
	return (isInherited || v.isStartOpen(s.now, maxDelay, ref)) && !s.isAddressTaken(v)
}

// isAddressTaken reports whether another worker has been heard from at the address of one
// since that was last heard from. It rejects what arrives there for the other.
func (s *reconciliation) isAddressTaken(v workerView) bool {
	if s.byAddress == nil {
		s.byAddress = map[string][]string{}
		for id, w := range s.index.workers {
			s.byAddress[w.Address] = append(s.byAddress[w.Address], id)
		}
	}
	return slices.ContainsFunc(s.byAddress[v.worker.Address], func(id string) bool {
		other, ok := s.dispatcher.workerView(id)
		return ok && id != v.worker.ID && other.lastContact.After(v.lastContact)
	})
}
