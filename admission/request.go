// Package admission holds the decisions of a gateway: which request starts
// when and on which minion, what waits, and what is refused. It is one
// immutable value that changes by events and yields effects.
package admission

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// A Class says how pressing a request is: Urgent, Normal or Batch.
type Class interface {
	class()
}

// Urgent requests have a caller who waits.
type Urgent struct{}

// Normal requests are neither urgent nor batches.
type Normal struct{}

// Batch requests may wait as long as they meet their deadline.
type Batch struct{}

func (Urgent) class() {}
func (Normal) class() {}
func (Batch) class()  {}

// ParseClass returns the class of a name and whether it is known.
func ParseClass(name string) (Class, bool) {
	switch name {
	case "urgent":
		return Urgent{}, true
	case "normal", "":
		return Normal{}, true
	case "batch":
		return Batch{}, true
	}
	return nil, false
}

// ClassName returns the name of a class.
func ClassName(c Class) string {
	switch c.(type) {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Batch:
		return "batch"
	}
	return ""
}

// classRank orders classes, the most pressing first.
func classRank(c Class) int {
	switch c.(type) {
	case Urgent:
		return 0
	case Normal:
		return 1
	case Batch:
		return 2
	}
	return 2
}

// A Request is what is known of a request before it starts.
type Request struct {
	// Token names the request inside this gateway.
	Token uint64
	// Organisation is the organisation that makes it.
	Organisation string
	// Class says how pressing it is.
	Class Class
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Idempotent requests may run more than once.
	Idempotent bool
	// ExcludedMinions holds the minions that failed the request already.
	ExcludedMinions []string
	// IsRetry is true if the request has been started before.
	IsRetry bool
	// IsHedge is true for a second copy of a request that is still running.
	IsHedge bool
	// ArrivedAt is when the request came in.
	ArrivedAt time.Time
}

// running is a request that holds a slot.
type running struct {
	request  Request
	minion   string
	started  time.Time
	borrowed bool
	revoked  bool
	// freeAt is when the slot of a request that was cut off is freeAt; zero while
	// the request runs.
	freeAt time.Time
}

// A requestQueue holds the waiting requests of one organisation and class, the
// earliest deadline first.
type requestQueue struct {
	m *immutable.SortedMap[queueKey, Request]
}

type queueKey struct {
	deadline int64
	token    uint64
}

type queueKeyComparer struct{}

// Compare orders by deadline, then by arrival.
func (queueKeyComparer) Compare(a, b queueKey) int {
	switch {
	case a.deadline != b.deadline && a.deadline < b.deadline:
		return -1
	case a.deadline != b.deadline:
		return 1
	case a.token < b.token:
		return -1
	case a.token > b.token:
		return 1
	}
	return 0
}

func newQueue() requestQueue {
	return requestQueue{
		m: immutable.NewSortedMap[queueKey, Request](queueKeyComparer{}),
	}
}

func queueKeyOf(r Request) queueKey {
	return queueKey{
		deadline: r.Deadline.UnixNano(),
		token:    r.Token,
	}
}

func (q requestQueue) with(r Request) requestQueue {
	return requestQueue{
		m: q.m.Set(queueKeyOf(r), r),
	}
}

func (q requestQueue) without(r Request) requestQueue {
	return requestQueue{
		m: q.m.Delete(queueKeyOf(r)),
	}
}

func (q requestQueue) head() (Request, bool) {
	itr := q.m.Iterator()
	if itr.Done() {
		return Request{}, false
	}
	_, r, _ := itr.Next()
	return r, true
}
