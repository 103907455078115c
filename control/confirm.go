package control

import "time"

// StartRoundTimer requests a RoundDue event after a delay.
type StartRoundTimer struct {
	// Delay is the time until the event.
	Delay time.Duration
}

// RoundDue is the event that a StartRoundTimer requested: requests to confirm the
// leadership wait for a round of messages that may begin now.
type RoundDue struct{}

func (StartRoundTimer) effect() {}
func (RoundDue) event()         {}

// startRoundTimer requests a RoundDue event if requests wait for a later round.
func (c Core) startRoundTimer(now time.Time, out []Effect) (Core, []Effect) {
	at, ok := c.replica.RoundDueAt()
	if !ok || c.isRoundTimerRunning {
		return c, out
	}
	c.isRoundTimerRunning = true
	return c, append(out, StartRoundTimer{
		Delay: at.Sub(now),
	})
}
