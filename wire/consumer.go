package wire

import (
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// Methods of a controller for workflows and for those who configure them.
const (
	MethodSubmit        = "submit-workflow"
	MethodCancel        = "cancel-workflow"
	MethodLook          = "look"
	MethodConfiguration = "configuration"
	MethodReport        = "report"
	MethodJoin          = "join"
)

// A Call names what a caller of workflows asks about. The leader finds the
// queue, so that no process acts on an older configuration.
type Call struct {
	// Host and Path are what the caller named.
	Host string `json:"host"`
	Path string `json:"path"`
	// Token is what the caller showed.
	Token string `json:"token,omitempty"`
}

// A Submission is a workflow for the queue at a host and path. The part of the
// path behind the queue's prefix becomes the workflow's identifier.
type Submission struct {
	Call
	// Spec is the workflow without identifier, queue and organisation.
	Spec workflow.Spec `json:"spec"`
}

// A Verdict is a leader's answer to a Call.
type Verdict struct {
	// Kind is one of the constants below.
	Kind VerdictKind `json:"kind"`
	// Queue is the name of the queue, empty for none.
	Queue string `json:"queue,omitempty"`
	// ID is the workflow's identifier, empty if the path names none.
	ID string `json:"id,omitempty"`
	// Field and Detail say what is wrong.
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Status is the workflow's state.
	Status workflow.Status `json:"status,omitempty"`
	// Pending counts the queue's accepted workflows of which no task has begun.
	Pending int `json:"pending"`
}

// A VerdictKind is what a Verdict says.
type VerdictKind string

// Kinds of verdicts.
const (
	// VerdictDone means that the call did what it asked for.
	VerdictDone VerdictKind = "done"
	// VerdictUnconfigured means that there is no configuration yet.
	VerdictUnconfigured VerdictKind = "unconfigured"
	// VerdictNoQueue means that there is no such queue.
	VerdictNoQueue VerdictKind = "no-queue"
	// VerdictBadToken means that no organisation holds the token.
	VerdictBadToken VerdictKind = "bad-token"
	// VerdictNoWorkflow means that there is no such workflow.
	VerdictNoWorkflow VerdictKind = "no-workflow"
	// VerdictBadField means that a field is at fault.
	VerdictBadField VerdictKind = "bad-field"
	// VerdictTaken means that the identifier is another organisation's.
	VerdictTaken VerdictKind = "taken"
	// VerdictFull means that there is no room for the workflow now.
	VerdictFull VerdictKind = "full"
	// VerdictUnsupported means that the queue asks for what is not served.
	VerdictUnsupported VerdictKind = "unsupported"
)

// A Report is a worker's announcement.
type Report struct {
	// Worker is the announcement.
	Worker pool.Worker `json:"worker"`
	// Sequence rises with each announcement of a life.
	Sequence uint64 `json:"sequence"`
	// ClockMS is the worker's clock.
	ClockMS int64 `json:"clock-ms"`
}

// A Document is a configuration as it was written.
type Document struct {
	// Version is its version, zero if there is none yet.
	Version uint64 `json:"version"`
	// Source is the document.
	Source []byte `json:"source"`
}

// A Joiner is a controller that wants to be brought into the group.
type Joiner struct {
	// Member is the controller.
	Member member.Member `json:"member"`
}
