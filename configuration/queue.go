package configuration

import "time"

// A Queue takes workflows and says how they are served.
type Queue struct {
	// Name is the queue's name.
	Name string `json:"name"`
	// Host and Prefix are where callers reach the queue.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Pool names the workers that run its tasks.
	Pool string `json:"pool"`
	// Priority is 0 for the most urgent queue; it may preempt others.
	Priority int `json:"priority"`
	// MaxAttempts is how often a task may fail before its workflow fails.
	MaxAttempts int `json:"max-attempts"`
	// Stretch and Target are the objective: a workflow is in time if it
	// completes within Stretch times its longest chain of work, plus Target.
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"target"`
	// Timeout bounds a caller's single call.
	Timeout time.Duration `json:"timeout"`
	// Public is true for a queue that needs no token.
	Public bool `json:"public"`
	// RequiresPlacementAdvisor is true if a service of the operators' must choose the workers.
	RequiresPlacementAdvisor bool `json:"is-advised"`
}

// A Pool is a group of workers that run the same software.
type Pool struct {
	// Name is the pool's name.
	Name string `json:"name"`
	// WorkersEnforceCapacity is true if its workers refuse what does not fit.
	WorkersEnforceCapacity bool `json:"guards-capacity"`
}
