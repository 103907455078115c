package admission

import (
	"time"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/minion"
)

// An Event is an input to a gateway's State.
type Event interface {
	event()
}

// Tick tells the gateway that time has passed.
type Tick struct{}

// RequestReceived reports a request that needs a slot. It is answered with
// Start or Refuse.
type RequestReceived struct {
	// Request is the request, with a token that no other request has.
	Request Request
}

// CancelRequest removes a request from its queue, since its caller no longer
// waits.
type CancelRequest struct {
	// Token identifies the request.
	Token uint64
}

// RequestFinished reports that a request no longer needs its slot.
type RequestFinished struct {
	// Token identifies the request.
	Token uint64
	// Result is how the request ended on the minion.
	Result Result
}

// AnnouncementReceived reports an announcement that a minion sent to this
// gateway.
type AnnouncementReceived struct {
	// Announcement is what the minion announced.
	Announcement minion.Announcement
}

// PollReplyReceived reports a controller's reply to a poll.
type PollReplyReceived struct {
	// SentAt is when the poll was sent.
	SentAt time.Time
	// Reply is the controller's reply.
	Reply control.PollReply
}

// Drain makes the gateway report that it is not ready, before a planned stop.
type Drain struct{}

func (Tick) event()                 {}
func (RequestReceived) event()      {}
func (CancelRequest) event()        {}
func (RequestFinished) event()      {}
func (AnnouncementReceived) event() {}
func (PollReplyReceived) event()    {}
func (Drain) event()                {}

// A Result is how a started request ended: Answered, Failed, Declined,
// Unreachable, Abandoned or NotSent.
type Result interface {
	result()
}

// Answered means that a complete answer came.
type Answered struct{}

// Failed means that the request was sent but no complete answer came.
type Failed struct{}

// Declined means that the minion refused the request without running it.
type Declined struct{}

// Unreachable means that no connection to the minion could be opened.
type Unreachable struct{}

// Abandoned means that the gateway closed the connection, because the caller no
// longer waits or another copy of the request was faster.
type Abandoned struct{}

// NotSent means that the last time to start the request passed before it was
// sent.
type NotSent struct{}

func (Answered) result()    {}
func (Failed) result()      {}
func (Declined) result()    {}
func (Unreachable) result() {}
func (Abandoned) result()   {}
func (NotSent) result()     {}

// mayStillRun reports whether the minion may still be running the request,
// since it does not notice at once that the connection was closed.
func mayStillRun(r Result) bool {
	switch r.(type) {
	case Abandoned, Failed:
		return true
	case Answered, Declined, Unreachable, NotSent:
	}
	return false
}

// An Effect is an action for the caller of Step to perform.
type Effect interface {
	effect()
}

// Start gives a slot to a request.
type Start struct {
	// Token identifies the request.
	Token uint64
	// Minion and Address are the name and the network address of the minion.
	Minion, Address string
	// StartBefore is when the gateway's lease ends. The request must not be
	// sent after that time.
	StartBefore time.Time
}

// Refuse ends a request that was not started.
type Refuse struct {
	// Token identifies the request.
	Token uint64
	// Reason is why the request was refused.
	Reason Reason
	// RetryAfter is how long the caller should wait before it tries again; zero
	// if it should not, or if no time is known.
	RetryAfter time.Duration
}

// Revoke takes the slot of a running request back. Only idempotent requests are
// revoked, and the gateway queues them again.
type Revoke struct {
	// Token identifies the request.
	Token uint64
}

func (Start) effect()  {}
func (Refuse) effect() {}
func (Revoke) effect() {}

// A Reason is why a request was refused. A refused request did not run.
type Reason string

// Reasons for which a request is refused.
const (
	// RefusedViewExpired means that the lease on the view has ended: the
	// gateway has not heard from the leader for too long.
	RefusedViewExpired Reason = "view-expired"
	// RefusedUnknownOrganisation means that the organisation has no contract.
	RefusedUnknownOrganisation Reason = "unknown-organisation"
	// RefusedClassNotAllowed means that the contract excludes the class.
	RefusedClassNotAllowed Reason = "class-not-allowed"
	// RefusedQueueFull means that too many requests are queued.
	RefusedQueueFull Reason = "queue-full"
	// RefusedWouldMissDeadline means that the answer is expected to come too
	// late.
	RefusedWouldMissDeadline Reason = "would-miss-deadline"
	// RefusedDeadlinePassed means that the deadline passed before the request
	// could start.
	RefusedDeadlinePassed Reason = "deadline-passed"
	// RefusedRetryBudgetSpent means that too many requests are being retried or
	// hedged.
	RefusedRetryBudgetSpent Reason = "retry-budget-spent"
	// RefusedNoMinion means that the deadline passed and no minion is known.
	RefusedNoMinion Reason = "no-minion"
)

// Reasons returns all reasons for which a request is refused.
func Reasons() []Reason {
	return []Reason{
		RefusedViewExpired, RefusedUnknownOrganisation, RefusedClassNotAllowed, RefusedQueueFull,
		RefusedWouldMissDeadline, RefusedDeadlinePassed, RefusedRetryBudgetSpent, RefusedNoMinion,
	}
}
