// Package job holds the aggregate of a job: a gang of tasks that runs whole or
// not at all, and the phases it goes through.
package job

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/shape"
)

// Bounds of a job's fields.
const (
	maxRunMS        = 30 * 24 * 3600 * 1000
	maxCommandBytes = 16 << 10
	maxDeadlineMS   = 30 * 24 * 3600 * 1000
	// MaxFailures is the number of failed attempts that park a job.
	MaxFailures = 4
	// MaxHistory is the number of decisions that a job remembers.
	MaxHistory = 24
)

// A Spec is what a caller asks for.
type Spec struct {
	// ID names the job; a resent submission carries the same one.
	ID string `json:"id"`
	// Organisation is the organisation that pays for the job.
	Organisation string `json:"organisation"`
	// Class is "urgent", "normal" or "batch".
	Class string `json:"class"`
	// DeadlineMS is the time from submission to the deadline, in
	// milliseconds; zero for none.
	DeadlineMS int64 `json:"deadline-ms"`
	// Shape is the gang.
	Shape shape.Shape `json:"shape"`
	// DeclaredRunMS is the caller's guess of the run time, in milliseconds.
	DeclaredRunMS int64 `json:"declared-run-ms"`
	// Idempotent allows the job to run again after a loss.
	Idempotent bool `json:"idempotent"`
	// Checkpointable says that the tasks can save their work.
	Checkpointable bool `json:"checkpointable"`
	// Command is handed to the tasks as it is.
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

// IsPreemptible reports whether the job can be stopped and go on later.
func (s Spec) IsPreemptible() bool {
	return s.Idempotent || s.Checkpointable
}

// A Part is the place of one task.
type Part struct {
	// Worker is the name of the worker.
	Worker string `json:"worker"`
	// Incarnation is the worker's incarnation when the part was placed.
	Incarnation string `json:"incarnation"`
	// DataCentre is the worker's data centre.
	DataCentre string `json:"data-centre"`
	// Ended is true once the task is known to hold nothing any more.
	Ended bool `json:"ended"`
	// Done is true if the task ended well.
	Done bool `json:"done"`
	// Checkpoint is true if a checkpoint holds all of its work.
	Checkpoint bool `json:"checkpoint"`
	// NotRun is true if the task certainly never started.
	NotRun bool `json:"not-run"`
}

// An TaskResult is how a task ended.
type TaskResult struct {
	// Done is true if the task ended well.
	Done bool
	// Checkpoint is true if a checkpoint holds all of its work.
	Checkpoint bool
	// NotRun is true if the task certainly never started.
	NotRun bool
}

// withResult returns p as ended.
func (p Part) withResult(e TaskResult) Part {
	p.Ended = true
	p.Done = e.Done
	p.Checkpoint = e.Checkpoint
	p.NotRun = e.NotRun
	return p
}

// A HistoryEntry is one line of a job's history.
type HistoryEntry struct {
	// At is when the decision was taken.
	At time.Time `json:"at"`
	// Text is a short sentence with the reason.
	Text string `json:"text"`
}

// A Job is a submitted job.
type Job struct {
	// Spec is what was asked for.
	Spec Spec
	// Submitted is when the submission was accepted.
	Submitted time.Time
	// Attempt counts the placements, starting at 1; zero before the first.
	Attempt int
	// Failures counts the attempts that failed by themselves.
	Failures int
	// Phase says how far the job has come.
	Phase Phase
	// Parts holds the place of each task of the present attempt.
	Parts []Part
	// Borrowed is true if the present attempt exceeds the guarantee.
	Borrowed bool
	// LeaseGraceMS is how long, in milliseconds, the tasks of the present attempt go on
	// after the lease of a worker that hears nothing has run out.
	LeaseGraceMS int64
	// Saved is the work, in milliseconds of run time, that a whole checkpoint holds.
	SavedMS int64
	// History is the job's history, the oldest first.
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

// HoldsCapacity reports whether some part of the job still holds a worker.
func (j Job) HoldsCapacity() bool {
	switch j.Phase.(type) {
	case Preparing, Running, Stopping:
		return true
	case Queued, Parked, Ended:
		return false
	}
	return false
}

// HasEnded reports whether nothing more will happen to the job.
func (j Job) HasEnded() bool {
	_, ended := j.Phase.(Ended)
	return ended
}

// withHistory returns j with one more line of history; the oldest lines but
// the first give way.
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

// withPart returns j with one part replaced.
func (j Job) withPart(n int, p Part) Job {
	j.Parts = slices.Clone(j.Parts)
	j.Parts[n] = p
	return j
}

func fieldError(field, problem string) *shape.FieldError {
	return &shape.FieldError{
		Field:   field,
		Problem: problem,
	}
}
