package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/worker"
)

// Event is an input to a Core.
type Event interface {
	event()
}

// Tick is the periodic event that drives timeouts and reconciliation.
type Tick struct {
	// Jitter is a random duration from zero to the election timeout.
	Jitter time.Duration
	// TimeOfDay is the time of day, without a reading of the steady clock, at which the
	// tick was queued; zero if it is not to be compared with that.
	TimeOfDay time.Time
	// QueuedAt is the same moment by the steady clock.
	QueuedAt time.Time
}

// PeerMessageReceived delivers a message of another replica.
type PeerMessageReceived struct {
	// Message is the message.
	Message consensus.Message
	// SenderAddress is the sender's address; empty if the message has none.
	SenderAddress string
}

// Submit requests the replication of a command.
type Submit struct {
	// Token is repeated in the Reply.
	Token uint64
	// ID is the command's identifier; empty for none.
	ID string
	// Command is the command to replicate.
	Command plantainladder.Command
}

// PollReceived is a gateway's poll, by which it renews its lease on the view
// (contracts and data centres) and its share of the resources.
type PollReceived struct {
	// Token is repeated in the Reply.
	Token uint64
	// Poll is the body of the poll.
	Poll Poll
}

// HardStateSynced reports that a term and vote of the replica are durable.
type HardStateSynced struct {
	// Hard is the last term and vote that are durable.
	Hard consensus.HardState
}

// EntriesSynced reports that all log entries up to an index are durable.
type EntriesSynced struct {
	// Index and Term identify the last durable entry.
	Index, Term uint64
}

// SnapshotSaved reports that a snapshot is durable.
type SnapshotSaved struct {
	// Index is the index of the last entry that the snapshot covers.
	Index uint64
	// Bytes is the size of the encoded state.
	Bytes uint64
	// KeepAfter is copied from the SaveSnapshot.
	KeepAfter uint64
}

// SnapshotReceived delivers a complete snapshot sent by a leader.
type SnapshotReceived struct {
	// Message identifies the sender and its term.
	Message consensus.Message
	// Meta describes the snapshot.
	Meta consensus.SnapshotMeta
	// State is the decoded state.
	State plantainladder.State
	// Encoded is the state as received.
	Encoded []byte
}

// SnapshotSent reports that the transfer of a snapshot to a member has ended,
// whether the snapshot has arrived or not.
type SnapshotSent struct {
	// To is the identity of the member.
	To string
}

// DiskFullChanged reports that writes to the disk wait for room, or that they have found it.
type DiskFullChanged struct {
	// IsFull is true if a write found no room.
	IsFull bool
}

// FormGroup makes this controller the only voter of a new group.
type FormGroup struct {
	// Token is repeated in the Reply.
	Token uint64
	// Group is the group's random name.
	Group string
	// Self is this controller as a member.
	Self member.Member
}

// ChangeMembers requests a change of the group's membership.
type ChangeMembers struct {
	// Token is repeated in the Reply.
	Token uint64
	// Change adds, promotes or removes one member.
	Change member.Change
}

// ConfirmLeadership asks whether the state holds everything that the group committed
// until now. It is answered with LeadershipConfirmed or NotLeader.
type ConfirmLeadership struct {
	// Token is repeated in the Reply.
	Token uint64
}

// ApplyDue is the event that a ContinueApplying requested.
type ApplyDue struct{}

// StepDown requests a transfer of the leadership before a planned stop.
type StepDown struct{}

// PushAnswered is a worker's answer to the orders of a Push.
type PushAnswered struct {
	// Worker is the worker's name.
	Worker string
	// Incarnation is the worker's incarnation; empty if it did not respond.
	Incarnation string
	// Sequence is that of the worker's last heartbeat before the answer.
	// Heartbeats up to it do not reflect the orders.
	Sequence uint64
	// Reports holds the states of the tasks that the orders concern.
	Reports []worker.TaskReport
}

func (Tick) event()                {}
func (PeerMessageReceived) event() {}
func (Submit) event()              {}
func (PollReceived) event()        {}
func (EntriesSynced) event()       {}
func (HardStateSynced) event()     {}
func (SnapshotSaved) event()       {}
func (SnapshotReceived) event()    {}
func (SnapshotSent) event()        {}
func (DiskFullChanged) event()     {}
func (FormGroup) event()           {}
func (ChangeMembers) event()       {}
func (ConfirmLeadership) event()   {}
func (ApplyDue) event()            {}
func (StepDown) event()            {}
func (PushAnswered) event()        {}
