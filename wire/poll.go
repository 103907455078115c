package wire

import plantainladder "github.com/plantainladder/plantainladder"

// Methods of a controller.
const (
	MethodPoll     = "poll"
	MethodCommand  = "command"
	MethodLetter   = "letter"
	MethodSnapshot = "snapshot"
	MethodIdentity = "identity"
	MethodForm     = "form"
	MethodMember   = "member"
	MethodJobs     = "jobs"
	MethodWorkers  = "workers"
	MethodMinions  = "minions"
	MethodMembers  = "members"
	MethodStatus   = "status"
	MethodInForce  = "in-force"
	MethodClaims   = "claims"
)

// Command is a command on its way to the leader.
type Command struct {
	// ID is the command's identifier; empty for none.
	ID string `json:"id"`
	// Body is the command, encoded by MarshalCommand.
	Body []byte `json:"body"`
}

// CommandReply answers a Command.
type CommandReply struct {
	// Leader is false if the command was not taken.
	Leader bool `json:"leader"`
	// Redirect is the address of the leader, as far as it is known.
	Redirect string `json:"redirect,omitempty"`
	// Busy is true if the leader had no room for the command.
	Busy bool `json:"busy,omitempty"`
	// Lost is true if the command was taken and its fate is not known.
	Lost bool `json:"lost,omitempty"`
	// Outcome is what became of the command.
	Outcome plantainladder.Outcome `json:"outcome"`
}

// Answer wraps the answer to a question that only a leader with a lease gives.
type Answer[T any] struct {
	// Leader is false if the answer is empty.
	Leader bool `json:"leader"`
	// Lost is true if what was asked for may have been done: the leader took it
	// and does not know its fate.
	Lost bool `json:"lost,omitempty"`
	// Redirect is the address of the leader, as far as it is known.
	Redirect string `json:"redirect,omitempty"`
	// Body is the answer.
	Body T `json:"body"`
}

// Nothing is an empty question or answer.
type Nothing struct{}

// Identity says who a controller is.
type Identity struct {
	// ID is the identity of its disk.
	ID string `json:"id"`
	// Group is the group that it belongs to, empty for none.
	Group string `json:"group"`
}

// Form asks a controller to form a group by itself.
type Form struct {
	// Address is the controller's own address, as others reach it.
	Address string `json:"address"`
}

// Member asks the leader for a change of the group; one of Add and Remove is set.
type Member struct {
	// Add is the address of a controller to add.
	Add string `json:"add,omitempty"`
	// Replaces is the identity of the member that it replaces.
	Replaces string `json:"replaces,omitempty"`
	// Remove is the identity of the member to remove.
	Remove string `json:"remove,omitempty"`
}

// Change answers Form and Member.
type Change struct {
	// Refused is empty if the change was made.
	Refused string `json:"refused,omitempty"`
	// Detail is a sentence for people.
	Detail string `json:"detail,omitempty"`
	// ID is the identity of the controller that was added.
	ID string `json:"id,omitempty"`
}

// SnapshotChunk is a part of a snapshot.
type SnapshotChunk struct {
	From  string `json:"from"`
	Group string `json:"group"`
	Term  uint64 `json:"term"`
	// Offset is the position of Data in the snapshot's file.
	Offset int64 `json:"offset"`
	// Data is the part; the last one is empty or followed by nothing.
	Data []byte `json:"data"`
	// Last is true for the last part.
	Last bool `json:"last"`
}
