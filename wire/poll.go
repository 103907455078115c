package wire

import plantainladder "github.com/plantainladder/plantainladder"

// Methods of controllers that gateways and other controllers call.
const (
	MethodPoll      = "poll"
	MethodCommand   = "command"
	MethodMessage   = "letter"
	MethodSnapshot  = "snapshot"
	MethodIdentity  = "identity"
	MethodFormGroup = "form"
	MethodMember    = "member"
	MethodJobs      = "jobs"
	MethodWorkers   = "workers"
	MethodMinions   = "minions"
	MethodMembers   = "members"
	MethodStatus    = "status"
	MethodInForce   = "in-force"
	MethodClaims    = "claims"
)

// Command carries a command to the leader.
type Command struct {
	// ID identifies the command, so that repeating it is safe; empty for none.
	ID string `json:"id"`
	// Body is the command, encoded by MarshalCommand.
	Body []byte `json:"body"`
}

// CommandReply answers a Command.
type CommandReply struct {
	// Leader is false if the controller does not lead and did not accept the
	// command.
	Leader bool `json:"leader"`
	// Redirect is the address of the leader; empty if it is not known.
	Redirect string `json:"redirect,omitempty"`
	// Busy is true if the leader did not accept the command and may do so later.
	Busy bool `json:"busy,omitempty"`
	// BusyReason is why.
	BusyReason BusyReason `json:"busy-reason,omitempty"`
	// GroupIncomplete is true if BusyReason is BusyGroupIncomplete, for gateways that
	// do not know BusyReason.
	GroupIncomplete bool `json:"group-incomplete,omitempty"`
	// OutcomeUnknown is true if the leader accepted the command and does not know
	// whether it was committed.
	OutcomeUnknown bool `json:"lost,omitempty"`
	// Outcome is the outcome of the command.
	Outcome plantainladder.Outcome `json:"outcome"`
}

// A BusyReason is why a leader accepts no commands now; empty if its log or its queue has
// no room.
type BusyReason string

// Reasons for which a leader is busy.
const (
	// BusyGroupIncomplete means that its group has too few voters yet.
	BusyGroupIncomplete BusyReason = "group-incomplete"
	// BusyCommitStalled means that it commits nothing at present.
	BusyCommitStalled BusyReason = "commit-stalled"
)

// LeaderReply wraps a reply that only a leader gives, most of them only while
// it holds a lease.
type LeaderReply[T any] struct {
	// Leader is false if the controller does not lead; Body is empty then.
	Leader bool `json:"leader"`
	// BusyReason is why a leader did not accept what was asked for and may do so later;
	// Leader is false then. It is empty for none.
	BusyReason BusyReason `json:"busy-reason,omitempty"`
	// OutcomeUnknown is true if the leader accepted what was asked for and does not
	// know whether it was committed.
	OutcomeUnknown bool `json:"lost,omitempty"`
	// Redirect is the address of the leader; empty if it is not known.
	Redirect string `json:"redirect,omitempty"`
	// Body is the reply itself.
	Body T `json:"body"`
}

// Empty is a request or a reply without content.
type Empty struct{}

// Identity identifies a controller.
type Identity struct {
	// ID is the identifier stored on the controller's disk.
	ID string `json:"id"`
	// Group is the group that the controller belongs to; empty for none.
	Group string `json:"group"`
}

// FormGroup asks a controller to form a group with itself as the only member.
type FormGroup struct {
	// Address is the address at which others reach the controller.
	Address string `json:"address"`
}

// ChangeMembersRequest asks the leader to change the members of the group. Either
// Add or Remove is set.
type ChangeMembersRequest struct {
	// Add is the address of the controller to add.
	Add string `json:"add,omitempty"`
	// Replaces is the identifier of the member that the added controller replaces;
	// empty for none.
	Replaces string `json:"replaces,omitempty"`
	// Remove is the identifier of the member to remove.
	Remove string `json:"remove,omitempty"`
}

// ChangeMembersReply is the reply to FormGroup and
// ChangeMembersRequest.
type ChangeMembersReply struct {
	// Refused is the reason of a refusal; empty if the change was made.
	Refused string `json:"refused,omitempty"`
	// Detail explains the refusal in words.
	Detail string `json:"detail,omitempty"`
	// ID is the identifier of the controller that was added.
	ID string `json:"id,omitempty"`
}

// SnapshotChunk carries a part of a snapshot to another controller.
type SnapshotChunk struct {
	From  string `json:"from"`
	Group string `json:"group"`
	Term  uint64 `json:"term"`
	// Offset is the position of Data in the snapshot file, in bytes.
	Offset int64 `json:"offset"`
	// Data holds the bytes of the part; it may be empty in the last one.
	Data []byte `json:"data"`
	// Last is true for the last part of the snapshot.
	Last bool `json:"last"`
}
