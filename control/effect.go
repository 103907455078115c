package control

import (
	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/worker"
)

// Effect is an action for the caller of Core.Step to perform.
type Effect interface {
	effect()
}

// WriteLog writes to the log on disk.
type WriteLog struct {
	// Persist holds the entries and the hard state to write.
	Persist consensus.Persist
}

// SendMessage sends a message to another replica.
type SendMessage struct {
	// Message is the message.
	Message consensus.Message
	// Address is the receiver's address.
	Address string
	// SenderAddress is this controller's own address, for a receiver that does
	// not know the group's members yet.
	SenderAddress string
	// AfterSync is true if all earlier writes must be durable before the message
	// is sent.
	AfterSync bool
}

// StreamSnapshot sends the latest snapshot to another replica.
type StreamSnapshot struct {
	// Send identifies the receiver.
	Send consensus.SendSnapshot
	// Address is the receiver's address.
	Address string
}

// SaveSnapshot writes a snapshot durably and compacts the log on disk.
type SaveSnapshot struct {
	// Meta describes the snapshot.
	Meta consensus.SnapshotMeta
	// State is the state to save.
	State plantainladder.State
	// KeepAfter is the index of the last entry that the log may drop.
	KeepAfter uint64
}

// InstallSnapshot writes a received snapshot durably and replaces the whole log
// by it.
type InstallSnapshot struct {
	// Meta describes the snapshot.
	Meta consensus.SnapshotMeta
	// Encoded is the snapshot's state as received.
	Encoded []byte
}

// Reply completes a request.
type Reply struct {
	// Token is the request's token.
	Token uint64
	// Answer is the result of the request.
	Answer Answer
}

// Push sends orders to a worker. The worker's answer comes back as
// PushAnswered.
type Push struct {
	// Worker is the worker's name.
	Worker string
	// Address is the worker's address.
	Address string
	// Orders holds the orders in the sequence in which they were issued.
	Orders []worker.Order
}

// ContinueApplying requests an ApplyDue event behind all events that are queued.
type ContinueApplying struct{}

// LogMessage writes a line to the process log.
type LogMessage struct {
	// Text is the message, a short sentence.
	Text string
}

// IncrementCounter adds one to a metric.
type IncrementCounter struct {
	// Name is the metric's name without its prefix.
	Name CounterName
	// Label is the value of the metric's only label.
	Label string
}

func (WriteLog) effect()         {}
func (SendMessage) effect()      {}
func (StreamSnapshot) effect()   {}
func (SaveSnapshot) effect()     {}
func (InstallSnapshot) effect()  {}
func (Reply) effect()            {}
func (Push) effect()             {}
func (ContinueApplying) effect() {}
func (LogMessage) effect()       {}
func (IncrementCounter) effect() {}

// CounterName is the name of a counter metric of the controller.
type CounterName string

// Counters of the controller, without their prefix.
const (
	CounterCommands     CounterName = "commands_total"
	CounterRefusals     CounterName = "command_refusals_total"
	CounterJobStops     CounterName = "job_stops_total"
	CounterOrdersPushed CounterName = "orders_pushed_total"
	CounterOrderRetries CounterName = "order_retries_total"
	CounterRunCrashes   CounterName = "run_crashes_total"
	CounterLossVerdicts CounterName = "loss_verdicts_total"
	CounterStandstills  CounterName = "standstills_total"
	CounterCommitStalls CounterName = "commit_stalls_total"

	CounterLeadershipsLost CounterName = "leaderships_lost_total"
)

// Labels of CounterRunCrashes: whether other workflows had runs on the worker.
const (
	LabelAlone  = "alone"
	LabelShared = "shared"
)

// Answer is the result of a request: NotLeader, Busy, OutcomeUnknown, Committed,
// Refused, LeadershipConfirmed or PollResult.
type Answer interface {
	answer()
}

// NotLeader reports that this controller does not lead the group.
type NotLeader struct {
	// Redirect is the leader's address; empty if unknown.
	Redirect string
}

// Busy reports that the request cannot be accepted now and may be retried. Nothing was
// proposed.
type Busy struct {
	// Reason is the cause.
	Reason BusyReason
}

// A BusyReason is why a controller accepts no request now.
type BusyReason string

// Reasons for which a controller is busy.
const (
	// BusyFull means that the log or the queue of the event loop has no room.
	BusyFull BusyReason = ""
	// BusyGroupIncomplete means that the group has too few voters yet.
	BusyGroupIncomplete BusyReason = "group-incomplete"
	// BusyCommitStalled means that the leader has committed nothing for some time
	// although entries wait for that.
	BusyCommitStalled BusyReason = "commit-stalled"
)

// OutcomeUnknown reports that the request was accepted and that it is not known
// whether it takes effect.
type OutcomeUnknown struct{}

// Committed reports that a command or a membership change was committed.
type Committed struct {
	// Outcome is the result of applying the entry.
	Outcome plantainladder.Outcome
}

// Refused reports a request that was rejected: a command that cannot be encoded,
// or a change of the group that is not allowed.
type Refused struct {
	// Reason is a code from a fixed set, Detail an explanation in plain text.
	Reason, Detail string
}

// LeadershipConfirmed reports that the published state holds everything that the group
// had committed when the request came.
type LeadershipConfirmed struct{}

// PollResult answers a gateway's poll.
type PollResult struct {
	// Reply is the body of the answer.
	Reply PollReply
}

func (NotLeader) answer()           {}
func (Busy) answer()                {}
func (OutcomeUnknown) answer()      {}
func (Committed) answer()           {}
func (Refused) answer()             {}
func (LeadershipConfirmed) answer() {}
func (PollResult) answer()          {}
