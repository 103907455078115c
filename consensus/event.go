package consensus

import (
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// An Event is what happens to a replica.
type Event interface {
	event()
}

// Tick lets time pass.
type Tick struct {
	// Jitter is a random time, from zero to the election timeout, that is
	// added to the next timeout.
	Jitter time.Duration
}

// MessageReceived brings a message.
type MessageReceived struct {
	// Message is the message.
	Message Message
}

// Propose asks the leader to append commands.
type Propose struct {
	// Proposals holds the commands in order.
	Proposals []Proposal
}

// A Proposal is one command and the token by which the proposer knows it.
type Proposal struct {
	// Token is chosen by the proposer.
	Token uint64
	// Bytes is the encoded command.
	Bytes []byte
}

// ChangeMembers asks the leader for one change of the group.
type ChangeMembers struct {
	// Token is chosen by the proposer.
	Token uint64
	// Change is the change.
	Change member.Change
}

// FormGroup makes a replica without a group the only voter of a new one.
type FormGroup struct {
	// Token is chosen by the proposer.
	Token uint64
	// Group is the random name of the new group.
	Group string
	// Self is this replica as a member.
	Self member.Member
}

// EntriesSynced says that the disk holds all entries up to an index for good.
type EntriesSynced struct {
	// Index and Term name the last entry that was synced.
	Index, Term uint64
}

// Compacted says that a durable snapshot covers all entries up to an index.
type Compacted struct {
	// Index is the last entry that the snapshot covers.
	Index uint64
}

// SnapshotReceived brings a leader's whole snapshot. The effect Install makes it
// durable.
type SnapshotReceived struct {
	// Message names the sender and its term.
	Message Message
	// Meta describes the snapshot.
	Meta SnapshotMeta
}

// TransferLeadership asks the leader to hand over before a planned stop.
type TransferLeadership struct{}

func (Tick) event()               {}
func (MessageReceived) event()    {}
func (Propose) event()            {}
func (ChangeMembers) event()      {}
func (FormGroup) event()          {}
func (EntriesSynced) event()      {}
func (Compacted) event()          {}
func (SnapshotReceived) event()   {}
func (TransferLeadership) event() {}

// SnapshotMeta describes a snapshot.
type SnapshotMeta struct {
	// Index and Term name the last entry that it covers.
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	// Members is the set of members at that entry.
	Members member.Set `json:"members"`
}
