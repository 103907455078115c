// Package lease holds the rules of leases and of the resources granted with
// them. A lease is a right that expires by itself. Its holder counts the
// duration from the time of the request, its grantor from the time of the
// reply, so that it expires first for the holder.
package lease

import "time"

// Timing of a gateway's lease on its view (contracts and data
// centres).
const (
	// ViewDuration is how long a gateway may act on its view, counted from the time at
	// which it sent the poll that returned the view.
	ViewDuration = 2500 * time.Millisecond
	// PollInterval is the time between two polls of a gateway.
	PollInterval = 700 * time.Millisecond
)

// Lease is a right that expires at a point in time. The zero value has expired.
type Lease struct {
	expiry time.Time
}

// WithExtension returns the lease that was requested at sent and lasts for d. It
// never expires before l.
func (l Lease) WithExtension(sent time.Time, d time.Duration) Lease {
	expiry := sent.Add(d)
	if expiry.Before(l.expiry) {
		return l
	}
	return Lease{
		expiry: expiry,
	}
}

// IsValid reports whether the lease has not expired.
func (l Lease) IsValid(now time.Time) bool {
	return now.Before(l.expiry)
}

// Remaining returns the time until the lease expires, zero if it has expired.
func (l Lease) Remaining(now time.Time) time.Duration {
	return max(0, l.expiry.Sub(now))
}
