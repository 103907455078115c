package admission

import (
	"time"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/minion"
)

// An Event is what happens to a gateway.
type Event interface {
	event()
}

// Tick lets time pass.
type Tick struct{}

// RequestReceived brings a request that wants a slot.
type RequestReceived struct {
	// Request is the request.
	Request Request
}

// CancelRequest takes back a request that waits; its caller has gone.
type CancelRequest struct {
	// Token names the request.
	Token uint64
}

// RequestFinished gives back the slot of a request.
type RequestFinished struct {
	// Token names the request.
	Token uint64
	// Result is how the minion did.
	Result Result
}

// AnnouncementReceived brings a minion's announcement.
type AnnouncementReceived struct {
	// Announcement is the announcement.
	Announcement minion.Announcement
}

// PollReplyReceived brings a leader's answer to a poll.
type PollReplyReceived struct {
	// SentAt is when the poll was sent.
	SentAt time.Time
	// Reply is the answer.
	Reply control.PollReply
}

// Drain makes the gateway say that it is not ready, before a planned stop.
type Drain struct{}

func (Tick) event()                 {}
func (RequestReceived) event()      {}
func (CancelRequest) event()        {}
func (RequestFinished) event()      {}
func (AnnouncementReceived) event() {}
func (PollReplyReceived) event()    {}
func (Drain) event()                {}

// A Result is how a minion did with a request: Answered, Failed, Declined,
// Unreachable, Abandoned or Unsent.
type Result interface {
	result()
}

// Answered means that a whole answer came.
type Answered struct{}

// Failed means that the request broke off after it was sent.
type Failed struct{}

// Declined means that the minion refused the request before it ran.
type Declined struct{}

// Unreachable means that no connection could be opened.
type Unreachable struct{}

// Abandoned means that the gateway gave the request up: its caller has gone,
// or another copy was faster.
type Abandoned struct{}

// NotSent means that the right to start had ended before the request was sent.
type NotSent struct{}

func (Answered) result()    {}
func (Failed) result()      {}
func (Declined) result()    {}
func (Unreachable) result() {}
func (Abandoned) result()   {}
func (NotSent) result()     {}

// mayStillRun reports whether the minion may still be running the request, since it
// has to notice that the connection was closed.
func mayStillRun(r Result) bool {
	switch r.(type) {
	case Abandoned, Failed:
		return true
	case Answered, Declined, Unreachable, NotSent:
	}
	return false
}

// An Effect is what a gateway wants done.
type Effect interface {
	effect()
}

// Start gives a request a slot.
type Start struct {
	// Token names the request.
	Token uint64
	// Minion and Address name the minion.
	Minion, Address string
	// StartBefore is when the right to start ends.
	StartBefore time.Time
}

// Refuse ends a request that was not started.
type Refuse struct {
	// Token names the request.
	Token uint64
	// Reason says why.
	Reason Reason
	// RetryAfter is how long to wait before another try; zero if none helps.
	RetryAfter time.Duration
}

// Revoke takes the slot of a running request back. The request is idempotent;
// it is queued again.
type Revoke struct {
	// Token names the request.
	Token uint64
}

func (Start) effect()  {}
func (Refuse) effect() {}
func (Revoke) effect() {}

// A Reason is why a request was refused. It did not run.
type Reason string

// Reasons to refuse a request.
const (
	RefusedViewExpired         Reason = "view-expired"
	RefusedUnknownOrganisation Reason = "unknown-organisation"
	RefusedClassNotAllowed     Reason = "class-not-allowed"
	RefusedQueueFull           Reason = "queue-full"
	RefusedWouldMissDeadline   Reason = "would-miss-deadline"
	RefusedDeadlinePassed      Reason = "deadline-passed"
	RefusedRetryBudgetSpent    Reason = "retry-budget-spent"
	RefusedNoMinion            Reason = "no-minion"
)

// Reasons returns all reasons to refuse a request.
func Reasons() []Reason {
	return []Reason{
		RefusedViewExpired, RefusedUnknownOrganisation, RefusedClassNotAllowed, RefusedQueueFull, RefusedWouldMissDeadline, RefusedDeadlinePassed,
		RefusedRetryBudgetSpent, RefusedNoMinion,
	}
}
