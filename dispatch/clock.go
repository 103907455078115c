package dispatch

import "time"

// A worker's clock may run this much slower than ours, in hundredths. Source:
// the workers' contract.
const slowestClockPercent = 98

// A clock is what is known of a worker's own clock, in milliseconds.
type clock struct {
	// ms was read at a time of ours.
	ms int64
	at time.Time
	// floorMS and floorAt are the reading that bounds the clock from below.
	floorMS int64
	floorAt time.Time
}

// staleReading is the age from which a reading gives way to any newer one.
const staleReading = 3 * time.Second

// delayedReading is how far a reading may lag behind the estimate before it
// counts as held up on its way.
const delayedReading = 100 * time.Millisecond

// withReading returns c after the worker said what its clock shows. A direct
// reading came in an answer, so it is fresh.
func (c clock) withReading(now time.Time, ms int64, direct bool) clock {
	if ms == 0 {
		return c
	}
	if c.floorAt.IsZero() || ms > c.floor(now) {
		c.floorMS, c.floorAt = ms, now
	}
	if c.at.IsZero() || direct || now.Sub(c.at) > staleReading || ms >= c.now(now)-delayedReading.Milliseconds() {
		c.ms, c.at = ms, now
	}
	return c
}

// isKnown reports whether the clock was ever read.
func (c clock) isKnown() bool {
	return !c.at.IsZero()
}

// now returns the best estimate of what the clock shows.
func (c clock) now(now time.Time) int64 {
	return c.ms + now.Sub(c.at).Milliseconds()
}

// floor returns what the clock shows at least.
func (c clock) floor(now time.Time) int64 {
	return c.floorMS + now.Sub(c.floorAt).Milliseconds()*slowestClockPercent/100
}
