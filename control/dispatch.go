package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/dispatch"
)

// Observe brings what was learned of a pool's worker.
type ObservationReceived struct {
	// Observation is what was learned.
	Observation dispatch.Observation
}

func (ObservationReceived) event() {}

// SendOrder sends an order to a pool's worker. The answer comes as an Observe.
type SendOrder struct {
	// Order is the order.
	Order dispatch.Order
}

// Explain tells the log of the process what was decided about a run.
type LogDecision struct {
	// Note is the decision.
	Note dispatch.Note
}

// WakeAfter asks for a Woken event.
type StartTimer struct {
	// Delay is how long to wait.
	Delay time.Duration
}

// Woken follows a WakeAfter.
type TimerFired struct{}

func (TimerFired) event() {}

func (SendOrder) effect()   {}
func (LogDecision) effect() {}
func (StartTimer) effect()  {}

// boardEvery bounds the sweeps of a busy leader: what happens within it is
// decided together.
const minDispatchInterval = 8 * time.Millisecond

func (c Core) stepObservation(now time.Time, e ObservationReceived) Core {
	if c.leadership == nil {
		return c
	}
	l := *c.leadership
	l.dispatcher = l.dispatcher.With(now, e.Observation)
	c.leadership = &l
	return c
}

func (c Core) stepTimerFired() Core {
	if c.leadership == nil {
		return c
	}
	l := *c.leadership
	l.isTimerRunning = false
	c.leadership = &l
	return c
}

// runDispatch decides on workflows, if something happened or time has passed.
// Only a leader with a lease does: a leader that may have been deposed must not
// renew the leases of workers.
func (c Core) runDispatch(now time.Time, e Event, out []Effect) (Core, []Effect) {
	if c.leadership == nil || !c.cfg.Dispatch.IsEnabled() || !c.HasLease(now) {
		return c, out
	}
	if _, isTick := e.(Tick); !isTick && !c.leadership.dispatcher.IsDirty() {
		return c, out
	}
	l := *c.leadership
	if now.Sub(l.lastDispatch) < minDispatchInterval {
		if !l.isTimerRunning {
			l.isTimerRunning = true
			out = append(out, StartTimer{
				Delay: minDispatchInterval,
			})
		}
		c.leadership = &l
		return c, out
	}
	l.lastDispatch = now
	dispatcher, plan := l.dispatcher.Reconcile(now, dispatch.NewClusterState(c.state), func(r plantainladder.Round) dispatch.ClusterState {
		return dispatch.NewClusterState(c.state.WithRound(now, r))
	})
	l.dispatcher = dispatcher
	c.leadership = &l
	for _, o := range plan.Orders {
		out = append(out, SendOrder{
			Order: o,
		})
	}
	for _, n := range plan.Notes {
		out = append(out, LogDecision{
			Note: n,
		})
	}
	if plan.Round == nil {
		return c, out
	}
	c, more := c.propose(now, *plan.Round)
	return c, append(out, more...)
}
