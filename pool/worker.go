// Package pool holds the aggregate of a pool's workers: machines that run the
// tasks of workflows under leases and announce themselves.
package pool

import "slices"

// A Worker is one life of a worker as it announced itself. A worker that
// starts anew keeps its ID and has a later Born.
type Worker struct {
	// ID is the worker's identifier.
	ID string `json:"id"`
	// Incarnation is when this life of the worker began, in milliseconds since 1970
	// on the worker's clock. It only tells lives apart.
	Incarnation int64 `json:"born"`
	// Pool is the name of its pool.
	Pool string `json:"pool"`
	// Address is host and port of its HTTP interface.
	Address string `json:"address"`
	// DataCentre is the name of its data centre.
	DataCentre string `json:"data-centre"`
	// Labels holds its kind and its rack.
	Labels []string `json:"labels"`
	// Capacity is all that it has.
	Capacity ResourceVector `json:"capacity"`
	// Leaving is true once it has said that it will end.
	Leaving bool `json:"leaving"`
}

// WithLeaving returns w as leaving.
func (w Worker) WithLeaving() Worker {
	w.Leaving = true
	return w
}

// HasLabel reports whether w carries a label.
func (w Worker) HasLabel(label string) bool {
	return slices.Contains(w.Labels, label)
}

// Rack returns the name of the rack. A worker names its kind first and its
// rack last; one that names no rack counts as a rack of its own.
func (w Worker) Rack() string {
	if n := len(w.Labels); n > 1 {
		return w.Labels[n-1]
	}
	return w.ID
}

// IsSame reports whether two announcements say the same.
func (w Worker) IsSame(other Worker) bool {
	return w.ID == other.ID && w.Incarnation == other.Incarnation && w.Pool == other.Pool && w.Address == other.Address &&
		w.DataCentre == other.DataCentre && w.Capacity == other.Capacity && w.Leaving == other.Leaving &&
		slices.Equal(w.Labels, other.Labels)
}

// Supersedes reports whether an announcement is to replace the one known. A
// life that was followed by a later one is over, and a worker that leaves never
// stays after all.
func (w Worker) Supersedes(known Worker) bool {
	switch {
	case w.Incarnation != known.Incarnation:
		return w.Incarnation > known.Incarnation
	case known.Leaving:
		return false
	}
	return !w.IsSame(known)
}
