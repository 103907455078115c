package workflow

import "time"

// A TaskKey names a task.
type TaskKey struct {
	// Workflow is the workflow's identifier.
	Workflow string `json:"workflow"`
	// Occurrence, Step and Index count from 0.
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Index      int `json:"index"`
}

// A RunKey names one run of a task.
type RunKey struct {
	TaskKey
	// Run counts the task's starts from 1. It never repeats.
	Run int `json:"run"`
}

// TaskState is how far a task is: Waiting, Placed or Finished.
type TaskState interface {
	taskState()
}

// Waiting has no place.
type Waiting struct{}

// Placed has a place on a worker, where it may run, until its end is known.
type Placed struct {
	// Worker and Born name the life of the worker.
	Worker      string
	Incarnation int64
	// At is when the place was given.
	At time.Time
}

// Finished has ended well.
type Finished struct{}

func (Waiting) taskState()  {}
func (Placed) taskState()   {}
func (Finished) taskState() {}

// A Task is one task of an occurrence.
type Task struct {
	// Run is the number of its last run, zero for none.
	Run int
	// Failures counts the runs that failed.
	Failures int
	// Checkpoint is the last saved progress, empty for none.
	Checkpoint string
	// TaskState is how far it is.
	TaskState TaskState
}

// WithPlacement returns t with a new run on a worker.
func (t Task) WithPlacement(run int, p Placed) Task {
	t.Run = run
	t.TaskState = p
	return t
}

// WithState returns t with another progress.
func (t Task) WithState(p TaskState) Task {
	t.TaskState = p
	return t
}

// CurrentPlacement returns where the task is placed.
func (t Task) CurrentPlacement() (p Placed, ok bool) {
	p, ok = t.TaskState.(Placed)
	return p, ok
}

// IsFinished reports whether the task has ended well.
func (t Task) IsFinished() bool {
	_, ok := t.TaskState.(Finished)
	return ok
}

// IsWaiting reports whether the task has no place.
func (t Task) IsWaiting() bool {
	_, ok := t.TaskState.(Waiting)
	return ok
}

// An EndReason is how a run ended.
type EndReason string

// Endings of a run.
const (
	// EndedDone means that the run ended well.
	EndedDone EndReason = "done"
	// EndedFailed means that the run failed by itself or by its worker.
	EndedFailed EndReason = "failed"
	// EndedStopped means that the run was stopped.
	EndedStopped EndReason = "stopped"
	// EndedLeaseExpired means that the worker's lease ran out.
	EndedLeaseExpired EndReason = "lapsed"
	// EndedGangAborted means that another member of the gang ended.
	EndedGangAborted EndReason = "broken"
	// EndedGangIncomplete means that the gang was never complete.
	EndedGangIncomplete EndReason = "alone"
	// EndedLost means that the run can be going on nowhere, though no end was
	// seen.
	EndedLost EndReason = "lost"
	// EndedStartRefused means that the worker refused to start the run.
	EndedStartRefused EndReason = "unstarted"
)

// A Placement gives a task a place.
type Placement struct {
	RunKey
	// Worker and Born name the life of the worker.
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born"`
}

// An RunEnd says how a run ended.
type RunEnd struct {
	RunKey
	// EndReason is how.
	EndReason EndReason `json:"ending"`
	// Checkpoint is the saved progress, empty for none.
	Checkpoint string `json:"checkpoint,omitempty"`
}
