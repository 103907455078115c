package configuration

import "time"

// A Queue accepts workflows and sets how they are scheduled.
type Queue struct {
	// Name is the queue's name.
	Name string `json:"name"`
	// Host and Prefix are the host name and the path prefix of the URLs of the
	// queue.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Pool is the name of the pool whose workers run the tasks.
	Pool string `json:"pool"`
	// Priority is 0 for the most urgent queues, whose workflows may preempt
	// others. A larger number is less urgent.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which its workflow
	// fails.
	MaxAttempts int `json:"max-attempts"`
	// Stretch and Slack set the target completion time: a workflow is in time if
	// it completes within Stretch times its critical path plus Slack.
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"target"`
	// Timeout limits the duration of one call to the queue.
	Timeout time.Duration `json:"timeout"`
	// Public is true if callers need no token.
	Public bool `json:"public"`
	// RequiresPlacementAdvisor is true if a service of the operators has to
	// choose the workers. Such queues are not supported.
	RequiresPlacementAdvisor bool `json:"is-advised"`
}

// A Pool is a set of workers that run the same software.
type Pool struct {
	// Name is the pool's name.
	Name string `json:"name"`
	// WorkersEnforceCapacity is true if the workers refuse tasks that exceed their
	// free capacity.
	WorkersEnforceCapacity bool `json:"guards-capacity"`
}
