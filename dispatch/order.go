// Package dispatch holds the leader's decisions on workflows: which worker runs
// which task, which orders each worker gets, and when a run must have ended.
// The Dispatcher is the leader's own state and is never replicated.
package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A Target is the incarnation of a worker that an order is sent to.
type Target struct {
	// Worker is the worker's ID.
	Worker string
	// Incarnation is the worker's incarnation; see pool.Worker.
	Incarnation int64
	// Address is the host and port of the worker's HTTP interface.
	Address string
	// Fence rises with the term of the leader that sends the order, and with the
	// incarnation. A worker rejects orders with a lower fence than one it has seen, so
	// that it takes none of earlier leaders, and none for its earlier incarnations, which
	// may arrive late.
	Fence uint64
}

// An Order is a request from the leader to a worker: Start, Stop or Renew.
type Order interface {
	order()
}

// Start tells a worker to run a task. It may be sent repeatedly for the same
// run.
type Start struct {
	Target
	workflow.RunKey
	// Payload and Checkpoint are passed to the task.
	Payload    string
	Checkpoint string
	// LeaseUntil is when the worker's lease ends, in milliseconds on the
	// worker's own clock. The worker rejects a start that arrives later.
	LeaseUntil int64
}

// Stop tells a worker to stop a run, or never to start it.
type Stop struct {
	Target
	workflow.RunKey
}

// Renew renews a worker's lease and asks which runs are active and which have
// ended. The worker may hold back the answer until a run ends.
type Renew struct {
	Target
	// LeaseUntil is as in Start; zero leaves the lease as it is.
	LeaseUntil int64
	// AckSequence is the Sequence of the last ended run that is committed. The
	// worker may drop the ended runs up to it.
	AckSequence uint64
	// MaxWait is how long the worker may wait for a run to end before it
	// answers.
	MaxWait time.Duration
}

func (Start) order() {}
func (Stop) order()  {}
func (Renew) order() {}

// A Result is the outcome of sending an order: Acknowledged, Rejected,
// Unhealthy, Replaced or Unanswered.
type Result interface {
	result()
}

// Acknowledged means that the worker carried out the order.
type Acknowledged struct{}

// A Rejection is the reason why a worker rejected an order.
type Rejection string

// Reasons to reject an order.
const (
	// RejectedStaleLeader means that the worker has had an order of a later
	// term.
	RejectedStaleLeader Rejection = "fence"
	// RejectedEndedRun means that the run has already ended there or was
	// stopped before it started.
	RejectedEndedRun Rejection = "old"
	// RejectedLeaseExpired means that the lease in the order was over on
	// arrival.
	RejectedLeaseExpired Rejection = "late"
	// RejectedNoCapacity means that the worker has too little free capacity.
	RejectedNoCapacity Rejection = "room"
	// RejectedOther is any other reason.
	RejectedOther Rejection = "other"
)

// Rejected means that the worker rejected the order and changed nothing.
type Rejected struct {
	// Reason is why the worker rejected it.
	Reason Rejection
}

// Unhealthy means that the worker currently takes no orders and changed
// nothing.
type Unhealthy struct{}

// Replaced means that another worker answered at the worker's address and
// changed nothing. The worker that the order was meant for has ended, with all
// of its runs.
type Replaced struct{}

// Unanswered means that there was no usable answer. The order may have been
// carried out, or may still be.
type Unanswered struct {
	// Detail describes the failure, for the log.
	Detail string
	// IsUndelivered is true if the order certainly did not reach the worker, since
	// there was no connection.
	IsUndelivered bool
	// BrokenAfter is how long after the order was sent its connection broke; zero if it did
	// not.
	BrokenAfter time.Duration
}

func (Acknowledged) result() {}
func (Rejected) result()     {}
func (Unhealthy) result()    {}
func (Replaced) result()     {}
func (Unanswered) result()   {}

// A Running is a run that a worker lists as going on.
type Running struct {
	workflow.RunKey
	// Checkpoint is the last saved checkpoint; empty for none.
	Checkpoint string
	// Percent is the progress from 0 to 100.
	Percent int
}

// An EndedRun is the end of a run as a worker lists it.
type EndedRun struct {
	workflow.RunEnd
	// Sequence numbers the ended runs of a worker's incarnation from 1.
	Sequence uint64
}

// A Listing is a worker's answer to a Renew.
type Listing struct {
	// Running holds the runs that are going on.
	Running []Running
	// Ended holds the ended runs after the AckSequence, or the first of them.
	Ended []EndedRun
	// HasMore is true if there may be further ones, which the worker lists once these
	// are acknowledged.
	HasMore bool
}

// An Observation is something that the leader learns about a worker:
// OrderCompleted, WorkerAnnounced or InventoryRead.
type Observation interface {
	observation()
}

// OrderCompleted reports the result of an order.
type OrderCompleted struct {
	// Order is the order that was sent.
	Order Order
	// SentAt is when it was sent, on the leader's clock.
	SentAt time.Time
	// Result is the outcome.
	Result Result
	// Incarnation and ClockMS are the incarnation that answered and its clock
	// in milliseconds. They are zero if the answer has none.
	Incarnation int64
	ClockMS     int64
	// Listing is the answer to a Renew; it is ignored for other orders.
	Listing Listing
}

// WorkerAnnounced reports a periodic announcement of a worker.
type WorkerAnnounced struct {
	// Worker is the content of the announcement.
	Worker pool.Worker
	// Sequence rises with each announcement of an incarnation.
	Sequence uint64
	// ClockMS is the worker's clock in milliseconds; zero if it was not sent.
	ClockMS int64
}

func (OrderCompleted) observation()  {}
func (WorkerAnnounced) observation() {}
