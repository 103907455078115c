package plantainladder

import (
	"time"

	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/worker"
)

// A Command is a change of the replicated state. Commands are replicated in the log
// and applied in its order.
type Command interface {
	command()
}

// PutContract creates or edits a contract.
type PutContract struct {
	// Contract is the new contract. Its revision is that of the contract that was
	// edited, zero for a new contract.
	Contract contract.Contract `json:"contract"`
}

// DropContract removes the contract of an organisation without active jobs.
type DropContract struct {
	// Organisation is the organisation's name.
	Organisation string `json:"organisation"`
	// Revision is the revision of the contract that is to be removed.
	Revision uint64 `json:"revision"`
}

// SetDataCentre takes a data centre out of service or puts it back.
type SetDataCentre struct {
	// Name is the data centre's name.
	Name string `json:"name"`
	// OutOfService is true to take it out.
	OutOfService bool `json:"out"`
	// Revision is the revision of the data centre that was edited, zero for one
	// that was never edited.
	Revision uint64 `json:"revision"`
	// Force makes the edit regardless of the revision, for an interface whose
	// requests carry none.
	Force bool `json:"force,omitempty"`
}

// RegisterWorker adds a worker or updates its registration.
type RegisterWorker struct {
	// Worker is the new registration.
	Worker worker.Worker `json:"worker"`
}

// RemoveWorker removes the registration of a worker that holds no task.
type RemoveWorker struct {
	// Name is the worker's name.
	Name string `json:"name"`
}

// MakeClaim claims the right to run a non-idempotent request.
type MakeClaim struct {
	// Key identifies the claim.
	Key claim.Key `json:"key"`
	// Fingerprint is a digest of the request, by which the reuse of a key for
	// another request is recognised.
	Fingerprint string `json:"fingerprint"`
	// Holder is the gateway that makes the claim and wants to run the request.
	Holder string `json:"holder"`
	// TimeoutMS is the time in milliseconds after which the claim becomes Unknown
	// unless it is settled.
	TimeoutMS int64 `json:"within-ms"`
}

// SettleClaim records the outcome of a claimed request.
type SettleClaim struct {
	// Key identifies the claim.
	Key claim.Key `json:"key"`
	// Attempt is the attempt of the claim that the outcome belongs to.
	Attempt int `json:"attempt"`
	// State is Done, NotRun or Unknown.
	State claim.State `json:"state"`
	// Answer is the minion's response if State is Done.
	Answer claim.Answer `json:"answer"`
}

// ResolveClaim records that an operator has dealt with an unknown outcome.
type ResolveClaim struct {
	// Key identifies the claim.
	Key claim.Key `json:"key"`
	// Note is the operator's remark.
	Note string `json:"note"`
}

// SubmitJob adds a job to the queue.
type SubmitJob struct {
	// Spec is the specification of the job.
	Spec job.Spec `json:"spec"`
}

// CancelJob cancels a job. It is stopped and not placed again.
type CancelJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Organisation is the organisation that requests it. It is empty for an
	// operator, who may cancel any job.
	Organisation string `json:"organisation"`
}

// ReleaseJob returns a parked job to the queue.
type ReleaseJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
}

// PlaceJob places a queued job and begins its next attempt.
type PlaceJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Attempt is the number of the new attempt.
	Attempt int `json:"attempt"`
	// Parts lists the tasks with the workers that they are placed on.
	Parts []job.TaskPlacement `json:"parts"`
	// Borrowed is true if the placement uses capacity beyond the organisation's
	// guarantee.
	Borrowed bool `json:"borrowed"`
}

// StartJob starts a job whose tasks are all prepared.
type StartJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Attempt is the attempt to start.
	Attempt int `json:"attempt"`
}

// StopJob stops the current attempt of a job.
type StopJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Attempt is the attempt to stop.
	Attempt int `json:"attempt"`
	// Reason is why the attempt is stopped.
	Reason job.StopReason `json:"reason"`
}

// EndPart records the end of a task, which then holds no capacity any more.
type EndPart struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Attempt is the attempt that the task belonged to.
	Attempt int `json:"attempt"`
	// Task is the index of the task in the gang.
	Task int `json:"task"`
	// Done is true if the task succeeded.
	Done bool `json:"done"`
	// Checkpoint is true if a checkpoint holds all work that the task has done.
	Checkpoint bool `json:"checkpoint"`
	// NotRun is true if it is certain that the task never started.
	NotRun bool `json:"not-run"`
	// WorkerFault is true if the task failed through the fault of the worker.
	WorkerFault bool `json:"worker-fault"`
}

