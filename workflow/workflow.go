package workflow

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
)

// QueueSettings are the settings of a workflow's queue at the time when the
// workflow was accepted. Later changes of the queue do not affect them, apart from the
// pool.
type QueueSettings struct {
	// Pool is the name of the pool whose workers run the tasks: the one that the
	// configuration names for the queue, or last named for it.
	Pool string `json:"pool"`
	// Priority is 0 for the most urgent workflows.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which the workflow
	// fails.
	MaxAttempts int `json:"max-attempts"`
	// Stretch and Slack set the target completion time; see configuration.Queue.
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"target"`
}

// A Phase is the phase of a workflow: Open, Completed, Failed or Cancelled. A
// workflow that is no longer open is finished.
type Phase interface {
	phase()
}

// Open is the phase of a workflow that is not finished.
type Open struct{}

// Completed is the phase of a workflow all of whose occurrences have succeeded.
type Completed struct {
	// At is when the end of the last run was recorded.
	At time.Time
}

// Failed is the phase of a workflow with a task or gang that failed MaxAttempts
// times, or with a task under which too many workers crashed.
type Failed struct {
	// At is when the last of the failures or crashes was recorded.
	At time.Time
	// Cause is EndedFailed, or EndedCrashed or EndedLost after crashes. It is empty in
	// the records of versions that did not store it.
	Cause EndReason
}

// Cancelled is the phase of a workflow that its caller has cancelled.
type Cancelled struct {
	// At is when the request to cancel was recorded.
	At time.Time
}

func (Open) phase()      {}
func (Completed) phase() {}
func (Failed) phase()    {}
func (Cancelled) phase() {}

// A Workflow is a workflow with the state of its tasks.
type Workflow struct {
	// Spec is the specification that the caller submitted.
	Spec Spec
	// QueueSettings are the settings of its queue.
	QueueSettings QueueSettings
	// Submitted is when the workflow was accepted.
	Submitted time.Time
	// Phase is the current phase.
	Phase Phase
	// HasStarted is true once a task was placed.
	HasStarted bool
	// Occurrences lists the occurrences by index, up to the last one of which a
	// task was placed.
	Occurrences []Occurrence
}

// New returns an open workflow that is accepted at the time now.
func New(now time.Time, spec Spec, settings QueueSettings) Workflow {
	return Workflow{
		Spec:          spec,
		QueueSettings: settings,
		Submitted:     now,
		Phase:         Open{},
	}
}

// WithPool returns a copy of w whose further runs are placed in a pool. Runs that are
// placed already stay where they are.
func (w Workflow) WithPool(pool string) Workflow {
	w.QueueSettings.Pool = pool
	return w
}

// IsAccessible reports whether a caller may read and cancel the workflow through a queue
// that admits the caller. The organisation is empty for a caller without one, whom only a
// public queue admits. The workflows of a public queue are accessible there without an
// organisation. Those that were submitted without one are accessible to all callers of
// their queue, which need not be public any more.
func (w Workflow) IsAccessible(queue, organisation string) bool {
	hasNone := organisation == "" || w.Spec.Organisation == ""
	return w.Spec.Organisation == organisation || hasNone && w.Spec.Queue == queue
}

// IsOpen reports whether the workflow is not finished.
func (w Workflow) IsOpen() bool {
	_, ok := w.Phase.(Open)
	return ok
}

// IsInactive reports whether the workflow is finished and none of its tasks is
// placed any more.
func (w Workflow) IsInactive() bool {
	return !w.IsOpen() && !slices.ContainsFunc(w.Occurrences, Occurrence.HasPlacedTask)
}

// HasSuspect reports whether any task is a suspect.
func (w Workflow) HasSuspect() bool {
	return slices.ContainsFunc(w.Occurrences, Occurrence.HasSuspect)
}

// FinishedAt returns when the workflow finished. It is the zero time for an open
// workflow.
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

// Status is the status of a workflow as callers see it.
type Status string

// The statuses of a workflow.
const (
	StatusPending   Status = "pending"
	StatusRunning   Status = "running"
	StatusCompleted Status = "completed"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// Status returns the status of the workflow as callers see it.
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

// Occurrence returns the occurrence at the index. Before any of its tasks is
// placed, that is one whose tasks are all waiting.
func (w Workflow) Occurrence(index int) Occurrence {
	if index < len(w.Occurrences) {
		return w.Occurrences[index]
	}
	return newOccurrence(w.Spec)
}

// IsDue reports whether the time from which the occurrence may start has come.
func (w Workflow) IsDue(now time.Time, occurrence int) bool {
	return !now.Before(w.Spec.DueAt(occurrence))
}

// DueOccurrences returns the number of occurrences that are due.
func (w Workflow) DueOccurrences(now time.Time) int {
	n := 0
	for n < w.Spec.OccurrenceCount() && w.IsDue(now, n) {
		n++
	}
	return n
}

// TargetCompletion returns the time by which an occurrence should complete. For
// correct see Spec.CriticalPath.
func (w Workflow) TargetCompletion(occurrence int, correct func(declared time.Duration) time.Duration) time.Time {
	from := w.Spec.DueAt(occurrence)
	if from.IsZero() {
		from = w.Submitted
	}
	return from.Add(w.TargetTurnaround(correct))
}

// TargetTurnaround returns the time in which an occurrence should complete after
// it becomes due: Stretch times the critical path plus Slack.
func (w Workflow) TargetTurnaround(correct func(declared time.Duration) time.Duration) time.Duration {
	return time.Duration(float64(w.Spec.CriticalPath(correct))*w.QueueSettings.Stretch) + w.QueueSettings.Slack
}

// Task returns the task with the given key. It reports false if no task of the
// occurrence was placed yet or the key is out of range.
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

// A PlacedTask is a run of a placed task with its placement.
type PlacedTask struct {
	RunKey
	Placed
	// StepSpec is the specification of its step.
	StepSpec Step
	// IsNeeded is false if the run is to be stopped, since the workflow finished
	// before the step was done.
	IsNeeded bool
}

// PlacedTasks returns all placed tasks of the workflow.
func (w Workflow) PlacedTasks() []PlacedTask {
	n := w.countPlacedTasks()
	if n == 0 {
		return nil
	}
	list := make([]PlacedTask, 0, n)
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
					IsNeeded: w.IsOpen() || r.HasSucceeded(w.Spec.Steps[s]),
				})
			}
		}
	}
	return list
}

// UseOf returns the resources that placed tasks take together.
func UseOf(list []PlacedTask) (use pool.ResourceVector) {
	for _, t := range list {
		use = use.Plus(t.StepSpec.PerTask)
	}
	return use
}

func (w Workflow) countPlacedTasks() int {
	n := 0
	for _, o := range w.Occurrences {
		for _, r := range o.Steps {
			for _, t := range r.Tasks {
				if _, ok := t.CurrentPlacement(); ok {
					n++
				}
			}
		}
	}
	return n
}

// ResumeCheckpoint returns the checkpoint from which the next run of a task
// resumes. It is empty if there is none.
func (w Workflow) ResumeCheckpoint(k TaskKey) string {
	r := w.Occurrence(k.Occurrence).Steps[k.Step]
	if w.Spec.Steps[k.Step].IsGang {
		return r.Checkpoint
	}
	return r.Tasks[k.Index].Checkpoint
}
