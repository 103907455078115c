package worker

import (
	"encoding/json"
	"time"

	"github.com/plantainladder/plantainladder/worker"
)

// A Command is what the stand-in understands of a job's command.
type Command struct {
	// RunMS is how long a task really runs, in milliseconds.
	RunMS int64 `json:"run-ms"`
	// CheckpointMS is how long a checkpoint takes, in milliseconds.
	CheckpointMS int64 `json:"checkpoint-ms"`
	// Fail makes the task fail at once.
	Fail bool `json:"fail"`
}

// task is a task that the worker holds.
type task struct {
	order   worker.Order
	command Command
	state   worker.TaskState
	started time.Time
	ends    time.Time
	saved   bool
	failing bool
}

func newTask(o worker.Order) task {
	var c Command
	_ = json.Unmarshal([]byte(o.Command), &c)
	return task{
		order:   o,
		command: c,
		state:   worker.TaskPrepared,
	}
}

// isHeld reports whether the task holds capacity.
func (t task) isHeld() bool {
	return t.state == worker.TaskPrepared || t.state == worker.TaskRunning
}

// hold returns how long the task goes on after the lease has run out.
func (t task) hold() time.Duration {
	if t.state != worker.TaskRunning {
		return 0
	}
	return time.Duration(t.order.LeaseGraceMS) * time.Millisecond
}

// withStart returns t as running.
func (t task) withStart(now time.Time, failAll bool) task {
	t.state = worker.TaskRunning
	t.started = now
	left := max(0, t.command.RunMS-t.order.SavedMS)
	t.failing = failAll || t.command.Fail
	if t.failing {
		left = 0
	}
	t.ends = now.Add(time.Duration(left) * time.Millisecond)
	return t
}

// withStop returns t as stopped, or as going to stop once its checkpoint is
// written.
func (t task) withStop(now time.Time, checkpoint bool) task {
	if !t.isHeld() {
		return t
	}
	if t.state == worker.TaskPrepared || !checkpoint {
		t.state = worker.TaskStopped
		return t
	}
	if !t.saved {
		t.saved = true
		t.ends = now.Add(time.Duration(t.command.CheckpointMS) * time.Millisecond)
	}
	return t.withTime(now)
}

// withTime returns t as it is at the given time.
func (t task) withTime(now time.Time) task {
	if t.state != worker.TaskRunning || now.Before(t.ends) {
		return t
	}
	switch {
	case t.saved:
		t.state = worker.TaskStopped
	case t.failing:
		t.state = worker.TaskFailed
	default:
		t.state = worker.TaskDone
	}
	return t
}

func (t task) report(now time.Time) worker.TaskReport {
	ran := int64(0)
	if !t.started.IsZero() {
		ran = now.Sub(t.started).Milliseconds()
	}
	return worker.TaskReport{
		Job:        t.order.Job,
		Attempt:    t.order.Attempt,
		Task:       t.order.Task,
		State:      t.state,
		Started:    !t.started.IsZero(),
		Checkpoint: t.saved && t.state == worker.TaskStopped,
		RanMS:      ran,
	}
}
