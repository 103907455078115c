package dispatch

import "time"

// A worker's clock may run this much slower than ours, in hundredths. Source:
// the workers' contract.
const minClockRatePercent = 98

// A clock is what is known of a worker's own clock, in milliseconds.
type clock struct {
	// readingMS was read at a time of ours.
	readingMS int64
	readAt    time.Time
	// boundMS and floorAt are the reading that bounds the clock from below.
	boundMS int64
	boundAt time.Time
}

// maxReadingAge is the age from which a reading gives way to any newer one.
const maxReadingAge = 3 * time.Second

// maxReadingDelay is how far a reading may lag behind the estimate before it
// counts as held up on its way.
const maxReadingDelay = 100 * time.Millisecond

// withReading returns c after the worker said what its clock shows. A direct
// reading came in an answer, so it is fresh.
func (c clock) withReading(now time.Time, readingMS int64, direct bool) clock {
	if readingMS == 0 {
		return c
	}
	if c.boundAt.IsZero() || readingMS > c.lowerBound(now) {
		c.boundMS, c.boundAt = readingMS, now
	}
	if c.readAt.IsZero() || direct || now.Sub(c.readAt) > maxReadingAge || readingMS >= c.now(now)-maxReadingDelay.Milliseconds() {
		c.readingMS, c.readAt = readingMS, now
	}
	return c
}

// isKnown reports whether the clock was ever read.
func (c clock) isKnown() bool {
	return !c.readAt.IsZero()
}

// now returns the best estimate of what the clock shows.
func (c clock) now(now time.Time) int64 {
	return c.readingMS + now.Sub(c.readAt).Milliseconds()
}

// lowerBound returns what the clock shows at least.
func (c clock) lowerBound(now time.Time) int64 {
	return c.boundMS + now.Sub(c.boundAt).Milliseconds()*minClockRatePercent/100
}
