// Package dispatch holds the decisions of a leader on workflows: which worker
// runs which task, what each worker is told, and when a run has surely ended.
// A Dispatcher is what only the leader knows; it is never replicated.
package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A Target names the life of a worker that an order is for.
type Target struct {
	// Worker is the worker's identifier.
	Worker string
	// Incarnation names the life.
	Incarnation int64
	// Address is host and port of its HTTP interface.
	Address string
	// LeaderTerm is the leader's term. A worker ignores orders of earlier terms.
	LeaderTerm uint64
}

// An Order is what a worker is told: Start, Stop or Hold.
type Order interface {
	order()
}

// Start tells a worker to run a task. It may be repeated.
type Start struct {
	Target
	workflow.Ref
	// Payload and Checkpoint are handed to the task.
	Payload    string
	Checkpoint string
	// LeaseUntil is how long the worker may run what it has, in milliseconds
	// on its own clock. A start that arrives later is refused.
	LeaseUntil int64
}

// Stop tells a worker to end a run, or never to begin it.
type Stop struct {
	Target
	workflow.Ref
}

// Renew renews a worker's lease and asks for what it runs and what has ended.
type Renew struct {
	Target
	// LeaseUntil is as in Start; zero renews nothing.
	LeaseUntil int64
	// AckSequence is the number of the last end that may be forgotten.
	AckSequence uint64
	// MaxWait is how long the worker may wait for an end before it answers.
	MaxWait time.Duration
}

func (Start) order() {}
func (Stop) order()  {}
func (Renew) order() {}

// A Result is what came of an order: Acknowledged, Rejected, Unhealthy
// or Unanswered.
type Result interface {
	result()
}

// Acknowledged means that the worker did as it was told.
type Acknowledged struct{}

// A Rejection is why a worker rejected an order.
type Rejection string

// Rejections of a worker.
const (
	// RejectedStaleLeader means that a later leader has spoken to the worker.
	RejectedStaleLeader Rejection = "fence"
	// RejectedEndedRun means that the run has ended there or was stopped before.
	RejectedEndedRun Rejection = "old"
	// RejectedLeaseExpired means that the order came after its lease.
	RejectedLeaseExpired Rejection = "late"
	// RejectedNoCapacity means that the worker has no room.
	RejectedNoCapacity Rejection = "room"
	// RejectedIncarnation means that another life of the worker answered.
	RejectedIncarnation Rejection = "life"
	// RejectedOther is any other rejection.
	RejectedOther Rejection = "other"
)

// Rejected means that the worker did nothing.
type Rejected struct {
	// Reason says why.
	Reason Rejection
}

// Unhealthy means that the worker takes no orders at present and did nothing.
type Unhealthy struct{}

// Unanswered means that no answer came. The order may still be carried out later.
type Unanswered struct {
	// Detail says what was seen.
	Detail string
}

func (Acknowledged) result() {}
func (Rejected) result()     {}
func (Unhealthy) result()    {}
func (Unanswered) result()   {}

// A Running is a run that a worker lists.
type Running struct {
	workflow.Ref
	// Checkpoint is its last saved progress.
	Checkpoint string
	// Percent is its progress, from 0 to 100.
	Percent int
}

// A FinishedRun is an end that a worker lists.
type FinishedRun struct {
	workflow.End
	// Sequence counts the ends of the worker's life from 1.
	Sequence uint64
}

// A Listing is what a worker says it runs and what has ended.
type Listing struct {
	// Running holds the runs that go on.
	Running []Running
	// Finished holds the ends behind the cursor.
	Finished []FinishedRun
}

// An Observation is what a leader learns of workers: OrderCompleted or
// WorkerAnnounced.
type Observation interface {
	observation()
}

// OrderCompleted brings the result of an order.
type OrderCompleted struct {
	// Order is the order.
	Order Order
	// SentAt is when it was sent.
	SentAt time.Time
	// Result is what came of it.
	Result Result
	// Incarnation and ClockMS are the life that answered and its clock, zero if the
	// answer does not say.
	Incarnation int64
	ClockMS     int64
	// Listing is the answer to a Hold.
	Listing Listing
}

// WorkerAnnounced brings a worker's announcement.
type WorkerAnnounced struct {
	// Worker is the announcement.
	Worker pool.Worker
	// Sequence rises with each announcement of a life.
	Sequence uint64
	// ClockMS is the worker's clock.
	ClockMS int64
}

func (OrderCompleted) observation()  {}
func (WorkerAnnounced) observation() {}
