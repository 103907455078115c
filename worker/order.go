package worker

import "github.com/plantainladder/plantainladder/shape"

// A TaskRef names one task of one attempt.
type TaskRef struct {
	// Job is the job's identifier.
	Job string `json:"job"`
	// Attempt counts the job's placements, starting at 1.
	Attempt int `json:"attempt"`
	// Task is the task's number in the gang, starting at 0.
	Task int `json:"task"`
}

// Actions of an Order.
const (
	ActionPrepare = "prepare"
	ActionStart   = "start"
	ActionStop    = "stop"
)

// An Order is what the system tells a worker about one task. Orders are
// idempotent by task and action.
type Order struct {
	TaskRef
	// Action is ActionPrepare, ActionStart or ActionStop.
	Action string `json:"action"`
	// Each is what the task needs.
	Each shape.Resources `json:"each"`
	// Tasks is the size of the gang.
	Tasks int `json:"tasks"`
	// Command is handed to the task as it is.
	Command string `json:"command,omitempty"`
	// SavedMS is the work that the last checkpoint holds, in milliseconds.
	SavedMS int64 `json:"saved-ms"`
	// WithinMS is how long after its arrival the order still holds, in
	// milliseconds.
	ValidForMS int64 `json:"within-ms"`
	// HoldMS is how long a running task goes on after the worker's lease has run
	// out, in milliseconds.
	LeaseGraceMS int64 `json:"hold-ms"`
	// Checkpoint asks for a checkpoint before a stop.
	Checkpoint bool `json:"checkpoint"`
}

// A BeatReply answers a worker's beat.
type HeartbeatReply struct {
	// LeaseMS is how long, from the moment that the worker sent the beat, it
	// may run tasks, in milliseconds.
	LeaseMS int64 `json:"lease-ms"`
	// StartForMS is the same for starting tasks; zero if its data centre is
	// out of service.
	StartForMS int64 `json:"start-for-ms"`
	// EveryMS is the period of beats, in milliseconds.
	IntervalMS int64 `json:"every-ms"`
	// Forget lists the tasks that the system is done with.
	Forget []TaskRef `json:"forget,omitempty"`
}

// Ref returns the task that a report is about.
func (r TaskReport) Ref() TaskRef {
	return TaskRef{
		Job:     r.Job,
		Attempt: r.Attempt,
		Task:    r.Task,
	}
}
