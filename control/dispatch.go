package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/interference"
)

// ObservationReceived delivers what the dispatcher observes: an announcement or
// an answer of a pool worker, or a reading of the platform's inventory.
type ObservationReceived struct {
	// Observation is the announcement, the answer or the reading.
	Observation dispatch.Observation
}

func (ObservationReceived) event() {}

// SendOrder sends an order to a pool worker. The answer comes back as
// ObservationReceived.
type SendOrder struct {
	// Order is the order and its receiver.
	Order dispatch.Order
}

// ReadInventory reads the platform's inventory of machines. The result comes back
// as ObservationReceived.
type ReadInventory struct{}

// LogDecision writes a decision about a workflow or a run to the process log.
type LogDecision struct {
	// Record is the decision with its reason.
	Record dispatch.DecisionRecord
	// Commit tells how the round of the decision was committed; zero for a decision
	// that belongs to no round.
	Commit RoundCommit
}

// StartTimer requests a TimerFired event after a delay.
type StartTimer struct {
	// Delay is the time until the event.
	Delay time.Duration
}

// TimerFired is the event that a StartTimer requested.
type TimerFired struct{}

func (TimerFired) event() {}

func (SendOrder) effect()     {}
func (ReadInventory) effect() {}
func (LogDecision) effect()   {}
func (StartTimer) effect()    {}

// minDispatchInterval is the least time between two dispatch passes of a busy
// leader. Events within one interval are handled together.
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

// runDispatch runs a dispatch pass over all workflows after a tick or if the
// dispatcher has changed. It requires the leader lease, since a leader that may
// have been replaced must not renew the leases of workers.
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
	if plan.ReadsInventory {
		out = append(out, ReadInventory{})
	}
	for _, n := range plan.DecisionRecords {
		out = append(out, LogDecision{
			Record: n,
		})
	}
	if plan.Round == nil {
		return c, out
	}
	c, more := c.proposeRound(now, *plan.Round, plan.RoundRecords)
	return c, append(out, more...)
}

// Interference returns the slow-downs between kinds of task that this leader knows, sorted by
// pair; none on other controllers.
func (c Core) Interference() []interference.Effect {
	if c.leadership == nil {
		return nil
	}
	return c.leadership.dispatcher.Interference()
}

// UnevenPools returns what dispatch.Dispatcher's UnevenPools does; nothing if this controller
// does not lead.
func (c Core) UnevenPools() (pools, workers int) {
	if c.leadership == nil {
		return 0, 0
	}
	return c.leadership.dispatcher.UnevenPools()
}
