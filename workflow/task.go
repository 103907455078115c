package workflow

import "time"

// A TaskKey identifies a task.
type TaskKey struct {
	// Workflow is the identifier of the workflow.
	Workflow string `json:"workflow"`
	// Occurrence, Step and Index are the positions of the occurrence in its
	// workflow, the step in its occurrence and the task in its step, from 0.
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Index      int `json:"index"`
}

// A RunKey identifies one run of a task.
type RunKey struct {
	TaskKey
	// Run counts the placements of the task from 1. A number is never reused.
	Run int `json:"run"`
}

// TaskState is the state of a task: Waiting, Placed or Succeeded.
type TaskState interface {
	taskState()
}

// Waiting is the state of a task that is not placed on a worker.
type Waiting struct{}

// Placed is the state of a task that is placed on a worker and may be running
// there. It lasts until the end of the run is known.
type Placed struct {
	// Worker and Incarnation identify the worker process.
	Worker      string
	Incarnation int64
	// At is when the task was placed.
	At time.Time
}

// Succeeded is the state of a task that has succeeded.
type Succeeded struct{}

func (Waiting) taskState()   {}
func (Placed) taskState()    {}
func (Succeeded) taskState() {}

// A Task is one task of an occurrence.
type Task struct {
	// Run is the number of the last run, or zero if there was none.
	Run int
	// Failures counts the failed runs. StepState counts those of a gang as a
	// whole.
	Failures int
	// Crashes counts the runs under which the worker crashed or may have crashed.
	// UnconfirmedCrashes counts those under which it may not have; see
	// RunEnd.IsUnconfirmed. SilentLosses counts those of them that only the silence of
	// the worker suggests: its lease was over, or it may have crashed before the start
	// was sent. UnresolvedLosses holds those for which there is no verdict yet.
	Crashes            int
	UnconfirmedCrashes int
	SilentLosses       int
	UnresolvedLosses   []SilentLoss
	// Stalls counts the runs that were stopped since they made no progress.
	Stalls int
	// CrashedAt is when the last of the crashes, or a verdict that one of them was a
	// crash, was recorded.
	CrashedAt time.Time
	// Checkpoint names the last saved checkpoint. It is empty if there is none.
	Checkpoint string
	// TaskState is the current state.
	TaskState TaskState
}

// WithPlacement returns a copy of t that is placed for a new run.
func (t Task) WithPlacement(run int, p Placed) Task {
	t.Run = run
	t.TaskState = p
	return t
}

// WithState returns a copy of t in the given state.
func (t Task) WithState(s TaskState) Task {
	t.TaskState = s
	return t
}

// CurrentPlacement returns the placement of the task. It reports false if the
// task is not placed.
func (t Task) CurrentPlacement() (p Placed, ok bool) {
	p, ok = t.TaskState.(Placed)
	return p, ok
}

// HasSucceeded reports whether the task has succeeded.
func (t Task) HasSucceeded() bool {
	_, ok := t.TaskState.(Succeeded)
	return ok
}

// IsWaiting reports whether the task still has to be placed.
func (t Task) IsWaiting() bool {
	_, ok := t.TaskState.(Waiting)
	return ok
}

// Limits of the crashes under a task.
const (
	// suspectCrashes is the number of crashes, one of them no silent loss, from which
	// on a task is a suspect.
	suspectCrashes = 2
	// maxCrashes is the number of crashes at which a task is given up if it was
	// alone on the last of the workers and at least minConfirmedCrashes of them are
	// confirmed.
	maxCrashes          = 3
	minConfirmedCrashes = 2
	// maxSharedCrashes is the number of crashes at which a task is given up even if
	// it never was alone, unless all but one of them are silent losses. Source: the
	// platform's rules, which allow two more starts after the third crash.
	maxSharedCrashes = 5
)

// IsSuspect reports whether the task may be what crashes its workers, so that it
// should share them with no other workflow.
func (t Task) IsSuspect() bool {
	return t.Crashes >= suspectCrashes && t.Crashes > t.SilentLosses
}

