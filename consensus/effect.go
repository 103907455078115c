package consensus

// An Effect is an action for the caller of Step to perform. Effects must be
// performed in the order in which they are returned.
type Effect interface {
	effect()
}

// Persist appends a record to the log on disk. Once its entries are durable, the caller
// reports EntriesSynced, and HardStateSynced for its term and vote.
type Persist struct {
	// Hard is the term and vote to store.
	Hard HardState
	// Entries replace all entries from the index of the first one onwards.
	Entries []Entry
}

// HardState is the part of a replica's state, besides the log, that must
// survive a restart, so that the replica never votes twice in a term.
type HardState struct {
	// Term is the latest term that the replica has seen.
	Term uint64 `json:"term"`
	// Vote is the identity that it voted for in that term, or "" for none.
	Vote string `json:"vote"`
}

// Send sends a message to another replica.
type Send struct {
	// Message is the message to send.
	Message Message
	// AfterSync is true if everything persisted before must be durable before
	// the message is sent.
	AfterSync bool
}

// SendSnapshot streams the latest snapshot to a member whose next entry the log
// no longer holds.
type SendSnapshot struct {
	// To is the identity of the member.
	To string
	// Group and Term are the sender's, to be sent with the snapshot.
	Group string
	Term  uint64
}

// Apply hands committed entries to the state machine.
type Apply struct {
	// Entries holds the entries in log order.
	Entries []Entry
}

// InstallSnapshot makes a received snapshot durable and replaces the log and
// the applied state with it.
type InstallSnapshot struct {
	// Meta describes the snapshot.
	Meta SnapshotMeta
}

// Appended reports the position of a proposal in the log. The proposal is not
// yet committed, unless it is a change of members that was made before.
type Appended struct {
	// Token is the token that came with the proposal.
	Token uint64
	// Index and Term identify the entry.
	Index, Term uint64
}

// Refused reports that a proposal was not appended.
type Refused struct {
	// Token is the token that came with the proposal.
	Token uint64
	// Reason is the cause, for programs.
	Reason RefusalReason
	// Detail is the cause as a sentence for people; it may be empty.
	Detail string
}

// RoleChanged reports that the role, the term or the known leader has changed.
type RoleChanged struct {
	// Role is the name of the current role.
	Role string
	// Term is the current term.
	Term uint64
	// Leader is the identity of the leader, or "" if it is unknown.
	Leader string
}

func (Persist) effect()         {}
func (Send) effect()            {}
func (SendSnapshot) effect()    {}
func (Apply) effect()           {}
func (InstallSnapshot) effect() {}
func (Appended) effect()        {}
func (Refused) effect()         {}
func (RoleChanged) effect()     {}

// A RefusalReason is the cause for which a proposal was not appended.
type RefusalReason string

// Reasons for which a proposal is refused.
const (
	// RefusedNotLeader means that the replica is not the leader or is handing
	// leadership over.
	RefusedNotLeader RefusalReason = "not-leader"
	// RefusedLogFull means that too many entries, or too large ones, are not yet committed
	// or not yet durable on the leader's own disk.
	RefusedLogFull RefusalReason = "log-full"
	// RefusedTooLarge means that no message can hold the command.
	RefusedTooLarge RefusalReason = "too-large"
	// RefusedInvalidChange means that the set of members cannot be changed so.
	RefusedInvalidChange RefusalReason = "bad-change"
	// RefusedChangePending means that an earlier change of members, or the
	// first entry of the leader's term, is not yet committed.
	RefusedChangePending RefusalReason = "change-pending"
	// RefusedAlreadyFormed means that the replica belongs to a group already.
	RefusedAlreadyFormed RefusalReason = "already-formed"
)
