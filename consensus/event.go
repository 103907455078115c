package consensus

import (
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// An Event is an input to a Replica.
type Event interface {
	event()
}

// Tick tells the replica that time has passed.
type Tick struct {
	// Jitter is a random duration, from zero to the election timeout, that is
	// added to the following election timeouts.
	Jitter time.Duration
}

// MessageReceived reports a message from another replica.
type MessageReceived struct {
	// Message is the message, whoever it is addressed to.
	Message Message
}

// Propose asks the leader to append commands to the log. Each is answered with
// Appended or Refused.
type Propose struct {
	// Proposals holds the commands, in the order in which to append them.
	Proposals []Proposal
}

// A Proposal is a command to append and a token for the answer.
type Proposal struct {
	// Token is chosen by the proposer and repeated in the answer.
	Token uint64
	// Bytes is the encoded command.
	Bytes []byte
}

// ChangeMembers asks the leader to change one member of the group. It is
// answered with Appended or Refused.
type ChangeMembers struct {
	// Token is chosen by the proposer and repeated in the answer.
	Token uint64
	// Change is the change to make.
	Change member.Change
}

// FormGroup makes a replica that belongs to no group the only voter of a new
// one. It is answered with Appended or Refused.
type FormGroup struct {
	// Token is chosen by the proposer and repeated in the answer.
	Token uint64
	// Group is the random name of the new group.
	Group string
	// Self describes this replica as a member.
	Self member.Member
}

// InstallGroup makes a replica that belongs to no group a voter of a new one, on whose
// voters all of them have agreed. Each of them gets the same first entry, and they elect
// a leader. It has no effect on a replica that belongs to a group.
type InstallGroup struct {
	// Set is the new group. The replica is one of its voters.
	Set member.Set
	// Campaigns is true if the replica starts an election at once.
	Campaigns bool
}

// EntriesSynced reports that all entries up to an index are durable on disk.
type EntriesSynced struct {
	// Index and Term identify the last durable entry. The event is ignored if
	// the log has replaced that entry since.
	Index, Term uint64
}

// HardStateSynced reports that a term and vote are durable on disk.
type HardStateSynced struct {
	// Hard is the last term and vote that are durable. The event is ignored if the replica
	// has another term or vote since.
	Hard HardState
}

// Compacted reports that a durable snapshot covers all entries up to an index,
// so that the replica can drop them.
type Compacted struct {
	// Index is the last entry to drop.
	Index uint64
}

// SnapshotReceived reports that a whole snapshot has come from a leader. It is
// not durable yet; the effect InstallSnapshot makes it so.
type SnapshotReceived struct {
	// Message identifies the sender, its group and its term; it has no body.
	Message Message
	// Meta describes the snapshot.
	Meta SnapshotMeta
}

// SnapshotSent reports that the transfer of a snapshot to a member has ended,
// whether the snapshot has arrived or not.
type SnapshotSent struct {
	// To is the identity of the member.
	To string
}

// TransferLeadership asks the leader to hand leadership over to another voter,
// before a planned stop. It has no effect if no other voter is reachable.
type TransferLeadership struct{}

func (Tick) event()               {}
func (MessageReceived) event()    {}
func (Propose) event()            {}
func (ChangeMembers) event()      {}
func (FormGroup) event()          {}
func (InstallGroup) event()       {}
func (EntriesSynced) event()      {}
func (HardStateSynced) event()    {}
func (Compacted) event()          {}
func (SnapshotReceived) event()   {}
func (SnapshotSent) event()       {}
func (TransferLeadership) event() {}

// ApplyDue wakes the replica to apply further entries that are committed.
type ApplyDue struct{}

func (ApplyDue) event() {}

// SnapshotMeta describes a snapshot without its state.
type SnapshotMeta struct {
	// Index and Term identify the last entry that the snapshot covers.
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	// Members is the set of members in force at that entry.
	Members member.Set `json:"members"`
}
