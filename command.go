package plantainladder

import (
	"time"

	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/worker"
)

// A Command is a change of the control state that is replicated.
type Command interface {
	command()
}

// PutContract creates or edits a contract.
type PutContract struct {
	// Contract is the contract as it shall be; its revision is the one that
	// the edit was made on, zero for a new contract.
	Contract contract.Contract `json:"contract"`
}

// DropContract ends a contract.
type DropContract struct {
	// Organisation is the organisation's name.
	Organisation string `json:"organisation"`
	// Revision is the revision that the edit was made on.
	Revision uint64 `json:"revision"`
}

// SetDataCentre takes a data centre out of service or brings it back.
type SetDataCentre struct {
	// Name is the data centre's name.
	Name string `json:"name"`
	// OutOfService is true to take it out.
	OutOfService bool `json:"out"`
	// Revision is the revision that the edit was made on, zero for one that
	// was never edited.
	Revision uint64 `json:"revision"`
	// Force makes the edit whatever the revision is, for operators whose
	// orders name none.
	Force bool `json:"force,omitempty"`
}

// RegisterWorker adds a worker or changes its registration.
type RegisterWorker struct {
	// Worker is the registration.
	Worker worker.Worker `json:"worker"`
}

// RemoveWorker forgets a worker that holds no task.
type RemoveWorker struct {
	// Name is the worker's name.
	Name string `json:"name"`
}

// MakeClaim claims the right to run a non-idempotent request.
type MakeClaim struct {
	// Key names the claim.
	Key claim.Key `json:"key"`
	// Fingerprint is a digest of the request.
	Fingerprint string `json:"fingerprint"`
	// Holder is the gateway that wants to run the request.
	Holder string `json:"holder"`
	// TimeoutMS is when the claim becomes unknown unless it is settled, in
	// milliseconds from now.
	TimeoutMS int64 `json:"within-ms"`
}

// SettleClaim records the outcome of a claimed request.
type SettleClaim struct {
	// Key names the claim.
	Key claim.Key `json:"key"`
	// Attempt is the attempt that the outcome belongs to.
	Attempt int `json:"attempt"`
	// State is Done, NotRun or Unknown.
	State claim.State `json:"state"`
	// Answer is the answer, if Done.
	Answer claim.Answer `json:"answer"`
}

// ResolveClaim records what an operator found out about an unknown outcome.
type ResolveClaim struct {
	// Key names the claim.
	Key claim.Key `json:"key"`
	// Note says what was found out.
	Note string `json:"note"`
}

// SubmitJob adds a job to the queue.
type SubmitJob struct {
	// Spec is the job.
	Spec job.Spec `json:"spec"`
}

// CancelJob ends a job.
type CancelJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Organisation is the organisation that asks; empty for an operator.
	Organisation string `json:"organisation"`
}

// ReleaseJob puts a parked job back into the queue.
type ReleaseJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
}

// PlaceJob commits the placement of a queued job.
type PlaceJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Attempt is the attempt that the placement opens.
	Attempt int `json:"attempt"`
	// Parts holds the place of each task.
	Parts []job.Part `json:"parts"`
	// Borrowed is true if the placement exceeds the guarantee.
	Borrowed bool `json:"borrowed"`
}

// StartJob commits the start of a gang that is prepared.
type StartJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Attempt is the attempt to start.
	Attempt int `json:"attempt"`
}

// StopJob ends the present attempt of a job.
type StopJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Attempt is the attempt to stop.
	Attempt int `json:"attempt"`
	// Reason says why.
	Reason job.StopReason `json:"reason"`
}

// EndPart records that a task holds nothing any more.
type EndPart struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Attempt is the attempt that the task belonged to.
	Attempt int `json:"attempt"`
	// Task is the task's number in the gang.
	Task int `json:"task"`
	// Done is true if the task ended well.
	Done bool `json:"done"`
	// Checkpoint is true if a checkpoint holds all of its work.
	Checkpoint bool `json:"checkpoint"`
	// NotRun is true if the task certainly never started.
	NotRun bool `json:"not-run"`
	// WorkerFault is true if the worker failed the task by itself.
	WorkerFault bool `json:"worker-fault"`
}

// ParkJob takes a queued job that can never run out of the queue.
type ParkJob struct {
	// ID is the job's identifier.
	ID string `json:"id"`
	// Reason is a short sentence.
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

// An Envelope is a command as it is proposed.
type Envelope struct {
	// ID is the command's identifier; a resent command carries the same one
	// and gets the same outcome. Empty for commands of the system itself.
	ID string
	// At is the leader's time when it proposed the command.
	At time.Time
	// Command is the change.
	Command Command
}

// A Reason is why a command was refused; empty for one that was accepted.
type Reason string

// Reasons to refuse a command.
const (
	RefusedBadField            Reason = "bad-field"
	RefusedWrongRevision       Reason = "wrong-revision"
	RefusedInfeasible          Reason = "cannot-be-honoured"
	RefusedNotFound            Reason = "not-found"
	RefusedUnknownOrganisation Reason = "unknown-organisation"
	RefusedClassNotAllowed     Reason = "class-not-allowed"
	RefusedKeyReuse            Reason = "key-used-for-another-request"
	RefusedTableFull           Reason = "table-full"
	RefusedWrongState          Reason = "wrong-state"
	RefusedNotOwner            Reason = "not-your-own"
	RefusedQueueFull           Reason = "queue-full"
)

// Reasons returns all reasons to refuse a command.
func Reasons() []Reason {
	return []Reason{
		RefusedBadField, RefusedWrongRevision, RefusedInfeasible, RefusedNotFound, RefusedUnknownOrganisation, RefusedClassNotAllowed,
		RefusedKeyReuse, RefusedTableFull, RefusedWrongState, RefusedNotOwner, RefusedQueueFull,
	}
}

// An Outcome is what became of a command.
type Outcome struct {
	// Reason is empty if the command was accepted.
	Reason Reason `json:"reason"`
	// Field names the field that is at fault, if one is.
	Field string `json:"field"`
	// Detail is a sentence for people.
	Detail string `json:"detail"`
	// Revision is the revision of the edited record after the command.
	Revision uint64 `json:"revision"`
	// Index is the position of the command in the replicated log.
	Index uint64 `json:"index"`
	// Claim is the claim that the command made or found.
	Claim *claim.Claim `json:"claim,omitempty"`
}

// IsAccepted reports whether the command changed the state, or had done so
// when it was first sent.
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
