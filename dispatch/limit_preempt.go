package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
)

// organisationRuns is the runs of one organisation on the nodes of a placement pass.
type organisationRuns struct {
	// candidates holds the runs that are less urgent than the highest priority and not
	// being stopped, sorted by the work they lose.
	candidates []preemptionCandidate
	// stopping is the use of the runs that are being stopped.
	stopping pool.ResourceVector
	// ends holds the expected ends of all runs, the first one first.
	ends []expectedRelease
}

// An expectedRelease is capacity that is expected to become free at a time.
type expectedRelease struct {
	at  time.Time
	use pool.ResourceVector
}

// runsOf returns the runs of an organisation. Those of all organisations are collected once
// in a pass.
func (p *placer) runsOf(organisation string) *organisationRuns {
	if p.runs == nil {
		p.collectRuns()
	}
	if p.runs[organisation] == nil {
		p.runs[organisation] = &organisationRuns{}
	}
	return p.runs[organisation]
}

func (p *placer) collectRuns() {
	p.runs = map[string]*organisationRuns{}
	p.nodes = map[string]*node{}
	for _, name := range slices.Sorted(maps.Keys(p.fleets)) {
		f := p.fleets[name]
		for _, n := range f.nodes {
			p.nodes[n.worker.ID] = n
			for _, alloc := range n.allocations {
				r := p.runsOf(alloc.organisation)
				use := alloc.task.StepSpec.PerTask
				r.ends = append(r.ends, expectedRelease{
					at:  alloc.endsAt,
					use: use,
				})
				if alloc.isStopping {
					r.stopping = r.stopping.Plus(use)
				}
			}
		}
		candidates := candidatesOf(f, 0)
		for _, k := range candidatesOn(f.nodes, candidates) {
			r := p.runsOf(candidates[k].members[0].organisation)
			r.candidates = append(r.candidates, candidates[k])
		}
	}
	for _, r := range p.runs {
		slices.SortStableFunc(r.candidates, func(a, b preemptionCandidate) int {
			return cmp.Compare(a.loss, b.loss)
		})
		slices.SortStableFunc(r.ends, func(a, b expectedRelease) int {
			return a.at.Compare(b.at)
		})
	}
}

func (c preemptionCandidate) use() (use pool.ResourceVector) {
	for _, alloc := range c.members {
		use = use.Plus(alloc.task.StepSpec.PerTask)
	}
	return use
}

// waitForLimit handles the tasks of a group that do not fit within the limit of its
// organisation. Urgent ones under a guarantee stop less urgent runs of the organisation; a
// gang that cannot do that gets a reservation.
func (p *placer) waitForLimit(f *fleet, g taskGroup) {
	p.wait(g, waitsForLimit)
	if mayPreempt(p.s.dispatcher.cfg.Policy, g) && g.isGuaranteed {
		if n := p.reclaimLimit(f, g); n > 0 {
			p.limits.hold(g, n)
			p.keepCapacity(f, g, n)
			return
		}
	}
	if reservesCapacity(p.s.dispatcher.cfg.Policy) && g.step.IsGang {
		p.reserveLimit(g)
	}
}

// keepCapacity keeps capacity of nodes for urgent tasks that will fit within the limit once
// runs of their organisation have been stopped, so that they need not preempt again.
func (p *placer) keepCapacity(f *fleet, g taskGroup, tasks int) {
	if g.isIsolated || p.unpreemptable[g.requirement()] {
		return
	}
	g.waiting = g.waiting[:tasks]
	p.unpreemptable[g.requirement()] = !p.preempt(f, g)
}

