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

// A Standstill is the time between two ticks by both clocks. A suspended machine's steady
// clock stands still; that of a stopped process goes on.
type Standstill struct {
	// Steady is the time by the steady clock, TimeOfDay that by the time of day.
	Steady, TimeOfDay time.Duration
}

// isNoteworthy reports whether a controller that runs, with clocks that nobody sets,
// would not have seen these times.
func (s Standstill) isNoteworthy() bool {
	return s.Steady > maxTickGap || (s.TimeOfDay-s.Steady).Abs() > maxClockDrift
}

// pulse is the time of a controller's last tick by both clocks.
type pulse struct {
	now       time.Time
	timeOfDay time.Time
}

// since returns the time from p to a later moment.
func (p pulse) since(now, timeOfDay time.Time) Standstill {
	return Standstill{
		Steady:    now.Sub(p.now),
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
		now:       now,
		timeOfDay: e.TimeOfDay,
	}
	s := last.since(now, e.TimeOfDay)
	if last.now.IsZero() || !s.isNoteworthy() {
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
