package dispatch

import "time"

// minClockRatePercent is the lowest rate of a worker's clock, in percent of the
// leader's. Source: the platform's protocol (docs/PLATFORM.md).
const minClockRatePercent = 98

// A clock estimates a worker's own clock, in milliseconds, from the readings in
// its messages.
type clock struct {
	// readingMS is the reading that the estimate is based on, received at
	// readAt on the leader's clock.
	readingMS int64
	readAt    time.Time
	// boundMS and boundAt are the reading that the lower bound is based on.
	boundMS int64
	boundAt time.Time
	// isConfirmed is true once there was a direct reading. Any other may have been
	// delayed for long.
	isConfirmed bool
}

// maxReadingAge is the age from which a reading is replaced by any newer one.
const maxReadingAge = 3 * time.Second

// maxReadingDelay is how far a new reading may lag behind the estimate before
// it counts as delayed in transit and is ignored.
const maxReadingDelay = 100 * time.Millisecond

// withReading returns c after a message with a reading of the worker's clock;
// readingMS is zero if it had none. A direct reading came in the answer to an order,
// so it is recent and always accepted.
func (c clock) withReading(now time.Time, readingMS int64, direct bool) clock {
	if readingMS == 0 {
		return c
	}
	c.isConfirmed = c.isConfirmed || direct
	if c.boundAt.IsZero() || readingMS > c.lowerBound(now) {
		c.boundMS, c.boundAt = readingMS, now
	}
	if c.readAt.IsZero() || direct || now.Sub(c.readAt) > maxReadingAge || readingMS >= c.now(now)-maxReadingDelay.Milliseconds() {
		c.readingMS, c.readAt = readingMS, now
	}
	return c
}

// isKnown reports whether there has been any reading.
func (c clock) isKnown() bool {
	return !c.readAt.IsZero()
}

// now returns the best estimate of the worker's clock in milliseconds.
func (c clock) now(now time.Time) int64 {
	return c.readingMS + now.Sub(c.readAt).Milliseconds()
}

// lowerBound returns the earliest time, in milliseconds, that the worker's
// clock can show, given the lowest rate at which it may run.
func (c clock) lowerBound(now time.Time) int64 {
	return c.boundMS + now.Sub(c.boundAt).Milliseconds()*minClockRatePercent/100
}