// reclaimLimit stops less urgent runs of the organisation of an urgent task group, those that
// lose the least work, so that as many of its tasks as possible fit within the limit. It
// returns how many will; zero if its limit is not all that holds it up.
func (p *placer) reclaimLimit(f *fleet, g taskGroup) int {
	org := g.wf.Spec.Organisation
	limit, runs := p.limits.limitOf(org), p.runsOf(org)
	used := p.limits.placed[org].Plus(p.limits.held[org]).Minus(runs.stopping)
	least := used
	for _, c := range runs.candidates {
		least = least.Minus(c.use())
	}
	fit := func(used pool.ResourceVector, atLeast, atMost int) int {
		return fitWithin(limit, p.limits.overage, used, g.step.PerTask, atLeast, atMost)
	}
	n := fit(least, g.leastTasks(), len(g.waiting))
	if n == 0 || fit(used, n, n) == n {
		return n
	}
	if !p.canMakeCapacity(f, g, n) {
		return 0
	}
	var chosen []preemptionCandidate
	for _, c := range runs.candidates {
		if fit(used, n, n) == n {
			break
		}
		used = used.Minus(c.use())
		chosen = append(chosen, c)
	}
	// Those that turn out not to be needed go on, the most expensive first.
	var stopped []preemptionCandidate
	for _, c := range slices.Backward(chosen) {
		if without := used.Plus(c.use()); fit(without, n, n) == n {
			used = without
			continue
		}
		stopped = append(stopped, c)
	}
	p.stopForLimit(g, n, stopped)
	return n
}

// canMakeCapacity reports whether nodes have capacity for a number of tasks of an urgent
// group, after preemption if necessary. If not, a stop for the limit would be in vain.
func (p *placer) canMakeCapacity(f *fleet, g taskGroup, tasks int) bool {
	if p.unpreemptable[g.requirement()] {
		return false
	}
	g = g.withTasks(tasks)
	return p.leastLossPreemption(f, g, candidatesOf(f, g.wf.QueueSettings.Priority), nil) != nil
}

// stopForLimit marks runs to be stopped for the limit of their organisation.
func (p *placer) stopForLimit(g taskGroup, tasks int, stopped []preemptionCandidate) {
	org := g.wf.Spec.Organisation
	runs := p.runsOf(org)
	isStopped := map[gangRun]bool{}
	for _, c := range stopped {
		isStopped[gangRunOf(c.members[0].task)] = true
		runs.stopping = runs.stopping.Plus(c.use())
		p.markPreempted(c, g)
		for _, alloc := range c.members {
			n := p.nodes[alloc.task.Worker]
			n.releasing = n.releasing.Plus(alloc.task.StepSpec.PerTask)
			for i := range n.allocations {
				if n.allocations[i].task.RunKey == alloc.task.RunKey {
					n.allocations[i].isStopping = true
				}
			}
		}
	}
	runs.candidates = slices.DeleteFunc(runs.candidates, func(c preemptionCandidate) bool {
		return isStopped[gangRunOf(c.members[0].task)]
	})
	p.s.record(DecisionRecord{
		Text:   "Runs are stopped, since only the organisation's own limit holds up its guaranteed work.",
		RunKey: g.firstRun(),
		Reason: p.limits.describe(org),
		Age:    p.s.now.Sub(g.wf.Submitted),
		Tasks:  tasks,
		Queue:  g.wf.Spec.Queue,
	})
}

// reserveLimit keeps room within the limit for a gang at the time at which enough runs of its
// organisation are expected to have ended, unless another gang has a reservation. Without
// it, smaller work of the organisation would take all that becomes free.
func (p *placer) reserveLimit(g taskGroup) {
	org := g.wf.Spec.Organisation
	if _, isTaken := p.limits.reserved[org]; isTaken || !p.limits.canEverFit(g) {
		return
	}
	limit, n := p.limits.limitOf(org), len(g.waiting)
	used := p.limits.placed[org].Plus(p.limits.held[org])
	for _, e := range p.runsOf(org).ends {
		used = used.Minus(e.use)
		if fitWithin(limit, p.limits.overage, used, g.step.PerTask, n, n) == n {
			p.limits.reserved[org] = limitReservation{
				gang: g,
				use:  g.step.PerTask.Times(n),
				at:   e.at,
			}
			return
		}
	}
}
