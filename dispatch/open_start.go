package dispatch

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// openStarts holds the starts that were sent to a worker and may still be carried out, by
// run. They outlive an incarnation of the worker, since the next one takes orders for it as
// its own. An openStarts is never written after it was made.
type openStarts map[workflow.RunKey]openStart

// An openStart is the open starts of one run.
type openStart struct {
	// count is how many there are.
	count int
	// sentAt is when the last of them was sent.
	sentAt time.Time
}

// withSent returns s after a start was sent.
func (s openStarts) withSent(now time.Time, ref workflow.RunKey) openStarts {
	next := maps.Clone(s)
	if next == nil {
		next = openStarts{}
	}
	next[ref] = openStart{
		count:  s[ref].count + 1,
		sentAt: now,
	}
	return next
}

// withCompleted returns s after a start was answered or will get no answer any more.
func (s openStarts) withCompleted(ref workflow.RunKey) openStarts {
	o, ok := s[ref]
	if !ok {
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
