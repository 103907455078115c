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
	// being stopped.
	candidates []limitCandidate
	// stopping is the use of the runs that are being stopped.
	stopping pool.ResourceVector
	// ends holds the expected ends of all runs.
	ends []expectedRelease
}

// A limitCandidate is a preemption candidate with what stopping it leaves to its organisation.
type limitCandidate struct {
	members []nodeAllocation
	loss    float64
	use     pool.ResourceVector
}

// A nodeAllocation is an allocation with its node.
type nodeAllocation struct {
	node       *node
	allocation *allocation
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
	// gangs holds the positions of gangs among the candidates of their organisation.
	gangs := map[gangRun]int{}
	for _, name := range slices.Sorted(maps.Keys(p.fleets)) {
		for _, n := range p.fleets[name].nodes {
			for i := range n.allocations {
				alloc := &n.allocations[i]
				p.runsOf(alloc.organisation).add(nodeAllocation{
					node:       n,
					allocation: alloc,
				}, gangs)
			}
		}
	}
}

// add adds a run. The members of a gang form one candidate.
func (r *organisationRuns) add(m nodeAllocation, gangs map[gangRun]int) {
	alloc := m.allocation
	use := alloc.task.StepSpec.PerTask
	r.ends = append(r.ends, expectedRelease{
		at:  alloc.endsAt,
		use: use,
	})
	switch {
	case alloc.isStopping:
		r.stopping = r.stopping.Plus(use)
		return
	case alloc.priority == 0:
		return
	}
	if alloc.task.StepSpec.IsGang {
		k := gangRunOf(alloc.task)
		if at, known := gangs[k]; known {
			c := &r.candidates[at]
			c.members = append(c.members, m)
			c.loss += alloc.loss
			c.use = c.use.Plus(use)
			return
		}
		gangs[k] = len(r.candidates)
	}
	r.candidates = append(r.candidates, limitCandidate{
		members: []nodeAllocation{m},
		loss:    alloc.loss,
		use:     use,
	})
}

// waitForLimit handles the tasks of a group that do not fit within the limit of its
// organisation. Urgent ones under a guarantee stop less urgent runs of the organisation. A
// gang that cannot do that gets a reservation, and so does a task if none of its group fits.
func (p *placer) waitForLimit(f *fleet, g taskGroup, fitsPartly bool) {
	p.wait(g, waitsForLimit)
	if mayPreempt(p.s.dispatcher.cfg.Policy, g) && g.isGuaranteed {
		if n := p.reclaimLimit(f, g); n > 0 {
			p.limits.hold(g, n)
			p.keepCapacity(f, g, n)
			return
		}
	}
	if reservesCapacity(p.s.dispatcher.cfg.Policy) && !fitsPartly {
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
	if !g.step.IsRackSensitive && g.step.DataRack == "" {
		// The search for a preemption takes a millisecond on a large fleet, and is not
		// needed once enough is being released.
		if list := assignments(f.nodes, g, tasks, p.availableSoon(g)); list != nil {
			p.carryOut(&preemption{
				assignments: list,
			}, g)
			return
		}
	}
	p.unpreemptable[g.requirement()] = !p.preempt(f, g)
}

// availableSoon returns the capacity of nodes that a task group may use once the runs that
// are being stopped have ended.
func (p *placer) availableSoon(g taskGroup) func(n *node) pool.ResourceVector {
	return func(n *node) pool.ResourceVector {
		if !n.tenancy.admits(g) {
			return pool.ResourceVector{}
		}
		return n.free.Plus(n.releasing)
	}
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
		least = least.Minus(c.use)
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
	slices.SortStableFunc(runs.candidates, func(a, b limitCandidate) int {
		return cmp.Compare(a.loss, b.loss)
	})
	var chosen []limitCandidate
	for _, c := range runs.candidates {
		if fit(used, n, n) == n {
			break
		}
		used = used.Minus(c.use)
		chosen = append(chosen, c)
	}
	// Those that turn out not to be needed go on, the most expensive first.
	var stopped []limitCandidate
	for _, c := range slices.Backward(chosen) {
		if without := used.Plus(c.use); fit(without, n, n) == n {
			used = without
			continue
		}
		stopped = append(stopped, c)
	}
	p.stopForLimit(g, n, stopped)
	return n
}

// canMakeCapacity reports whether nodes have capacity for a number of tasks of an urgent
// group if all less urgent runs are stopped. If not, a stop for the limit would be in vain.
func (p *placer) canMakeCapacity(f *fleet, g taskGroup, tasks int) bool {
	if p.unpreemptable[g.requirement()] {
		return false
	}
	for _, n := range f.nodes {
		tasks -= g.fitCount(n, n.free.Plus(n.releasing).Plus(n.preemptable()), tasks)
		if tasks <= 0 {
			return true
		}
	}
	return false
}

// preemptable returns the capacity of the runs that may be stopped for urgent work.
func (n *node) preemptable() (capacity pool.ResourceVector) {
	for _, alloc := range n.allocations {
		if alloc.priority > 0 && !alloc.isStopping {
			capacity = capacity.Plus(alloc.task.StepSpec.PerTask)
		}
	}
	return capacity
}

// stopForLimit marks runs to be stopped for the limit of their organisation.
func (p *placer) stopForLimit(g taskGroup, tasks int, stopped []limitCandidate) {
	org := g.wf.Spec.Organisation
	runs := p.runsOf(org)
	for _, c := range stopped {
		runs.stopping = runs.stopping.Plus(c.use)
		marked := preemptionCandidate{}
		for _, m := range c.members {
			marked.members = append(marked.members, *m.allocation)
			m.node.releasing = m.node.releasing.Plus(m.allocation.task.StepSpec.PerTask)
			m.allocation.isStopping = true
		}
		p.markPreempted(marked, g)
	}
	runs.candidates = slices.DeleteFunc(runs.candidates, func(c limitCandidate) bool {
		return c.members[0].allocation.isStopping
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

// reserveLimit keeps room within the limit for a gang, or one task of another group, at the
// time at which enough runs of its organisation are expected to have ended, unless another
// gang or task has a reservation. Without it, smaller work of the organisation would take all
// that becomes free.
func (p *placer) reserveLimit(g taskGroup) {
	org := g.wf.Spec.Organisation
	isTaken := slices.ContainsFunc(p.limits.reserved[org], func(r limitReservation) bool {
		return r.taskGroup.step.IsGang == g.step.IsGang
	})
	if isTaken || !p.limits.canEverFit(g) {
		return
	}
	limit, n := p.limits.limitOf(org), g.leastTasks()
	used := p.limits.placed[org].Plus(p.limits.held[org])
	ends := p.runsOf(org).ends
	slices.SortStableFunc(ends, func(a, b expectedRelease) int {
		return a.at.Compare(b.at)
	})
	for _, e := range ends {
		used = used.Minus(e.use)
		if fitWithin(limit, p.limits.overage, used, g.step.PerTask, n, n) == n {
			p.limits.reserved[org] = append(p.limits.reserved[org], limitReservation{
				taskGroup: g,
				use:       g.step.PerTask.Times(n),
				at:        e.at,
			})
			return
		}
	}
}
