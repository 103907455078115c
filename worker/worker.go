// Package worker holds the aggregate of a worker: its registration, which is
// replicated, its heartbeat, which only the leader keeps, and the orders to it.
package worker

import (
	"time"

	"github.com/plantainladder/plantainladder/shape"
)

// Worker is the registration of a worker with the record of its failures.
type Worker struct {
	// Name is the worker's name.
	Name string `json:"name"`
	// Address is the host and port of the worker's HTTP interface.
	Address string `json:"address"`
	// DataCentre is the name of the worker's data centre.
	DataCentre string `json:"data-centre"`
	// Rack is the name of the worker's rack inside the data centre.
	Rack string `json:"rack"`
	// Capacity holds the total resources of the worker.
	Capacity shape.Resources `json:"capacity"`
	// Incarnation identifies one run of the worker's process; it changes with
	// each restart.
	Incarnation string `json:"incarnation"`
	// Quarantined is true while the worker gets no tasks because of repeated
	// early failures.
	Quarantined bool `json:"quarantined"`
	// Failures counts consecutive tasks that failed soon after their start.
	Failures int `json:"failures"`
	// ProbeAt is when a quarantined worker may get a task again, whose result
	// ends or extends the quarantine.
	ProbeAt time.Time `json:"probe-at"`
}

// Quarantine rules.
const (
	// MaxFailures is the number of consecutive failures that quarantine a worker.
	MaxFailures     = 3
	firstQuarantine = time.Minute
	maxQuarantine   = time.Hour
)

// WithFailure returns w after a task that failed soon after its start. Each
// failure beyond MaxFailures doubles the quarantine.
func (w Worker) WithFailure(now time.Time) Worker {
	w.Failures++
	if w.Failures < MaxFailures {
		return w
	}
	duration := firstQuarantine << min(w.Failures-MaxFailures, 6)
	w.Quarantined = true
	w.ProbeAt = now.Add(min(duration, maxQuarantine))
	return w
}

// WithSuccess returns w after a task that succeeded.
func (w Worker) WithSuccess() Worker {
	w.Failures = 0
	w.Quarantined = false
	w.ProbeAt = time.Time{}
	return w
}

// WithRegistration returns the registration next with the failures and the
// quarantine of w.
func (w Worker) WithRegistration(next Worker) Worker {
	next.Quarantined = w.Quarantined
	next.Failures = w.Failures
	next.ProbeAt = w.ProbeAt
	return next
}

// IsUsable reports whether w may get new tasks.
func (w Worker) IsUsable(now time.Time) bool {
	return !w.Quarantined || !now.Before(w.ProbeAt)
}