// isolationPeriod is how long after a crash a suspect is kept apart from other
// workflows. Source: the platform's rules, by which a task that could run may wait for
// 3 s.
const isolationPeriod = 2 * time.Second

// IsIsolated reports whether the task is a suspect that is kept apart from other
// workflows, so that a further crash shows whether it is the cause and harms nothing
// else. The isolation is limited in time, since the others wait for it.
func (t Task) IsIsolated(now time.Time) bool {
	return t.IsSuspect() && isRecent(now, t.CrashedAt)
}

// isOnTrial reports whether the task is a suspect that was placed recently.
func (t Task) isOnTrial(now time.Time) bool {
	p, isPlaced := t.CurrentPlacement()
	return isPlaced && t.IsSuspect() && isRecent(now, p.At)
}

// isRecent reports whether a time is less than isolationPeriod ago. One that is yet to
// come, by the clock of an earlier leader, is not.
func isRecent(now, at time.Time) bool {
	age := now.Sub(at)
	return age >= 0 && age < isolationPeriod
}

// mustGiveUp reports whether the task may not be started again after the worker
// crashed under it. Which of several workflows made a worker crash is unknown, so
// a run that was alone there weighs more.
func (t Task) mustGiveUp(wasAlone bool) bool {
	isConfirmed := t.Crashes-t.UnconfirmedCrashes >= minConfirmedCrashes
	isLikely := t.Crashes-t.SilentLosses >= minConfirmedCrashes
	return t.Crashes >= maxCrashes && wasAlone && isConfirmed || t.Crashes >= maxSharedCrashes && isLikely
}

// An EndReason is the reason why a run ended.
type EndReason string

// The reasons why a run ended.
const (
	// EndedDone means that the run succeeded.
	EndedDone EndReason = "done"
	// EndedFailed means that the task or its worker failed. It is the only reason
	// that counts as a failed attempt.
	EndedFailed EndReason = "failed"
	// EndedStopped means that the run was stopped by order of the controller.
	EndedStopped EndReason = "stopped"
	// EndedLeaseExpired means that the worker's lease expired.
	EndedLeaseExpired EndReason = "lapsed"
	// EndedGangAborted means that the run was aborted since another member of the
	// gang had ended.
	EndedGangAborted EndReason = "broken"
	// EndedGangIncomplete means that the members of the gang were never all
	// started.
	EndedGangIncomplete EndReason = "alone"
	// EndedLost means that no end was reported, but the run can no longer be in
	// progress on any worker.
	EndedLost EndReason = "lost"
	// EndedCrashed means that the worker ended without notice while the run may have
	// been in progress there.
	EndedCrashed EndReason = "crashed"
	// EndedNotStarted means that the run was never started: the start was not
	// sent, or the worker rejected it.
	EndedNotStarted EndReason = "unstarted"
)

// A Placement places a task on a worker for a new run.
type Placement struct {
	RunKey
	// Worker and Incarnation identify the worker process.
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born"`
}

// A RunEnd records the end of a run.
type RunEnd struct {
	RunKey
	// EndReason is the reason why the run ended.
	EndReason EndReason `json:"ending"`
	// WasAlone is true if no other workflow had a run on a worker that crashed.
	WasAlone bool `json:"was-alone,omitempty"`
	// IsStalled is true if the run was stopped since it made no progress.
	IsStalled bool `json:"stalled,omitempty"`
	// IsUnconfirmed is true if the worker may have crashed under the run, but the run
	// may not have begun by then, or the worker may only be out of reach.
	IsUnconfirmed bool `json:"unconfirmed,omitempty"`
	// AwaitsVerdict is true if the run probably had begun and its worker is only known
	// to be out of reach, so that a LossVerdict follows. HasBegun is true if the run
	// certainly had.
	AwaitsVerdict bool `json:"awaits-verdict,omitempty"`
	HasBegun      bool `json:"has-begun,omitempty"`
	// Checkpoint names the checkpoint that the run saved. It is empty if there is
	// none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// isCrash reports whether the worker crashed, or may have crashed, under the run.
func (e RunEnd) isCrash() bool {
	return e.EndReason == EndedCrashed || e.EndReason == EndedLost && e.IsUnconfirmed
}
