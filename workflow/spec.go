// Package workflow holds the aggregate of a workflow: steps of tasks that
// depend on each other, run once or at set times, each task with its runs and
// its last checkpoint.
package workflow

import (
	"fmt"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/shape"
)

// Bounds of a workflow.
const (
	// MaxSteps is the largest number of steps.
	MaxSteps = 64
	// MaxTasks is the largest number of tasks of a step.
	MaxTasks = 4_096
	// MaxOccurrences is the largest number of occurrences.
	MaxOccurrences = 1_000
	// MaxPayloadBytes is the longest payload in bytes.
	MaxPayloadBytes = 4_000
)

// A Step is a set of equal tasks.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// PerTask is what one task needs.
	PerTask pool.ResourceVector `json:"each"`
	// DeclaredRunTime is the declared run time of a task; it may be far off.
	DeclaredRunTime time.Duration `json:"estimate"`
	// Dependencies lists the steps, counted from 0, that must be done before.
	Dependencies []int `json:"after,omitempty"`
	// IsGang is true if the tasks work only together.
	IsGang bool `json:"is-gang,omitempty"`
	// IsRackSensitive is true if the tasks are slow on more than one rack.
	IsRackSensitive bool `json:"is-rack-bound,omitempty"`
	// Checkpointable is true if the tasks save their progress.
	Checkpointable bool `json:"checkpoints,omitempty"`
	// RequiredLabel must be carried by the worker; empty for any.
	RequiredLabel string `json:"label,omitempty"`
	// DataRack is the rack off which the tasks are slow; empty for none.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; zero for
	// no bound.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
}

// A Spec is a workflow as its caller submitted it.
type Spec struct {
	// ID is the caller's identifier.
	ID string `json:"id"`
	// Queue is the name of the queue.
	Queue string `json:"queue"`
	// Organisation is the owner; empty on a public queue.
	Organisation string `json:"organisation"`
	// Payload is handed to every task as it is.
	Payload string `json:"payload"`
	// Steps holds the steps.
	Steps []Step `json:"steps"`
	// Repetitions is the number of occurrences, zero for one that is due at once.
	Repetitions int `json:"times,omitempty"`
	// FirstAt is when the first occurrence is due.
	FirstAt time.Time `json:"first-at"`
	// Interval is the time between two occurrences.
	Interval time.Duration `json:"every,omitempty"`
}

// IsScheduled reports whether the occurrences have due times.
func (s Spec) IsScheduled() bool {
	return s.Repetitions > 0
}

// OccurrenceCount returns the number of occurrences.
func (s Spec) OccurrenceCount() int {
	return max(s.Repetitions, 1)
}

// DueAt returns when an occurrence may start; the zero time for at once.
func (s Spec) DueAt(occurrence int) time.Time {
	if !s.IsScheduled() {
		return time.Time{}
	}
	return s.FirstAt.Add(time.Duration(occurrence) * s.Interval)
}

// CriticalPath returns the longest chain of run times through the steps. Takes corrects
// a declared run time; nil takes it as it is.
func (s Spec) CriticalPath(takes func(declared time.Duration) time.Duration) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(s.Steps))
	for i, step := range s.Steps {
		for _, before := range step.Dependencies {
			ends[i] = max(ends[i], ends[before])
		}
		estimate := step.DeclaredRunTime
		if takes != nil {
			estimate = takes(estimate)
		}
		ends[i] += estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Accelerators returns how many accelerators the widest step needs at once.
func (s Spec) Accelerators() int {
	widest := 0
	for _, step := range s.Steps {
		widest = max(widest, step.Tasks*step.PerTask.Accelerators)
	}
	return widest
}

// Check returns a *shape.FieldError for the first field that is out of bounds,
// nil for none.
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

// maxID is the longest identifier.
const maxID = 64

// isIdentifier reports whether a text can be part of a task's name.
func isIdentifier(s string) bool {
	for _, c := range s {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isLetter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return s != "" && len(s) <= maxID
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
	for _, before := range s.Dependencies {
		if before < 0 || before >= number {
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
