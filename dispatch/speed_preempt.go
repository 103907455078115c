package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/pool"
)

// speedWaitMargin is how long a gang waits, beyond the time of a stop, for the capacity that
// it has made on faster workers: the commit of the ends.
const speedWaitMargin = 250 * time.Millisecond

// preemptForSpeed makes capacity for an urgent gang on workers that are fast enough, if the
// runs that it stops lose less work than the gang has. It reports whether the gang has to
// wait for them. A gang that has waited for as long as a stop takes stops nothing more, and
// soon takes what is free, since a guarantee has to be met within a fixed time.
func (p *placer) preemptForSpeed(f *fleet, g taskGroup) bool {
	waited, stopDuration := p.s.now.Sub(g.since()), p.s.dispatcher.cfg.MaxStopDuration
	if g.isSuspect || waited >= stopDuration+speedWaitMargin || p.unhastenable[g.requirement()] {
		return false
	}
	choosy := g.withTasks(len(g.waiting))
	choosy.needsSpeed = true
	choosy.neededSpeed = neededSpeed(p.s.now.Add(stopDuration), g.step.DeclaredRunTime, g.stepTarget)
	if choosy.neededSpeed <= 0 {
		return false
	}
	candidates := candidatesOf(f, g.wf.QueueSettings.Priority)
	freedSoon := p.endingSoon(candidates)
	best := p.leastLossPreemption(f, choosy, candidates, freedSoon)
	work := g.step.DeclaredRunTime.Seconds() * g.step.PerTask.WeightedCores() * float64(g.step.Tasks)
	isTooLate := best != nil && len(best.candidates) > 0 && waited >= stopDuration
	if best == nil || best.loss > work || isTooLate || !best.frees(freedSoon) {
		p.unhastenable[g.requirement()] = true
		return false
	}
	p.carryOut(best, g)
	p.wait(g, waitsForPreemption)
	return true
}

// frees reports whether the task group has to wait for the end of runs, and not for nodes
// that it does not use although they are free.
func (e *preemption) frees(freedSoon map[string]pool.ResourceVector) bool {
	for _, a := range e.assignments {
		soon := a.node.releasing.Plus(freedSoon[a.node.worker.ID])
		if !soon.IsZero() {
			return true
		}
	}
	return len(e.candidates) > 0
}
