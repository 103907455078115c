package worker

import (
	"fmt"
	"hash/fnv"
	"time"
)

// Lease bounds, in time since the worker sent its beat.
const (
	// Lease is how long a worker may run tasks after a beat that was answered.
	LeaseDuration = 6 * time.Second
	// LossMargin is added by the leader, for clocks that drift.
	DriftMargin = time.Second
)

// A TaskState is what a worker says of one task: "prepared", "running",
// "done", "failed" or "stopped".
type TaskState string

// States of a task on a worker.
const (
	TaskPrepared TaskState = "prepared"
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// A TaskReport is what a worker says of one task.
type TaskReport struct {
	// Job is the job's identifier.
	Job string `json:"job"`
	// Attempt counts the job's placements, starting at 1.
	Attempt int `json:"attempt"`
	// Task is the task's number in the gang, starting at 0.
	Task int `json:"task"`
	// State is the task's state.
	State TaskState `json:"state"`
	// Started is true if the task was ever started here.
	Started bool `json:"started"`
	// Checkpoint is true if a checkpoint holds all of its work.
	Checkpoint bool `json:"checkpoint"`
	// RanMS is how long it has run, in milliseconds.
	RanMS int64 `json:"ran-ms"`
}

// A Beat is a worker's heartbeat with all tasks that it holds.
type Heartbeat struct {
	// Worker is the registration as the worker announces it.
	Worker Worker `json:"worker"`
	// Sequence grows with each beat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Tasks lists every task that the worker holds.
	Tasks []TaskReport `json:"tasks"`
}

// Digest returns a digest of all that matters of a beat: the registration and
// the tasks with their states, but not how long they have run.
func (b Heartbeat) Digest() uint64 {
	h := fnv.New64a()
	w := b.Worker
	_, _ = fmt.Fprint(h, w.Name, "\n", w.Address, "\n", w.DataCentre, "\n", w.Rack, "\n", w.Incarnation, "\n", w.Capacity)
	for _, t := range b.Tasks {
		_, _ = fmt.Fprint(h, "\n", t.Job, " ", t.Attempt, " ", t.Task, " ", t.State, " ", t.Started, " ", t.Checkpoint)
	}
	return h.Sum64()
}

// Touch returns the beat in short, for a leader that knows the rest.
func (b Heartbeat) CompactHeartbeat() CompactHeartbeat {
	return CompactHeartbeat{
		Digest:   b.Digest(),
		Sequence: b.Sequence,
	}
}

// A NamedTouch is a Touch of the version before.
type LegacyHeartbeat struct {
	// Worker is the worker's name.
	Worker string `json:"w"`
}

// A Touch is a beat that brings nothing new. It is encoded as an array, since
// touches are most of what a leader reads.
type CompactHeartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Digest is the beat's digest. It names the worker as well.
	Digest uint64
	// Sequence is the beat's sequence.
	Sequence uint64
}
