package control

import (
	"time"
)

const (
	// maxTickGap is the longest time between two ticks of a controller that runs.
	maxTickGap = time.Second
	// maxClockDrift is how far the time of day and the steady clock may move apart
	// between two ticks of a controller that runs.
	maxClockDrift = 200 * time.Millisecond
)

// LogStandstill logs that the controller has not run for some time or that a clock was
// set.
type LogStandstill struct {
	// Standstill is what the clocks show.
	Standstill
	// IsLeader is true if the controller leads or believes that it does.
	IsLeader bool
}

func (LogStandstill) effect() {}

// A Standstill is the time between two ticks by both clocks, which were read when the ticks
// were queued: an event loop that is late does not count. A suspended machine's steady clock
// stands still; that of a stopped process goes on.
type Standstill struct {
	// Steady is the time by the steady clock, TimeOfDay that by the time of day.
	Steady, TimeOfDay time.Duration
}

// isNoteworthy reports whether a controller that runs, with clocks that nobody sets,
// would not have seen these times.
func (s Standstill) isNoteworthy() bool {
	return s.Steady > maxTickGap || (s.TimeOfDay-s.Steady).Abs() > maxClockDrift
}

// isLong reports whether requests may have waited for longer than their senders did.
func (s Standstill) isLong() bool {
	return max(s.Steady, s.TimeOfDay) > maxTickGap
}

// pulse is the time of a controller's last tick by both clocks.
type pulse struct {
	queuedAt  time.Time
	timeOfDay time.Time
	// resumedAt is when the controller last ran again after a long standstill; zero if
	// it never stood still.
	resumedAt time.Time
}

// since returns the time from p to a later moment.
func (p pulse) since(now, timeOfDay time.Time) Standstill {
	return Standstill{
		Steady:    now.Sub(p.queuedAt),
		TimeOfDay: timeOfDay.Sub(p.timeOfDay),
	}
}

// logStandstill records a tick, and logs the time since the last one if the controller
// stood still or a clock was set. Ticks without a time of day are not judged.
func (c Core) logStandstill(now time.Time, e Tick) (Core, []Effect) {
	if e.TimeOfDay.IsZero() {
		return c, nil
	}
	last := c.lastPulse
	c.lastPulse = pulse{
		queuedAt:  e.QueuedAt,
		timeOfDay: e.TimeOfDay,
		resumedAt: last.resumedAt,
	}
	s := last.since(e.QueuedAt, e.TimeOfDay)
	if !last.queuedAt.IsZero() && s.isLong() {
		c.lastPulse.resumedAt = now
	}
	if last.queuedAt.IsZero() || !s.isNoteworthy() {
		return c, nil
	}
	return c, []Effect{
		LogStandstill{
			Standstill: s,
			IsLeader:   c.replica.IsLeader(),
		},
		IncrementCounter{
			Name:  CounterStandstills,
			Label: s.label(),
		},
	}
}

// lateRequestsTimeout is how long after a standstill a controller may still read requests
// that were sent during it.
const lateRequestsTimeout = time.Second

// MayReadLateRequests reports whether a request that is read now may have been sent long
// before, since the controller stood still meanwhile. Its sender may have turned to
// another controller, and have changed its mind since.
func (c Core) MayReadLateRequests(now, timeOfDay time.Time) bool {
	if c.lastPulse.queuedAt.IsZero() {
		return false
	}
	resumedAt := c.lastPulse.resumedAt
	hasResumed := !resumedAt.IsZero() && now.Sub(resumedAt) < lateRequestsTimeout
	return hasResumed || c.lastPulse.since(now, timeOfDay).isLong()
}

// Labels of CounterStandstills.
const (
	// LabelStopped means that the controller did not run for some time.
	LabelStopped = "stopped"
	// LabelSuspended means that the steady clock stood still, or that the time of day
	// was set ahead; the two cannot be told apart.
	LabelSuspended = "suspended"
	// LabelSetBack means that the time of day was set back.
	LabelSetBack = "set-back"
)

func (s Standstill) label() string {
	switch {
	case s.TimeOfDay-s.Steady > maxClockDrift:
		return LabelSuspended
	case s.Steady-s.TimeOfDay > maxClockDrift:
		return LabelSetBack
	}
	return LabelStopped
}
