package workflow

import "time"

// A Key names a task.
type Key struct {
	// Workflow is the workflow's identifier.
	Workflow string `json:"workflow"`
	// Occurrence, Step and Index count from 0.
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Index      int `json:"index"`
}

// A Ref names one run of a task.
type Ref struct {
	Key
	// Run counts the task's starts from 1. It never repeats.
	Run int `json:"run"`
}

// Progress is how far a task is: Waiting, Placed or Finished.
type Progress interface {
	progress()
}

// Waiting has no place.
type Waiting struct{}

// Placed has a place on a worker, where it may run, until its end is known.
type Placed struct {
	// Worker and Born name the life of the worker.
	Worker string
	Born   int64
	// At is when the place was given.
	At time.Time
}

// Finished has ended well.
type Finished struct{}

func (Waiting) progress()  {}
func (Placed) progress()   {}
func (Finished) progress() {}

// A Task is one task of an occurrence.
type Task struct {
	// Run is the number of its last run, zero for none.
	Run int
	// Failures counts the runs that failed.
	Failures int
	// Checkpoint is the last saved progress, empty for none.
	Checkpoint string
	// Progress is how far it is.
	Progress Progress
}

// WithPlace returns t with a new run on a worker.
func (t Task) WithPlace(run int, p Placed) Task {
	t.Run = run
	t.Progress = p
	return t
}

// WithProgress returns t with another progress.
func (t Task) WithProgress(p Progress) Task {
	t.Progress = p
	return t
}

// Place returns where the task is placed.
func (t Task) Place() (p Placed, ok bool) {
	p, ok = t.Progress.(Placed)
	return p, ok
}

// IsFinished reports whether the task has ended well.
func (t Task) IsFinished() bool {
	_, ok := t.Progress.(Finished)
	return ok
}

// IsWaiting reports whether the task has no place.
func (t Task) IsWaiting() bool {
	_, ok := t.Progress.(Waiting)
	return ok
}

// An Ending is how a run ended.
type Ending string

// Endings of a run.
const (
	// EndedDone means that the run ended well.
	EndedDone Ending = "done"
	// EndedFailed means that the run failed by itself or by its worker.
	EndedFailed Ending = "failed"
	// EndedStopped means that the run was stopped.
	EndedStopped Ending = "stopped"
	// EndedLapsed means that the worker's lease ran out.
	EndedLapsed Ending = "lapsed"
	// EndedBroken means that another member of the gang ended.
	EndedBroken Ending = "broken"
	// EndedAlone means that the gang was never complete.
	EndedAlone Ending = "alone"
	// EndedLost means that the run can be going on nowhere, though no end was
	// seen.
	EndedLost Ending = "lost"
	// EndedUnstarted means that the worker refused to start the run.
	EndedUnstarted Ending = "unstarted"
)

// A Placement gives a task a place.
type Placement struct {
	Ref
	// Worker and Born name the life of the worker.
	Worker string `json:"worker"`
	Born   int64  `json:"born"`
}

// An End says how a run ended.
type End struct {
	Ref
	// Ending is how.
	Ending Ending `json:"ending"`
	// Checkpoint is the saved progress, empty for none.
	Checkpoint string `json:"checkpoint,omitempty"`
}
