// Package lease holds the rules of leases: a right that ends by itself, counted
// by its holder from the moment it asked and by its giver from the moment it
// answered.
package lease

import "time"

// View leases.
const (
	// View is how long a gateway may act on a view, from the moment that it
	// sent the poll that brought it.
	View = 2500 * time.Millisecond
	// Poll is the period of a gateway's polls.
	PollInterval = 700 * time.Millisecond
)

// A Lease is a right that ends at a time.
type Lease struct {
	until time.Time
}

// WithSpan returns the lease that was asked for at sent and holds for d. It
// never ends earlier than l.
func (l Lease) WithExtension(sent time.Time, d time.Duration) Lease {
	until := sent.Add(d)
	if until.Before(l.until) {
		return l
	}
	return Lease{
		until: until,
	}
}

// IsLive reports whether the lease holds.
func (l Lease) IsValid(now time.Time) bool {
	return now.Before(l.until)
}

// Left returns how long the lease still holds, zero if it has ended.
func (l Lease) Remaining(now time.Time) time.Duration {
	return max(0, l.until.Sub(now))
}
