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
}

// withSent returns s after a start was sent, without those that can no longer be carried out.
func (s openStarts) withSent(now time.Time, maxDelay time.Duration, ref workflow.RunKey) openStarts {
	next := openStarts{
		ref: openStart{
			count:  s[ref].count + 1,
			sentAt: now,
		},
	}
	for other := range s {
		if other != ref && s.isOpen(now, maxDelay, other) {
			next[other] = s[other]
		}
	}
	return next
}

// maxPromptBreak is the longest time after which a connection that breaks shows that the worker
// ended when the order came: several round trips. A worker that leaves an order for later keeps
// the connection.
const maxPromptBreak = 50 * time.Millisecond

// mayBeLate reports whether an order that completed may still be carried out.
func mayBeLate(result Result) bool {
	switch r := result.(type) {
	case Unanswered:
		isBroken := r.BrokenAfter > 0 && r.BrokenAfter <= maxPromptBreak
		return !r.IsUndelivered && !isBroken
	case Acknowledged, Rejected, Unhealthy, Replaced:
	}
	return false
}

// withCompleted returns s after a start was answered, or will get no answer any more.
func (s openStarts) withCompleted(ref workflow.RunKey, result Result) openStarts {
	o, ok := s[ref]
	if !ok || mayBeLate(result) {
		return s
	}
	next := maps.Clone(s)
	if o.count--; o.count > 0 {
		next[ref] = o
	} else {
		delete(next, ref)
	}
	return next
}

// isOpen reports whether a start for the run may still be carried out.
func (s openStarts) isOpen(now time.Time, maxDelay time.Duration, ref workflow.RunKey) bool {
	o := s[ref]
	return o.count > 0 && now.Sub(o.sentAt) < maxDelay
}

// isAnyOpen reports whether a start for any run may still be carried out.
func (s openStarts) isAnyOpen(now time.Time, maxDelay time.Duration) bool {
	for ref := range s {
		if s.isOpen(now, maxDelay, ref) {
			return true
		}
	}
	return false
}

// mayStartLate reports whether the next incarnation of a worker may carry out a start for a
// run. Starts of earlier leaders are not known, and count as sent when the term began.
func (s *reconciliation) mayStartLate(v workerView, ref workflow.RunKey) bool {
	maxDelay := s.dispatcher.cfg.MaxOrderDelay
	isInherited := !v.runs[ref].isOwnPlacement && s.now.Sub(s.dispatcher.termStartedAt) < maxDelay
	return (isInherited || v.openStarts.isOpen(s.now, maxDelay, ref)) && !s.isAddressTaken(v)
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
