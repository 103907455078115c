// Package job holds the aggregate of a job: a gang of tasks that are scheduled
// all or nothing, and the phases of its life cycle.
package job

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/shape"
)

// Limits of a job.
const (
	maxRunMS        = 30 * 24 * 3600 * 1000
	maxCommandBytes = 16 << 10
	maxDeadlineMS   = 30 * 24 * 3600 * 1000
	// MaxFailures is the number of failed attempts after which a job is parked.
	MaxFailures = 4
	// maxEarlyLosses is the number of successive attempts after which a job is parked
	// if each lost a task with its worker within earlyLoss of the start.
	maxEarlyLosses = 3
	earlyLoss      = 10 * time.Minute
	// MaxHistory is the number of history entries kept for a job.
	MaxHistory = 24
)

// A Spec is a job as submitted by a caller.
type Spec struct {
	// ID identifies the job and makes its submission idempotent.
	ID string `json:"id"`
	// Organisation is the name of the organisation that owns the job.
	Organisation string `json:"organisation"`
	// Class is "urgent", "normal" or "batch".
	Class string `json:"class"`
	// DeadlineMS is the time from submission to the deadline, in
	// milliseconds; zero for none.
	DeadlineMS int64 `json:"deadline-ms"`
	// Shape is the number of tasks, what each needs, and their adjacency.
	Shape shape.Shape `json:"shape"`
	// DeclaredRunMS is the caller's estimate of the run time, in milliseconds;
	// zero for none.
	DeclaredRunMS int64 `json:"declared-run-ms"`
	// Idempotent allows the job to run again after its tasks were lost.
	Idempotent bool `json:"idempotent"`
	// Checkpointable is true if the tasks save checkpoints when stopped.
	Checkpointable bool `json:"checkpointable"`
	// Command is passed to the tasks unchanged.
	Command string `json:"command"`
}

// Check returns a *shape.FieldError for the first field that is out of bounds,
// nil for none.
func (s Spec) Check() *shape.FieldError {
	if err := contract.CheckName("id", s.ID); err != nil {
		return err
	}
	if err := contract.CheckName("organisation", s.Organisation); err != nil {
		return err
	}
	switch {
	case !slices.Contains(contract.Classes(), s.Class):
		return fieldError("class", `must be "urgent", "normal" or "batch"`)
	case s.DeadlineMS < 0 || s.DeadlineMS > maxDeadlineMS:
		return fieldError("deadline-ms", "must be from 0 to 2592000000")
	case s.DeclaredRunMS < 0 || s.DeclaredRunMS > maxRunMS:
		return fieldError("declared-run-ms", "must be from 0 to 2592000000")
	case len(s.Command) > maxCommandBytes:
		return fieldError("command", "must have at most 16384 bytes")
	}
	return s.Shape.Check()
}

// IsPreemptible reports whether the job can be stopped and run again later.
func (s Spec) IsPreemptible() bool {
	return s.Idempotent || s.Checkpointable
}

// A TaskPlacement is the placement of one task of a gang on a worker, and how the
// task ended.
type TaskPlacement struct {
	// Worker is the name of the worker.
	Worker string `json:"worker"`
	// Incarnation is the worker's incarnation when the task was placed.
	Incarnation string `json:"incarnation"`
	// DataCentre is the name of the worker's data centre.
	DataCentre string `json:"data-centre"`
	// Ended is true once the task is known to have released its resources.
	Ended bool `json:"ended"`
	// Done is true if the task completed successfully.
	Done bool `json:"done"`
	// Checkpoint is true if a checkpoint covers all of the task's work.
	Checkpoint bool `json:"checkpoint"`
	// NotRun is true if the task is known never to have started.
	NotRun bool `json:"not-run"`
}

// A TaskResult is how a task ended.
type TaskResult struct {
	// Done is true if the task completed successfully.
	Done bool
	// Checkpoint is true if a checkpoint covers all of the task's work.
	Checkpoint bool
	// NotRun is true if the task is known never to have started.
	NotRun bool
}

func (p TaskPlacement) withResult(r TaskResult) TaskPlacement {
	p.Ended = true
	p.Done = r.Done
	p.Checkpoint = r.Checkpoint
	p.NotRun = r.NotRun
	return p
}

// A HistoryEntry is one event in a job's history.
type HistoryEntry struct {
	// At is the time of the event.
	At time.Time `json:"at"`
	// Text describes the event and its reason in a sentence.
	Text string `json:"text"`
}

// A Job is a submitted job and its state.
type Job struct {
	// Spec is the job as submitted.
	Spec Spec
	// Submitted is when the submission was accepted.
	Submitted time.Time
	// Attempt counts the placements, starting at 1; zero before the first.
	Attempt int
	// Failures counts the attempts that ended because a task failed.
	Failures int
	// EarlyLosses counts the last successive attempts that lost a task with its
	// worker soon after the start, as if the task crashed its worker.
	EarlyLosses int
	// Phase is the current phase of the life cycle.
	Phase Phase
	// TaskPlacements holds the tasks of the current attempt, by index.
	TaskPlacements []TaskPlacement
	// Borrowed is true if the current attempt exceeds the organisation's
	// guarantee.
	Borrowed bool
	// LeaseGraceMS is how long, in milliseconds, the tasks of the current
	// attempt may run on after the lease of their worker has expired.
	LeaseGraceMS int64
	// SavedMS is the run time, in milliseconds, that checkpoints of all tasks
	// cover.
	SavedMS int64
	// History holds the job's events, the oldest first.
	History []HistoryEntry
}

// New returns a queued job.
func New(now time.Time, s Spec) Job {
	return Job{
		Spec:      s,
		Submitted: now,
		Phase: Queued{
			Since: now,
		},
	}.withHistory(now, "Accepted.")
}

// Deadline returns the job's deadline, or the zero time for none.
func (j Job) Deadline() time.Time {
	if j.Spec.DeadlineMS == 0 {
		return time.Time{}
	}
	return j.Submitted.Add(time.Duration(j.Spec.DeadlineMS) * time.Millisecond)
}

// HoldsCapacity reports whether tasks of the job may still hold resources of
// workers.
func (j Job) HoldsCapacity() bool {
	switch j.Phase.(type) {
	case Preparing, Running, Stopping:
		return true
	case Queued, Parked, Ended:
		return false
	}
	return false
}

// HasEnded reports whether the job is in its final phase.
func (j Job) HasEnded() bool {
	_, ended := j.Phase.(Ended)
	return ended
}

// withHistory returns j with one more history entry, unless it repeats the last
// text. A full history drops its second entry, so that the submission stays.
func (j Job) withHistory(now time.Time, text string) Job {
	d := HistoryEntry{
		At:   now,
		Text: text,
	}
	if n := len(j.History); n > 0 && j.History[n-1].Text == text {
		return j
	}
	list := make([]HistoryEntry, 0, len(j.History)+1)
	list = append(list, j.History...)
	if len(list) >= MaxHistory {
		list = slices.Delete(list, 1, 2)
	}
	j.History = append(list, d)
	return j
}

func (j Job) withPhase(p Phase) Job {
	j.Phase = p
	return j
}

func (j Job) withTaskPlacement(n int, p TaskPlacement) Job {
	j.TaskPlacements = slices.Clone(j.TaskPlacements)
	j.TaskPlacements[n] = p
	return j
}

func fieldError(field, problem string) *shape.FieldError {
	return &shape.FieldError{
		Field:   field,
		Problem: problem,
	}
}
