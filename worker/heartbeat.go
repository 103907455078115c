package worker

import (
	"fmt"
	"hash/fnv"
	"time"
)

// Bounds of a worker's lease.
const (
	// LeaseDuration is how long a worker may run tasks, counted from the time at
	// which it sent a heartbeat that was answered.
	LeaseDuration = 6 * time.Second
	// DriftMargin is added to the lease by the leader to allow for clock drift.
	DriftMargin = time.Second
)

// TaskState is the state of a task as its worker reports it: "prepared",
// "running", "done", "failed" or "stopped".
type TaskState string

// States of a task on a worker.
const (
	TaskPrepared TaskState = "prepared"
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// TaskReport is a worker's report of one task.
type TaskReport struct {
	// Job is the job's identifier.
	Job string `json:"job"`
	// Attempt counts the job's placements, starting at 1.
	Attempt int `json:"attempt"`
	// Task is the task's number in the gang, starting at 0.
	Task int `json:"task"`
	// State is the task's state.
	State TaskState `json:"state"`
	// Started is true if the task was ever started on this worker.
	Started bool `json:"started"`
	// Checkpoint is true if a checkpoint holds all of the task's work.
	Checkpoint bool `json:"checkpoint"`
	// RanMS is the task's run time so far, in milliseconds.
	RanMS int64 `json:"ran-ms"`
}

// Heartbeat is the periodic report of a worker with all tasks that it holds.
type Heartbeat struct {
	// Worker is the worker's registration.
	Worker Worker `json:"worker"`
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Tasks lists every task that the worker holds.
	Tasks []TaskReport `json:"tasks"`
}

// Digest returns a hash of the registration and of the tasks with their states.
// It leaves out the sequence and the run times, which change with each
// heartbeat.
func (hb Heartbeat) Digest() uint64 {
	h := fnv.New64a()
	w := hb.Worker
	_, _ = fmt.Fprint(h, w.Name, "\n", w.Address, "\n", w.DataCentre, "\n", w.Rack, "\n", w.Incarnation, "\n", w.Capacity)
	for _, t := range hb.Tasks {
		_, _ = fmt.Fprint(h, "\n", t.Job, " ", t.Attempt, " ", t.Task, " ", t.State, " ", t.Started, " ", t.Checkpoint)
	}
	return h.Sum64()
}

// CompactHeartbeat returns the short form of hb, for a leader that has received
// an equal heartbeat in full.
func (hb Heartbeat) CompactHeartbeat() CompactHeartbeat {
	return CompactHeartbeat{
		Digest:   hb.Digest(),
		Sequence: hb.Sequence,
	}
}

// LegacyHeartbeat is the previous version of CompactHeartbeat, without a digest.
type LegacyHeartbeat struct {
	// Worker is the worker's name.
	Worker string `json:"w"`
}

// CompactHeartbeat stands for a heartbeat that differs from the last one only in
// its sequence and run times. It is encoded as an array to keep it short, since
// compact heartbeats are most of the data that a leader reads.
type CompactHeartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Digest is the digest of the heartbeat, which covers the worker's name.
	Digest uint64
	// Sequence is the sequence of the heartbeat.
	Sequence uint64
}
