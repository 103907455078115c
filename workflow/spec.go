// Package workflow defines workflows: steps of tasks with dependencies between
// the steps, which run once or at scheduled times. It records the runs and the
// last checkpoint of each task and decides which tasks may be placed.
package workflow

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/shape"
)

// Limits of a workflow.
const (
	// MaxSteps is the maximum number of steps.
	MaxSteps = 64
	// MaxTasks is the maximum number of tasks of a step.
	MaxTasks = 4_096
	// MaxOccurrences is the maximum number of occurrences.
	MaxOccurrences = 1_000
	// MaxPayloadBytes is the maximum length of the payload in bytes.
	MaxPayloadBytes = 4_000
)

// A Step is a set of tasks with equal requirements.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// PerTask is the resources of one task.
	PerTask pool.ResourceVector `json:"each"`
	// DeclaredRunTime is the run time of a task as the caller estimates it. The
	// actual run time may differ widely.
	DeclaredRunTime time.Duration `json:"estimate"`
	// Dependencies lists the indexes of earlier steps that must be done before a
	// task of this step may start.
	Dependencies []int `json:"after,omitempty"`
	// IsGang is true if the tasks must all run at the same time.
	IsGang bool `json:"is-gang,omitempty"`
	// IsRackSensitive is true if the tasks run more slowly when they are spread
	// over several racks.
	IsRackSensitive bool `json:"is-rack-bound,omitempty"`
	// Checkpointable is true if the tasks can save checkpoints and resume from
	// them.
	Checkpointable bool `json:"checkpoints,omitempty"`
	// RequiredLabel is the label that a worker must have to run the tasks. It is
	// empty if any worker will do.
	RequiredLabel string `json:"label,omitempty"`
	// DataRack is the rack that holds the input data. Tasks run more slowly on
	// other racks. It is empty if the rack does not matter.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on one worker. Zero means
	// no limit.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// Image identifies tasks that behave alike; empty if the caller names none.
	Image string `json:"image,omitempty"`
}

// A Spec is a workflow as the caller submitted it.
type Spec struct {
	// ID is the identifier that the caller chose.
	ID string `json:"id"`
	// Queue is the name of the queue.
	Queue string `json:"queue"`
	// Organisation is the name of the owner. It is empty if the caller sent no
	// token to a public queue.
	Organisation string `json:"organisation"`
	// Call is the random identifier of the call that submitted the workflow; empty if it
	// has none.
	Call string `json:"call,omitempty"`
	// Payload is passed to every task unchanged.
	Payload string `json:"payload"`
	// Steps lists the steps. A step may only depend on earlier ones.
	Steps []Step `json:"steps"`
	// Repetitions is the number of scheduled occurrences. Zero means a single
	// occurrence that may start at once.
	Repetitions int `json:"times,omitempty"`
	// FirstAt is when the first scheduled occurrence may start.
	FirstAt time.Time `json:"first-at"`
	// Interval is the time between the starts of two scheduled occurrences.
	Interval time.Duration `json:"every,omitempty"`
}

// IsScheduled reports whether the occurrences start at scheduled times.
func (s Spec) IsScheduled() bool {
	return s.Repetitions > 0
}

// OccurrenceCount returns the number of occurrences, which is at least 1.
func (s Spec) OccurrenceCount() int {
	return max(s.Repetitions, 1)
}

// DueAt returns the time from which an occurrence may start. It is the zero time
// if the workflow is not scheduled.
func (s Spec) DueAt(occurrence int) time.Time {
	if !s.IsScheduled() {
		return time.Time{}
	}
	return s.FirstAt.Add(time.Duration(occurrence) * s.Interval)
}

// CriticalPath returns the sum of the run times along the longest chain of
// dependent steps. The function correct, if not nil, maps a declared run time to
// an expected one.
func (s Spec) CriticalPath(correct func(declared time.Duration) time.Duration) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(s.Steps))
	for i, step := range s.Steps {
		for _, dependency := range step.Dependencies {
			ends[i] = max(ends[i], ends[dependency])
		}
		runTime := step.DeclaredRunTime
		if correct != nil {
			runTime = correct(runTime)
		}
		ends[i] += runTime
		longest = max(longest, ends[i])
	}
	return longest
}

// PathsAfter returns, for each step, the sum of the run times along the longest chain of steps
// that depend on it, which is not included. For correct see CriticalPath.
func (s Spec) PathsAfter(correct func(declared time.Duration) time.Duration) []time.Duration {
	after := make([]time.Duration, len(s.Steps))
	for i, step := range slices.Backward(s.Steps) {
		runTime := step.DeclaredRunTime
		if correct != nil {
			runTime = correct(runTime)
		}
		for _, dependency := range step.Dependencies {
			after[dependency] = max(after[dependency], runTime+after[i])
		}
	}
	return after
}

// Accelerators returns the maximum, over all steps, of the accelerators that
// the tasks of one step use together.
func (s Spec) Accelerators() int {
	widest := 0
	for _, step := range s.Steps {
		widest = max(widest, step.Tasks*step.PerTask.Accelerators)
	}
	return widest
}

// Check returns a *shape.FieldError for the first field whose value is not
// allowed, or nil if the specification is valid.
func (s Spec) Check() *shape.FieldError {
	switch {
	case !isIdentifier(s.ID):
		return newFieldError("id", "must have 1 to 64 letters, digits, underscores or hyphens")
	case len(s.Payload) > MaxPayloadBytes:
		return newFieldError("payload", fmt.Sprintf("must have at most %d bytes", MaxPayloadBytes))
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return newFieldError("steps", fmt.Sprintf("must be from 1 to %d", MaxSteps))
	case s.Repetitions < 0 || s.Repetitions > MaxOccurrences:
		return newFieldError("times", fmt.Sprintf("must be from 0 to %d", MaxOccurrences))
	case s.Interval < 0:
		return newFieldError("every", "must not be negative")
	}
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return err
		}
	}
	return nil
}

// maxIDLength is the maximum length of an identifier in bytes.
const maxIDLength = 64

// isIdentifier reports whether s may be used as the identifier of a workflow,
// which becomes a part of the names of its tasks.
func isIdentifier(s string) bool {
	for _, c := range s {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isLetter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return s != "" && len(s) <= maxIDLength
}

// LeastTasks returns how many tasks of the step have to run at the same time: all of a gang,
// otherwise one.
func (s Step) LeastTasks() int {
	if s.IsGang {
		return s.Tasks
	}
	return 1
}

func (s Step) check(number int) *shape.FieldError {
	field := func(name string) string {
		return fmt.Sprintf("steps[%d].%s", number, name)
	}
	switch {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return newFieldError(field("tasks"), fmt.Sprintf("must be from 1 to %d", MaxTasks))
	case s.PerTask.IsNegative():
		return newFieldError(field("each"), "must not be negative")
	case s.DeclaredRunTime < 0:
		return newFieldError(field("estimate"), "must not be negative")
	case s.MaxPerWorker < 0:
		return newFieldError(field("max-per-worker"), "must not be negative")
	}
	for _, dependency := range s.Dependencies {
		if dependency < 0 || dependency >= number {
			return newFieldError(field("after"), "must name earlier steps")
		}
	}
	return nil
}

func newFieldError(field, problem string) *shape.FieldError {
	return &shape.FieldError{
		Field:   field,
		Problem: problem,
	}
}
