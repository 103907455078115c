package workflow

import (
	"slices"
	"time"
)

// QueueSettings are what a workflow's queue promised when it was accepted.
type QueueSettings struct {
	// Pool names the workers that run its tasks.
	Pool string `json:"pool"`
	// Priority is 0 for the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts is how often a task may fail.
	MaxAttempts int `json:"max-attempts"`
	// Stretch and Target are the objective; see configuration.Queue.
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"target"`
}

// A Phase is where a workflow is in its life: Open, Completed, Failed or
// Cancelled.
type Phase interface {
	phase()
}

// Open is not decided yet.
type Open struct{}

// Completed has done all its tasks.
type Completed struct {
	// At is when that was known.
	At time.Time
}

// Failed has a task that failed too often.
type Failed struct {
	// At is when that was known.
	At time.Time
}

// Cancelled was given up by its caller.
type Cancelled struct {
	// At is when that was asked for.
	At time.Time
}

func (Open) phase()      {}
func (Completed) phase() {}
func (Failed) phase()    {}
func (Cancelled) phase() {}

// A Workflow is a workflow and all that is known of its tasks.
type Workflow struct {
	// Spec is what the caller submitted.
	Spec Spec
	// QueueSettings are what its queue promised.
	QueueSettings QueueSettings
	// Submitted is when it was accepted.
	Submitted time.Time
	// Phase is where it is in its life.
	Phase Phase
	// HasStarted is true once a task was placed.
	HasStarted bool
	// Occurrences holds those that were opened, by number.
	Occurrences []Occurrence
}

// New returns an accepted workflow.
func New(now time.Time, spec Spec, terms QueueSettings) Workflow {
	return Workflow{
		Spec:          spec,
		QueueSettings: terms,
		Submitted:     now,
		Phase:         Open{},
	}
}

// IsOpen reports whether the workflow is not decided yet.
func (w Workflow) IsOpen() bool {
	_, ok := w.Phase.(Open)
	return ok
}

// IsInactive reports whether the workflow is decided and none of its tasks has a
// place any more.
func (w Workflow) IsInactive() bool {
	return !w.IsOpen() && !slices.ContainsFunc(w.Occurrences, Occurrence.HasPlacedTask)
}

// FinishedAt returns when the workflow was decided, the zero time for an open one.
func (w Workflow) FinishedAt() time.Time {
	switch p := w.Phase.(type) {
	case Completed:
		return p.At
	case Failed:
		return p.At
	case Cancelled:
		return p.At
	case Open:
	}
	return time.Time{}
}

// Status is a workflow's state in a word.
type Status string

// Statuses of a workflow.
const (
	StatusPending   Status = "pending"
	StatusRunning   Status = "running"
	StatusCompleted Status = "completed"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// Status returns the workflow's state in a word.
func (w Workflow) Status() Status {
	switch w.Phase.(type) {
	case Completed:
		return StatusCompleted
	case Failed:
		return StatusFailed
	case Cancelled:
		return StatusCancelled
	case Open:
	}
	if w.HasStarted {
		return StatusRunning
	}
	return StatusPending
}

// Occurrence returns an occurrence, a new one if it was not opened yet.
func (w Workflow) Occurrence(number int) Occurrence {
	if number < len(w.Occurrences) {
		return w.Occurrences[number]
	}
	return newOccurrence(w.Spec)
}

// IsDue reports whether an occurrence may start.
func (w Workflow) IsDue(now time.Time, occurrence int) bool {
	return !now.Before(w.Spec.DueAt(occurrence))
}

// DueOccurrences returns the number of occurrences that may start.
func (w Workflow) DueOccurrences(now time.Time) int {
	n := 0
	for n < w.Spec.OccurrenceCount() && w.IsDue(now, n) {
		n++
	}
	return n
}

// TargetCompletion returns when an occurrence should have completed. Takes corrects a
// declared run time; nil takes it as it is.
func (w Workflow) TargetCompletion(occurrence int, takes func(declared time.Duration) time.Duration) time.Time {
	from := w.Spec.DueAt(occurrence)
	if from.IsZero() {
		from = w.Submitted
	}
	return from.Add(w.TargetTurnaround(takes))
}

// TargetTurnaround returns how long an occurrence may take to be in time; takes is as
// in Objective.
func (w Workflow) TargetTurnaround(takes func(declared time.Duration) time.Duration) time.Duration {
	return time.Duration(float64(w.Spec.CriticalPath(takes))*w.QueueSettings.Stretch) + w.QueueSettings.Slack
}

// Task returns a task.
func (w Workflow) Task(k TaskKey) (t Task, ok bool) {
	if k.Occurrence < 0 || k.Occurrence >= len(w.Occurrences) {
		return t, false
	}
	o := w.Occurrences[k.Occurrence]
	if k.Step < 0 || k.Step >= len(o.Steps) || k.Index < 0 || k.Index >= len(o.Steps[k.Step].Tasks) {
		return t, false
	}
	return o.Steps[k.Step].Tasks[k.Index], true
}

// A PlacedTask is a task with its place.
type PlacedTask struct {
	RunKey
	Placed
	// StepSpec are the terms of its step.
	StepSpec Step
	// IsNeeded is false if nothing waits for the task any more.
	IsNeeded bool
}

// PlacedTasks returns all tasks that have a place.
func (w Workflow) PlacedTasks() []PlacedTask {
	var list []PlacedTask
	for k, o := range w.Occurrences {
		for s, r := range o.Steps {
			for i, t := range r.Tasks {
				p, ok := t.CurrentPlacement()
				if !ok {
					continue
				}
				list = append(list, PlacedTask{
					RunKey: RunKey{
						TaskKey: TaskKey{
							Workflow:   w.Spec.ID,
							Occurrence: k,
							Step:       s,
							Index:      i,
						},
						Run: t.Run,
					},
					Placed:   p,
					StepSpec: w.Spec.Steps[s],
					IsNeeded: w.IsOpen() || r.IsDone(w.Spec.Steps[s]),
				})
			}
		}
	}
	return list
}

// ResumeCheckpoint returns what a start of a task resumes from.
func (w Workflow) ResumeCheckpoint(k TaskKey) string {
	r := w.Occurrence(k.Occurrence).Steps[k.Step]
	if w.Spec.Steps[k.Step].IsGang {
		return r.Checkpoint
	}
	return r.Tasks[k.Index].Checkpoint
}
