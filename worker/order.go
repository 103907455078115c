package worker

import "github.com/plantainladder/plantainladder/shape"

// TaskRef identifies one task of one attempt of a job.
type TaskRef struct {
	// Job is the job's identifier.
	Job string `json:"job"`
	// Attempt counts the job's placements, starting at 1.
	Attempt int `json:"attempt"`
	// Task is the task's number in the gang, starting at 0.
	Task int `json:"task"`
}

// Actions of an Order. A task is prepared first and started once all tasks of
// its gang are prepared.
const (
	ActionPrepare = "prepare"
	ActionStart   = "start"
	ActionStop    = "stop"
)

// Order instructs a worker to prepare, start or stop one task. Orders are
// idempotent by task and action.
type Order struct {
	TaskRef
	// Action is ActionPrepare, ActionStart or ActionStop.
	Action string `json:"action"`
	// PerTask holds the resources that the task needs.
	PerTask shape.Resources `json:"each"`
	// Tasks is the size of the gang.
	Tasks int `json:"tasks"`
	// Command is passed to the task unchanged.
	Command string `json:"command,omitempty"`
	// SavedMS is the run time that the last checkpoint covers, in milliseconds.
	SavedMS int64 `json:"saved-ms"`
	// ValidForMS is how long the order is valid after its arrival, in
	// milliseconds.
	ValidForMS int64 `json:"within-ms"`
	// LeaseGraceMS is how long a running task continues after the worker's lease
	// has expired, in milliseconds.
	LeaseGraceMS int64 `json:"hold-ms"`
	// Checkpoint requests a checkpoint before the task is stopped.
	Checkpoint bool `json:"checkpoint"`
}

// HeartbeatReply answers a worker's heartbeat.
type HeartbeatReply struct {
	// LeaseMS is how long the worker may run tasks, counted from the time at
	// which it sent the heartbeat, in milliseconds.
	LeaseMS int64 `json:"lease-ms"`
	// StartForMS is how long the worker may start tasks, counted from the same
	// time, in milliseconds; zero if its data centre is out of service.
	StartForMS int64 `json:"start-for-ms"`
	// IntervalMS is the time between two heartbeats, in milliseconds.
	IntervalMS int64 `json:"every-ms"`
	// Forget lists the tasks that the worker may discard, since the leader needs
	// no further report of them.
	Forget []TaskRef `json:"forget,omitempty"`
}

// Ref returns the reference to the reported task.
func (r TaskReport) Ref() TaskRef {
	return TaskRef{
		Job:     r.Job,
		Attempt: r.Attempt,
		Task:    r.Task,
	}
}
