package consensus

// An Effect is what a replica wants done. Effects are carried out in order.
type Effect interface {
	effect()
}

// Persist writes to the log on disk. The writer answers with Synced.
type Persist struct {
	// Hard is the term and vote to keep.
	Hard HardState
	// Entries replace all entries from the first one's index on.
	Entries []Entry
}

// HardState is what a replica must remember of elections.
type HardState struct {
	// Term is the latest term seen.
	Term uint64 `json:"term"`
	// Vote is the identity voted for in that term; empty for none.
	Vote string `json:"vote"`
}

// Send sends a message.
type Send struct {
	// Message is the message.
	Message Message
	// AfterSync is true if all that was persisted before must be durable first.
	AfterSync bool
}

// SendSnapshot streams the latest snapshot to a replica that is far behind.
type SendSnapshot struct {
	// To is the receiver's identity.
	To string
	// Group and Term go with the snapshot.
	Group string
	Term  uint64
}

// Apply hands over entries that are committed.
type Apply struct {
	// Entries holds the entries in order.
	Entries []Entry
}

// InstallSnapshot makes the snapshot that has arrived durable and replaces the log and
// the applied state by it.
type InstallSnapshot struct {
	// Meta describes the snapshot.
	Meta SnapshotMeta
}

// Appended says where a proposal stands in the log.
type Appended struct {
	// Token is the proposer's token.
	Token uint64
	// Index and Term name the entry.
	Index, Term uint64
}

// Refused says that a proposal was not appended.
type Refused struct {
	// Token is the proposer's token.
	Token uint64
	// Reason says why.
	Reason RefusalReason
	// Detail is a sentence for people.
	Detail string
}

// RoleChanged says that the replica has another role or leader.
type RoleChanged struct {
	// Role is the name of the new role.
	Role string
	// Term is the present term.
	Term uint64
	// Leader is the identity of the leader; empty if unknown.
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

// A RefusalReason is why a proposal was not appended.
type RefusalReason string

// Reasons to refuse a proposal.
const (
	RefusedNotLeader     RefusalReason = "not-leader"
	RefusedLogFull       RefusalReason = "log-full"
	RefusedInvalidChange RefusalReason = "bad-change"
	RefusedChangePending RefusalReason = "change-pending"
	RefusedAlreadyFormed RefusalReason = "already-formed"
)
