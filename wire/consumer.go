package wire

import (
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// Methods of controllers that the platform's processes call.
const (
	MethodSubmit         = "submit-workflow"
	MethodCancel         = "cancel-workflow"
	MethodLookup         = "look"
	MethodConfiguration  = "configuration"
	MethodAnnounceWorker = "report"
	MethodJoin           = "join"
)

// A WorkflowRequest names the queue or the workflow that a consumer asks about.
// The leader looks the queue up, so that no process acts on an older
// configuration.
type WorkflowRequest struct {
	// Host and Path are taken from the consumer's HTTP request.
	Host string `json:"host"`
	Path string `json:"path"`
	// Token is the consumer's credential; empty for none.
	Token string `json:"token,omitempty"`
}

// A Submission submits a workflow to the queue at a host and path. The part of
// the path after the queue's prefix becomes the workflow's identifier.
type Submission struct {
	WorkflowRequest
	// Spec is the workflow; its identifier, queue and organisation are not set.
	Spec workflow.Spec `json:"spec"`
}

// A Result is a leader's reply to a WorkflowRequest, a Submission or a
// WorkerAnnouncement.
type Result struct {
	// Kind is the kind of the result.
	Kind ResultKind `json:"kind"`
	// Queue is the name of the queue; empty if no queue was found.
	Queue string `json:"queue,omitempty"`
	// ID is the workflow's identifier; empty if the path names no workflow.
	ID string `json:"id,omitempty"`
	// Field names the field that is at fault and Detail explains what is wrong.
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Status is the workflow's state.
	Status workflow.Status `json:"status,omitempty"`
	// Pending is the number of the queue's accepted workflows of which no task
	// has started.
	Pending int `json:"pending"`
}

// A ResultKind tells how a request ended.
type ResultKind string

// Kinds of results.
const (
	// ResultDone means that the request was carried out.
	ResultDone ResultKind = "done"
	// ResultUnconfigured means that there is no configuration yet.
	ResultUnconfigured ResultKind = "unconfigured"
	// ResultNoQueue means that no queue matches the host and path.
	ResultNoQueue ResultKind = "no-queue"
	// ResultBadToken means that the token belongs to no organisation.
	ResultBadToken ResultKind = "bad-token"
	// ResultNoWorkflow means that there is no such workflow.
	ResultNoWorkflow ResultKind = "no-workflow"
	// ResultNoPool means that a worker's pool is not configured.
	ResultNoPool ResultKind = "no-pool"
	// ResultBadField means that a field has an invalid value.
	ResultBadField ResultKind = "bad-field"
	// ResultTaken means that the identifier belongs to a workflow of another
	// organisation.
	ResultTaken ResultKind = "taken"
	// ResultFull means that no further workflow can be accepted now.
	ResultFull ResultKind = "full"
	// ResultOverLimit means that a gang or a task of the workflow can never fit within the
	// limit of its organisation.
	ResultOverLimit ResultKind = "organisation-limit"
	// ResultUnsupported means that the queue requires a feature that is not
	// supported.
	ResultUnsupported ResultKind = "unsupported"
)

// A WorkerAnnouncement carries the announcement of a pool worker.
type WorkerAnnouncement struct {
	// Worker is the worker as announced.
	Worker pool.Worker `json:"worker"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// ClockMS is the worker's clock in milliseconds.
	ClockMS int64 `json:"clock-ms"`
}

// A Document is a configuration document as the operator wrote it.
type Document struct {
	// Version is the version of the document; zero if there is none yet.
	Version uint64 `json:"version"`
	// Source is the text of the document.
	Source []byte `json:"source"`
}

// A Joiner asks the leader to add a controller to the group.
type Joiner struct {
	// Member is the controller that asks to join.
	Member member.Member `json:"member"`
}
