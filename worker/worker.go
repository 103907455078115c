// Package worker holds the aggregate of a worker: its registration, which is
// replicated, and its beat, which only the leader keeps.
package worker

import (
	"time"

	"github.com/plantainladder/plantainladder/shape"
)

// A Worker is a registered worker.
type Worker struct {
	// Name is the worker's name.
	Name string `json:"name"`
	// Address is host and port of its HTTP interface.
	Address string `json:"address"`
	// DataCentre is the name of its data centre.
	DataCentre string `json:"data-centre"`
	// Rack is the name of its rack inside the data centre.
	Rack string `json:"rack"`
	// Capacity is all that it has.
	Capacity shape.Resources `json:"capacity"`
	// Incarnation changes whenever the worker's process restarts.
	Incarnation string `json:"incarnation"`
	// Quarantined is true while it gets no tasks because it failed too many.
	Quarantined bool `json:"quarantined"`
	// Failures counts the tasks in a row that it failed at once.
	Failures int `json:"failures"`
	// ProbeAt is when a quarantined worker may be tried again.
	ProbeAt time.Time `json:"probe-at"`
}

// Quarantine rules.
const (
	// MaxFailures is the number of failures in a row that quarantine a worker.
	MaxFailures     = 3
	firstQuarantine = time.Minute
	maxQuarantine   = time.Hour
)

// WithFailure returns w after a task that failed at once. Each failure beyond
// the limit doubles the quarantine.
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

// WithSuccess returns w after a task that ended well.
func (w Worker) WithSuccess() Worker {
	w.Failures = 0
	w.Quarantined = false
	w.ProbeAt = time.Time{}
	return w
}

// WithRegistration returns w as next announces it; what was learned about the
// worker stays.
func (w Worker) WithRegistration(next Worker) Worker {
	next.Quarantined = w.Quarantined
	next.Failures = w.Failures
	next.ProbeAt = w.ProbeAt
	return next
}

// IsUsable reports whether new tasks may go to w.
func (w Worker) IsUsable(now time.Time) bool {
	return !w.Quarantined || !now.Before(w.ProbeAt)
}
