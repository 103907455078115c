package job

import "time"

// A Phase is a phase of a job's life cycle: Queued, Preparing, Running,
// Stopping, Parked or Ended.
type Phase interface {
	phase()
}

// Queued means that the job waits to be placed.
type Queued struct {
	// Since is when the job was queued.
	Since time.Time
}

// Preparing means that the placement is committed and the workers prepare the
// tasks; no task may run yet.
type Preparing struct {
	// Since is when the job was placed.
	Since time.Time
}

// Running means that the start of all tasks is committed.
type Running struct {
	// Since is when the start was committed.
	Since time.Time
}

// Stopping means that all tasks are being stopped.
type Stopping struct {
	// Since is when the stop was committed.
	Since time.Time
	// StartedAt is when the start was committed, or the zero time if it was not.
	StartedAt time.Time
	// Reason is why the job is being stopped.
	Reason StopReason
}

// Parked means that the job is not run again until an operator releases it.
type Parked struct {
	// Since is when the job was parked.
	Since time.Time
	// Reason is a sentence for operators.
	Reason string
}

// Ended is the final phase.
type Ended struct {
	// At is when the job ended.
	At time.Time
	// Result is how the job ended.
	Result Result
}

// WasStarted reports whether the start had been committed before the stop.
func (p Stopping) WasStarted() bool {
	return !p.StartedAt.IsZero()
}

func (Queued) phase()    {}
func (Preparing) phase() {}
func (Running) phase()   {}
func (Stopping) phase()  {}
func (Parked) phase()    {}
func (Ended) phase()     {}

// PhaseName returns the name of a phase in kebab case, as in the interface for
// callers.
func PhaseName(p Phase) string {
	switch p.(type) {
	case Queued:
		return "queued"
	case Preparing:
		return "preparing"
	case Running:
		return "running"
	case Stopping:
		return "stopping"
	case Parked:
		return "parked"
	case Ended:
		return "ended"
	}
	return ""
}

// A Result is how a job ended.
type Result string

// Results of a job.
const (
	// ResultDone means that every task completed successfully.
	ResultDone Result = "done"
	// ResultCancelled means that the caller cancelled the job.
	ResultCancelled Result = "cancelled"
	// ResultUnknown means that a job that is not idempotent failed or was lost
	// after its start, so that it must not run again.
	ResultUnknown Result = "unknown"
)

// A StopReason is why a job is being stopped.
type StopReason string

// Reasons to stop a job.
const (
	StopCancelled    StopReason = "cancelled"
	StopReclaimed    StopReason = "reclaimed"
	StopOutOfService StopReason = "drained"
	StopTaskLost     StopReason = "part-lost"
	StopTaskFailed   StopReason = "part-failed"
	StopNotPrepared  StopReason = "not-prepared"
)

// StopReasons returns all reasons to stop a job.
func StopReasons() []StopReason {
	return []StopReason{
		StopCancelled, StopReclaimed, StopOutOfService, StopTaskLost, StopTaskFailed, StopNotPrepared,
	}
}
