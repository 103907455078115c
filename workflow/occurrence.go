package workflow

import "slices"

// A StepState is a step of one occurrence.
type StepState struct {
	// Tasks holds the tasks by index.
	Tasks []Task
	// Failures counts the failed runs of a gang.
	Failures int
	// LastFailedRun is the last run of a gang that was counted as failed.
	LastFailedRun int
	// Checkpoint is the last saved progress of a gang.
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

// WithTask returns r with another task at an index.
func (r StepState) WithTask(index int, t Task) StepState {
	r.Tasks = slices.Clone(r.Tasks)
	r.Tasks[index] = t
	return r
}

// IsDone reports whether a step has ended well: all tasks of a set, or any
// task of a gang, whose members end well together.
func (r StepState) IsDone(s Step) bool {
	if s.IsGang {
		return slices.ContainsFunc(r.Tasks, Task.IsFinished)
	}
	return !slices.ContainsFunc(r.Tasks, func(t Task) bool {
		return !t.IsFinished()
	})
}

// HasPlacedTask reports whether any task has a place.
func (r StepState) HasPlacedTask() bool {
	return slices.ContainsFunc(r.Tasks, func(t Task) bool {
		_, ok := t.CurrentPlacement()
		return ok
	})
}

// LatestRun returns the highest run of any task.
func (r StepState) LatestRun() int {
	n := 0
	for _, t := range r.Tasks {
		n = max(n, t.Run)
	}
	return n
}

// An Occurrence is one execution of all steps.
type Occurrence struct {
	// Steps holds the steps by number.
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

// WithStep returns o with another step at a number.
func (o Occurrence) WithStep(number int, r StepState) Occurrence {
	o.Steps = slices.Clone(o.Steps)
	o.Steps[number] = r
	return o
}

// IsDone reports whether all steps have ended well.
func (o Occurrence) IsDone(spec Spec) bool {
	for i, r := range o.Steps {
		if !r.IsDone(spec.Steps[i]) {
			return false
		}
	}
	return true
}

// IsReady reports whether the steps before a step have ended well.
func (o Occurrence) IsReady(spec Spec, step int) bool {
	for _, before := range spec.Steps[step].Dependencies {
		if !o.Steps[before].IsDone(spec.Steps[before]) {
			return false
		}
	}
	return true
}

// HasPlacedTask reports whether any task has a place.
func (o Occurrence) HasPlacedTask() bool {
	return slices.ContainsFunc(o.Steps, StepState.HasPlacedTask)
}
