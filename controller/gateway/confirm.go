package gateway

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainladder/plantainladder/control"
)

// Results of a request to confirm the state, as labels of its counter.
const (
	stateConfirmed = "confirmed"
	stateNotLeader = "not-leader"
	stateNoAnswer  = "no-answer"
)

func confirmationCounter(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("controller_confirmations_total{result=%q}", result))
}

// createConfirmationCounters creates the counter for each label, so that all of them are
// exported from the start.
func createConfirmationCounters() {
	for _, result := range []string{stateConfirmed, stateNotLeader, stateNoAnswer} {
		confirmationCounter(result)
	}
}

// confirmedCore returns the published core once a majority has confirmed that this
// controller still led when the call began. Otherwise ok is false and redirect is the
// address of the leader; it is empty if that is unknown. The lease alone does not show
// that: a machine that was suspended does not count the time.
func (g *Server) confirmedCore(ctx context.Context) (core control.Core, redirect string, ok bool) {
	if core, redirect, ok = g.leaderCore(); !ok {
		return core, redirect, false
	}
	a := g.postAndWait(ctx, func(token uint64) control.Event {
		return control.ConfirmLeadership{
			Token: token,
		}
	})
	switch a := a.(type) {
	case control.LeadershipConfirmed:
		confirmationCounter(stateConfirmed).Inc()
		return g.cfg.Core(), "", true
	case control.NotLeader:
		confirmationCounter(stateNotLeader).Inc()
		g.logger.Info().Str("redirect", a.Redirect).Uint64("term", core.Replica().Hard().Term).Uint64("index", core.State().Index()).
			Msg("A leader that seemed to hold a lease did not lead any more.")
		return core, a.Redirect, false
	case control.Busy, control.OutcomeUnknown, control.Committed, control.Refused, control.PollResult:
	}
	confirmationCounter(stateNoAnswer).Inc()
	return core, "", false
}
