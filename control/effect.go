package control

import (
	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/worker"
)

// An Effect is what a controller wants done.
type Effect interface {
	effect()
}

// Write writes to the log on disk.
type WriteLog struct {
	// Persist is what to write.
	Persist consensus.Persist
}

// Post sends a letter to another replica.
type Post struct {
	// Letter is the letter.
	Message consensus.Message
	// Address is the receiver's address.
	Address string
	// ReturnTo is this controller's own address, for a receiver that does not
	// know the group yet.
	SenderAddress string
	// AfterSync is true if all that was written before must be durable first.
	AfterSync bool
}

// StreamSnapshot sends the latest snapshot to another replica.
type StreamSnapshot struct {
	// Send names the receiver.
	Send consensus.SendSnapshot
	// Address is the receiver's address.
	Address string
}

// SaveSnapshot makes a snapshot durable and trims the log on disk.
type SaveSnapshot struct {
	// Meta describes the snapshot.
	Meta consensus.SnapshotMeta
	// State is the state to save.
	State plantainladder.State
	// KeepAfter is the index of the last entry that the log need not hold.
	KeepAfter uint64
}

// AdoptSnapshot makes a snapshot that has arrived durable in place of the
// whole log.
type InstallSnapshot struct {
	// Meta describes the snapshot.
	Meta consensus.SnapshotMeta
	// Encoded is the snapshot's state as it arrived.
	Encoded []byte
}

// Reply answers a request.
type Reply struct {
	// Token is the request's token.
	Token uint64
	// Answer is what to answer.
	Answer Answer
}

// Push pushes orders to a worker.
type Push struct {
	// Worker is the worker's name.
	Worker string
	// Address is the worker's address.
	Address string
	// Orders holds the orders.
	Orders []worker.Order
}

// Note says something for the log of the process.
type Note struct {
	// Text is a short sentence.
	Text string
}

// Count raises a counter of the process.
type IncrementCounter struct {
	// Name is the counter's name without its prefix.
	Name CounterName
	// Label is the value of its only label.
	Label string
}

func (WriteLog) effect()         {}
func (Post) effect()             {}
func (StreamSnapshot) effect()   {}
func (SaveSnapshot) effect()     {}
func (InstallSnapshot) effect()  {}
func (Reply) effect()            {}
func (Push) effect()             {}
func (Note) effect()             {}
func (IncrementCounter) effect() {}

// A CounterName names a counter of the controller.
type CounterName string

// Counters of the controller.
const (
	CounterCommands     CounterName = "commands_total"
	CounterRefusals     CounterName = "command_refusals_total"
	CounterJobStops     CounterName = "job_stops_total"
	CounterOrdersPushed CounterName = "orders_pushed_total"
	CounterOrderRetries CounterName = "order_retries_total"
)

// An Answer is the content of a Reply: NotLeader, Busy, Lost, Done, Refused or
// Polled.
type Answer interface {
	answer()
}

// NotLeader says that another controller may lead.
type NotLeader struct {
	// Redirect is the leader's address, empty if unknown.
	Redirect string
}

// Busy says that the request was not taken for want of room.
type Busy struct{}

// Lost says that the request was taken and that its fate is not known.
type OutcomeUnknown struct{}

// Done says what became of a command or a change.
type Committed struct {
	// Outcome is the command's outcome.
	Outcome plantainladder.Outcome
}

// Refused says that a change of the group was not made.
type Refused struct {
	// Reason and Detail say why.
	Reason, Detail string
}

// Polled answers a poll.
type PollResult struct {
	// Reply is the answer.
	Reply PollReply
}

func (NotLeader) answer()      {}
func (Busy) answer()           {}
func (OutcomeUnknown) answer() {}
func (Committed) answer()      {}
func (Refused) answer()        {}
func (PollResult) answer()     {}