// ParkJob removes a job that can never run from the queue until an operator
// releases it.
type ParkJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Reason is a short sentence that says why.
	Reason string `json:"reason"`
}

func (PutContract) command()    {}
func (DropContract) command()   {}
func (SetDataCentre) command()  {}
func (RegisterWorker) command() {}
func (RemoveWorker) command()   {}
func (MakeClaim) command()      {}
func (SettleClaim) command()    {}
func (ResolveClaim) command()   {}
func (SubmitJob) command()      {}
func (CancelJob) command()      {}
func (ReleaseJob) command()     {}
func (PlaceJob) command()       {}
func (StartJob) command()       {}
func (StopJob) command()        {}
func (EndPart) command()        {}
func (ParkJob) command()        {}

// An Envelope is a command as it is proposed for the log.
type Envelope struct {
	// ID identifies the command. A command that is sent again with the same ID
	// gets the outcome of the first one. It is empty for commands of the
	// controllers themselves.
	ID string
	// At is the time of the leader's clock when it proposed the command.
	At time.Time
	// Command is the command itself.
	Command Command
}

// A Reason is the reason why a command was refused. It is empty for a command that
// was accepted.
type Reason string

// The reasons to refuse a command.
const (
	// RefusedBadField means that the value of a field is not allowed.
	RefusedBadField Reason = "bad-field"
	// RefusedWrongRevision means that the edit was made on an outdated revision.
	RefusedWrongRevision Reason = "wrong-revision"
	// RefusedInfeasible means that the registered workers cannot provide the
	// guarantee beside the existing ones.
	RefusedInfeasible Reason = "cannot-be-honoured"
	// RefusedNotFound means that the named record does not exist.
	RefusedNotFound Reason = "not-found"
	// RefusedUnknownOrganisation means that the organisation has no contract
	// or that the token belongs to none.
	RefusedUnknownOrganisation Reason = "unknown-organisation"
	// RefusedClassNotAllowed means that the contract does not allow the
	// priority class.
	RefusedClassNotAllowed Reason = "class-not-allowed"
	// RefusedKeyReuse means that the idempotency key or identifier was used for
	// something else.
	RefusedKeyReuse Reason = "key-used-for-another-request"
	// RefusedTableFull means that a table has reached its limit.
	RefusedTableFull Reason = "table-full"
	// RefusedWrongState means that the state of the record does not permit the
	// command.
	RefusedWrongState Reason = "wrong-state"
	// RefusedNotOwner means that the record belongs to another organisation.
	RefusedNotOwner Reason = "not-your-own"
	// RefusedQueueFull means that the organisation has as many active jobs as its
	// contract allows.
	RefusedQueueFull Reason = "queue-full"
	// RefusedTooLarge means that the command is too large to be replicated.
	RefusedTooLarge Reason = "too-large"
	// RefusedOverLimit means that a gang or a task of the workflow exceeds the limit of its
	// organisation by itself.
	RefusedOverLimit Reason = "organisation-limit"
)

// Reasons returns all reasons to refuse a command.
func Reasons() []Reason {
	return []Reason{
		RefusedBadField, RefusedWrongRevision, RefusedInfeasible, RefusedNotFound, RefusedUnknownOrganisation,
		RefusedClassNotAllowed, RefusedKeyReuse, RefusedTableFull, RefusedWrongState, RefusedNotOwner,
		RefusedQueueFull, RefusedTooLarge, RefusedOverLimit,
	}
}

// An Outcome is the result of applying a command.
type Outcome struct {
	// Reason is empty if the command was accepted.
	Reason Reason `json:"reason"`
	// Field is the name of the field that caused the refusal.
	Field string `json:"field"`
	// Detail describes the refusal for people.
	Detail string `json:"detail"`
	// Revision is the revision of the edited record after the command. After a
	// refusal because of the revision it is the current one.
	Revision uint64 `json:"revision"`
	// Index is the position of the command in the replicated log.
	Index uint64 `json:"index"`
	// Claim is the claim that the command made or found, or nil for none.
	Claim *claim.Claim `json:"claim,omitempty"`
}

// IsAccepted reports whether the command was accepted, now or when it was first
// sent.
func (o Outcome) IsAccepted() bool {
	return o.Reason == ""
}

func refuse(reason Reason, field, detail string) Outcome {
	return Outcome{
		Reason: reason,
		Field:  field,
		Detail: detail,
	}
}
