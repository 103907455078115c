// Package pool holds the aggregate of the workers in a pool. These machines run
// the tasks of workflows under leases and announce themselves periodically.
package pool

import "slices"

// A Worker is one incarnation of a worker process, as described by its
// announcement. A restarted worker keeps its ID and has a higher Incarnation.
type Worker struct {
	// ID identifies the worker across restarts.
	ID string `json:"id"`
	// Incarnation is the start time of the process in milliseconds since 1970
	// on the worker's own clock. It is only compared with other incarnations of
	// the same worker.
	Incarnation int64 `json:"born"`
	// Pool is the name of the pool that the worker belongs to.
	Pool string `json:"pool"`
	// Address is the host and port of the worker's HTTP interface.
	Address string `json:"address"`
	// DataCentre is the name of the data centre that the worker runs in.
	DataCentre string `json:"data-centre"`
	// Labels holds the worker's kind first and, if it has one, its rack last.
	Labels []string `json:"labels"`
	// Capacity is the total capacity, used or not.
	Capacity ResourceVector `json:"capacity"`
	// Leaving is true once the worker has announced that it will shut down.
	Leaving bool `json:"leaving"`
	// Sequence rises with each announcement of an incarnation. It is zero if it is
	// not known.
	Sequence uint64 `json:"sequence,omitempty"`
	// Generation is set when the incarnation is committed, and is higher than those of all
	// incarnations before. A leader adds it to its term for the fence of its orders, so that
	// an incarnation rejects orders for an earlier one.
	Generation uint64 `json:"generation,omitempty"`
	// LogSpeed is the logarithm of the speed at which the incarnation runs tasks, relative to
	// other workers of its pool, as the leaders have learned it. SpeedPrecision is the
	// inverse of its variance; zero if it is not known.
	LogSpeed       float64 `json:"log-speed,omitempty"`
	SpeedPrecision float64 `json:"speed-precision,omitempty"`
}

// WithSpeed returns w with the given LogSpeed and SpeedPrecision.
func (w Worker) WithSpeed(logSpeed, precision float64) Worker {
	w.LogSpeed, w.SpeedPrecision = logSpeed, precision
	return w
}

// WithGeneration returns w with the given Generation.
func (w Worker) WithGeneration(generation uint64) Worker {
	w.Generation = generation
	return w
}

// WithLeaving returns w marked as shutting down.
func (w Worker) WithLeaving() Worker {
	w.Leaving = true
	return w
}

// HasLabel reports whether w has the label.
func (w Worker) HasLabel(label string) bool {
	return slices.Contains(w.Labels, label)
}

// Rack returns the last label, which names the rack. A worker with fewer than
// two labels names no rack and counts as a rack of its own, named after its ID.
func (w Worker) Rack() string {
	if n := len(w.Labels); n > 1 {
		return w.Labels[n-1]
	}
	return w.ID
}

// IsSame reports whether two announcements have the same content, apart from their
// sequence numbers and what was added when they were committed.
func (w Worker) IsSame(other Worker) bool {
	return w.ID == other.ID && w.Incarnation == other.Incarnation && w.Pool == other.Pool && w.Address == other.Address &&
		w.DataCentre == other.DataCentre && w.Capacity == other.Capacity && w.Leaving == other.Leaving &&
		slices.Equal(w.Labels, other.Labels)
}

// Supersedes reports whether the announcement w replaces the known one. A
// higher incarnation always does and a lower one never does. Within an
// incarnation only a later change does, and an announced shutdown is never withdrawn.
func (w Worker) Supersedes(known Worker) bool {
	switch {
	case w.Incarnation != known.Incarnation:
		return w.Incarnation > known.Incarnation
	case known.Leaving || w.Sequence != 0 && w.Sequence < known.Sequence:
		return false
	}
	return !w.IsSame(known)
}
