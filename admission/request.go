// Package admission decides for a gateway which request starts when and on
// which minion, which requests wait and which are refused. State is an
// immutable value: Step takes an event and returns the next state with the
// effects for the caller to perform.
package admission

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// A Class is the priority class of a request: Urgent, Normal or Batch.
type Class interface {
	class()
}

// Urgent is the class of requests with the highest priority; they are never
// revoked.
type Urgent struct{}

// Normal is the default class.
type Normal struct{}

// Batch is the class of requests that may wait as long as they meet their
// deadline.
type Batch struct{}

func (Urgent) class() {}
func (Normal) class() {}
func (Batch) class()  {}

// ParseClass returns the class with the given name, or false if there is none.
// An empty name means Normal.
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

// ClassName returns the name of a class, as ParseClass takes it.
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

// classRank returns the priority of a class as a number, 0 for the highest.
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

// A Request is what the gateway knows about a request when it decides on it.
type Request struct {
	// Token identifies the request within this gateway process.
	Token uint64
	// Organisation is the name of the organisation that sent the request.
	Organisation string
	// Class is the priority class.
	Class Class
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Idempotent requests may be run more than once.
	Idempotent bool
	// ExcludedMinions holds the names of minions that must not be given the
	// request, since a copy of it failed there.
	ExcludedMinions []string
	// AvoidedMinions holds the names of minions that have a copy of the request
	// without an answer. They are given another only if no other minion may be.
	AvoidedMinions []string
	// IsRetry is true if an earlier copy of the request was sent and failed.
	IsRetry bool
	// IsHedge is true for a further copy of a request whose earlier copies are
	// still running.
	IsHedge bool
	// ArrivedAt is when the request reached the gateway.
	ArrivedAt time.Time
}

// running is a request that holds a slot.
type running struct {
	request Request
	minion  string
	started time.Time
	// borrowed is true if the slot is beyond the organisation's guarantee.
	borrowed bool
	// revoked is true once the slot is being taken back, or the request was
	// aborted.
	revoked bool
	// freeAt is when the slot of an aborted request becomes free; zero while
	// the request runs.
	freeAt time.Time
}

// A requestQueue holds the waiting requests of one organisation and class, the
// one with the earliest deadline first.
type requestQueue struct {
	m *immutable.SortedMap[queueKey, Request]
}

type queueKey struct {
	deadline int64
	token    uint64
}

type queueKeyComparer struct{}

// Compare orders keys by deadline, then by token.
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
	return q.first(nil)
}

// first returns the first request whose token is not among the skipped ones.
func (q requestQueue) first(skipped map[uint64]bool) (Request, bool) {
	for itr := q.m.Iterator(); !itr.Done(); {
		if _, r, _ := itr.Next(); !skipped[r.Token] {
			return r, true
		}
	}
	return Request{}, false
}
