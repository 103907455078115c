package workflow

import (
	"slices"
	"time"
)

// A StepState is the state of a step in one occurrence.
type StepState struct {
	// Tasks lists the tasks by index.
	Tasks []Task
	// Failures counts the failed runs of a gang. Members that fail in the same run
	// count once.
	Failures int
	// LastFailedRun is the number of the last run that Failures includes.
	LastFailedRun int
	// Checkpoint names the last checkpoint that any member of a gang saved.
	Checkpoint string
}

func newStepState(s Step) StepState {
	r := StepState{
		Tasks: make([]Task, s.Tasks),
	}
	for i := range r.Tasks {
		r.Tasks[i].TaskState = Waiting{}
	}
	return r
}

// WithTask returns a copy of r with the task at the index replaced.
func (r StepState) WithTask(index int, t Task) StepState {
	r.Tasks = slices.Clone(r.Tasks)
	r.Tasks[index] = t
	return r
}

// HasSucceeded reports whether the step has succeeded. A gang has succeeded once any
// of its tasks has, since its members succeed together; any other step once all
// of its tasks have.
func (r StepState) HasSucceeded(s Step) bool {
	if s.IsGang {
		return slices.ContainsFunc(r.Tasks, Task.HasSucceeded)
	}
	return !slices.ContainsFunc(r.Tasks, func(t Task) bool {
		return !t.HasSucceeded()
	})
}

// HasPlacedTask reports whether any task is placed.
func (r StepState) HasPlacedTask() bool {
	return slices.ContainsFunc(r.Tasks, func(t Task) bool {
		_, ok := t.CurrentPlacement()
		return ok
	})
}

// HasSuspect reports whether any task is a suspect.
func (r StepState) HasSuspect() bool {
	return slices.ContainsFunc(r.Tasks, Task.IsSuspect)
}

// IsIsolated reports whether a gang is kept apart from other workflows, as Task's
// IsIsolated says of a single task. A gang with a suspect is a suspect as a whole.
func (r StepState) IsIsolated(now time.Time) bool {
	return r.HasSuspect() && isRecent(now, r.lastCrash())
}

// lastCrash returns when a worker last crashed under any task. It is the zero time
// for never.
func (r StepState) lastCrash() (last time.Time) {
	for _, t := range r.Tasks {
		if t.CrashedAt.After(last) {
			last = t.CrashedAt
		}
	}
	return last
}

// HasSuspectOnTrial reports whether any task is a suspect that was placed recently.
func (r StepState) HasSuspectOnTrial(now time.Time) bool {
	return slices.ContainsFunc(r.Tasks, func(t Task) bool {
		return t.isOnTrial(now)
	})
}

// LatestRun returns the highest run number of any task, or zero if none was
// placed.
func (r StepState) LatestRun() int {
	n := 0
	for _, t := range r.Tasks {
		n = max(n, t.Run)
	}
	return n
}

// An Occurrence is the state of one execution of all steps.
type Occurrence struct {
	// Steps lists the steps in the order of the specification.
	Steps []StepState
}

func newOccurrence(spec Spec) Occurrence {
	o := Occurrence{
		Steps: make([]StepState, len(spec.Steps)),
	}
	for i, s := range spec.Steps {
		o.Steps[i] = newStepState(s)
	}
	return o
}

// WithStep returns a copy of o with the step at the index replaced.
func (o Occurrence) WithStep(index int, r StepState) Occurrence {
	o.Steps = slices.Clone(o.Steps)
	o.Steps[index] = r
	return o
}

// HasSucceeded reports whether all steps have succeeded.
func (o Occurrence) HasSucceeded(spec Spec) bool {
	for i, r := range o.Steps {
		if !r.HasSucceeded(spec.Steps[i]) {
			return false
		}
	}
	return true
}

// IsReady reports whether all steps that the given step depends on have
// succeeded.
func (o Occurrence) IsReady(spec Spec, step int) bool {
	for _, dependency := range spec.Steps[step].Dependencies {
		if !o.Steps[dependency].HasSucceeded(spec.Steps[dependency]) {
			return false
		}
	}
	return true
}

// HasPlacedTask reports whether any task is placed.
func (o Occurrence) HasPlacedTask() bool {
	return slices.ContainsFunc(o.Steps, StepState.HasPlacedTask)
}

// HasSuspect reports whether any task is a suspect.
func (o Occurrence) HasSuspect() bool {
	return slices.ContainsFunc(o.Steps, StepState.HasSuspect)
}
