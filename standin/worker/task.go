package worker

import (
	"encoding/json"
	"time"

	"github.com/plantainladder/plantainladder/worker"
)

// Command is the command of a job as the stand-in reads it.
type Command struct {
	// RunMS is the actual run time of a task, in milliseconds.
	RunMS int64 `json:"run-ms"`
	// CheckpointMS is how long it takes to write a checkpoint, in milliseconds.
	CheckpointMS int64 `json:"checkpoint-ms"`
	// Fail makes the task fail as soon as it has started.
	Fail bool `json:"fail"`
}

// task is a task on the worker, ended or not.
type task struct {
	order         worker.Order
	command       Command
	state         worker.TaskState
	startedAt     time.Time
	endsAt        time.Time
	checkpointing bool
	failing       bool
}

func newTask(o worker.Order) task {
	var cmd Command
	_ = json.Unmarshal([]byte(o.Command), &cmd)
	return task{
		order:   o,
		command: cmd,
		state:   worker.TaskPrepared,
	}
}

// holdsCapacity reports whether the task uses capacity of the worker: it is
// prepared or running.
func (t task) holdsCapacity() bool {
	return t.state == worker.TaskPrepared || t.state == worker.TaskRunning
}

// leaseGrace returns how long the task may run on after the worker's lease has
// expired.
func (t task) leaseGrace() time.Duration {
	if t.state != worker.TaskRunning {
		return 0
	}
	return time.Duration(t.order.LeaseGraceMS) * time.Millisecond
}

// withStart returns t as running since now. Work that a checkpoint has saved
// shortens the run.
func (t task) withStart(now time.Time, failAll bool) task {
	t.state = worker.TaskRunning
	t.startedAt = now
	remaining := max(0, t.command.RunMS-t.order.SavedMS)
	t.failing = failAll || t.command.Fail
	if t.failing {
		remaining = 0
	}
	t.endsAt = now.Add(time.Duration(remaining) * time.Millisecond)
	return t
}

// withStop returns t as stopped, or as running until its checkpoint is written if
// one is asked for.
func (t task) withStop(now time.Time, checkpoint bool) task {
	if !t.holdsCapacity() {
		return t
	}
	if t.state == worker.TaskPrepared || !checkpoint {
		t.state = worker.TaskStopped
		return t
	}
	if !t.checkpointing {
		t.checkpointing = true
		t.endsAt = now.Add(time.Duration(t.command.CheckpointMS) * time.Millisecond)
	}
	return t.advancedTo(now)
}

// advancedTo returns t as it is at now: ended if its end time has come.
func (t task) advancedTo(now time.Time) task {
	if t.state != worker.TaskRunning || now.Before(t.endsAt) {
		return t
	}
	switch {
	case t.checkpointing:
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
	if !t.startedAt.IsZero() {
		ran = now.Sub(t.startedAt).Milliseconds()
	}
	return worker.TaskReport{
		Job:        t.order.Job,
		Attempt:    t.order.Attempt,
		Task:       t.order.Task,
		State:      t.state,
		Started:    !t.startedAt.IsZero(),
		Checkpoint: t.checkpointing && t.state == worker.TaskStopped,
		RanMS:      ran,
	}
}
