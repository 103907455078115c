package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/util"
)

// A preemptionCandidate is a set of runs that have to be stopped together: the
// members of a gang, or a single task.
type preemptionCandidate struct {
	members []allocation
	loss    float64
	// endsAt is when all members are expected to have ended by themselves.
	endsAt time.Time
	// isMeasured is true if the expected ends of all members are measured.
	isMeasured bool
	// isProtected is true if the candidate must not be stopped, because it is
	// at least as urgent as the task group that needs capacity or is about to
	// end.
	isProtected bool
}

// preempt makes capacity for an urgent task group by stopping less urgent runs,
// and takes the capacity out of this pass for the task group. It chooses the
// runs that lose the least work. It reports false if no preemption can free
// enough capacity.
func (p *placer) preempt(f *fleet, g taskGroup) bool {
	g = g.withTasks(len(g.waiting))
	candidates := candidatesOf(f, g.wf.QueueSettings.Priority)
	freedSoon := map[string]pool.ResourceVector{}
	if p.s.now.Sub(g.wf.Submitted) < p.s.dispatcher.cfg.MaxStopDuration {
		// A task group that has waited longer does not rely on the progress of
		// other runs, because a guarantee has to be met within a fixed time.
		freedSoon = p.endingSoon(candidates)
	}
	best := p.leastLossPreemption(f, g, candidates, freedSoon)
	if best == nil {
		return false
	}
	p.carryOut(best, g)
	return true
}

// carryOut marks the runs of a preemption to be stopped, and takes the capacity out of this
// pass for the task group.
func (p *placer) carryOut(e *preemption, g taskGroup) {
	for _, s := range e.assignments {
		s.node.free = s.node.free.Minus(g.step.PerTask.Times(s.tasks))
	}
	for _, c := range e.candidates {
		p.markPreempted(c, g)
	}
}

// leastLossPreemption returns the preemption that loses the least work, nil if there
// is none. For a task group that is rack-sensitive or has a data rack it prefers preemptions within
// one rack; if it needs fast workers, across racks they would not make it faster.
func (p *placer) leastLossPreemption(f *fleet, g taskGroup, candidates map[gangRun]preemptionCandidate, freedSoon map[string]pool.ResourceVector) (best *preemption) {
	isRackBound := g.step.IsRackSensitive || g.step.DataRack != ""
	if isRackBound {
		for _, r := range f.racks {
			if g.step.DataRack != "" && r.name != g.step.DataRack {
				continue
			}
			if e := p.findPreemption(r.nodes, g, candidates, freedSoon); e != nil && (best == nil || e.loss < best.loss) {
				best = e
			}
		}
	}
	if best == nil && (!isRackBound || !g.needsSpeed) {
		best = p.findPreemption(f.nodes, g, candidates, freedSoon)
	}
	return best
}

// canPreemptRack reports whether preemption can free a rack for a task group.
func (p *placer) canPreemptRack(f *fleet, g taskGroup) bool {
	candidates := candidatesOf(f, g.wf.QueueSettings.Priority)
	return slices.ContainsFunc(f.racks, func(r *rack) bool {
		isUsable := g.step.DataRack == "" || r.name == g.step.DataRack
		return isUsable && p.findPreemption(r.nodes, g, candidates, nil) != nil
	})
}

// markPreempted marks the runs of a candidate to be stopped.
func (p *placer) markPreempted(c preemptionCandidate, g taskGroup) {
	for _, alloc := range c.members {
		v, ok := p.s.dispatcher.workerView(alloc.task.Worker)
		if !ok {
			continue
		}
		r := v.runs[alloc.task.RunKey]
		r.pendingStop = reasonPreempted
		p.s.dispatcher = p.s.dispatcher.withView(v.withRun(alloc.task.RunKey, r))
		p.s.dispatcher.isDirty = true
		p.s.record(DecisionRecord{
			Text:   "Run was preempted for workflow " + g.wf.Spec.ID + ".",
			RunKey: alloc.task.RunKey,
			Worker: alloc.task.Worker,
			Reason: string(reasonPreempted),
		})
	}
}

// candidatesOf returns the runs of a fleet that are not being stopped yet,
// grouped into candidates. Those at least as urgent as priority are protected.
func candidatesOf(f *fleet, priority int) map[gangRun]preemptionCandidate {
	m := map[gangRun]preemptionCandidate{}
	for _, n := range f.nodes {
		for _, alloc := range n.allocations {
			if alloc.isStopping {
				continue
			}
			k := gangRunOf(alloc.task)
			c, known := m[k]
			c.members = append(c.members, alloc)
			c.loss += alloc.loss
			c.isMeasured = alloc.isMeasured && (c.isMeasured || !known)
			c.endsAt = util.Later(c.endsAt, alloc.endsAt)
			c.isProtected = alloc.priority <= priority
			m[k] = c
		}
	}
	return m
}

// endingSoon protects the candidates that are expected to end by themselves
// before a stop would free any capacity, and returns the capacity that they
// will free, by worker ID.
func (p *placer) endingSoon(candidates map[gangRun]preemptionCandidate) map[string]pool.ResourceVector {
	stopEnd := p.s.now.Add(p.s.dispatcher.cfg.MaxStopDuration)
	freed := map[string]pool.ResourceVector{}
	for k, c := range candidates {
		if !c.isMeasured || c.endsAt.After(stopEnd) {
			continue
		}
		for _, alloc := range c.members {
			freed[alloc.task.Worker] = freed[alloc.task.Worker].Plus(alloc.task.StepSpec.PerTask)
		}
		c.isProtected = true
		candidates[k] = c
	}
	return freed
}

// A preemption is a set of candidates whose stop makes a task group fit, and the
// assignments of the task group after that.
type preemption struct {
	assignments []assignment
	candidates  []preemptionCandidate
	loss        float64
}

// A preemptionSearch is the working state of the search for one preemption. It
// tracks the free capacity of each node, and how many of the task group's tasks
// fit there, with the chosen candidates stopped.
type preemptionSearch struct {
	taskGroup taskGroup
	nodes     map[string]*node
	available map[string]pool.ResourceVector
	fitCounts map[string]int
	total     int
	// stopped holds the chosen candidates.
	stopped map[gangRun]bool
}

func newPreemptionSearch(nodes []*node, g taskGroup, freedSoon map[string]pool.ResourceVector) *preemptionSearch {
	e := &preemptionSearch{
		taskGroup: g,
		nodes:     make(map[string]*node, len(nodes)),
		available: make(map[string]pool.ResourceVector, len(nodes)),
		fitCounts: make(map[string]int, len(nodes)),
		stopped:   map[gangRun]bool{},
	}
	for _, n := range nodes {
		e.nodes[n.worker.ID] = n
		e.setAvailable(n, n.free.Plus(n.releasing).Plus(freedSoon[n.worker.ID]))
	}
	return e
}

func (e *preemptionSearch) setAvailable(n *node, available pool.ResourceVector) {
	id := n.worker.ID
	e.available[id] = available
	e.total -= e.fitCounts[id]
	e.fitCounts[id] = e.taskGroup.fitCount(n, e.usable(n), e.taskGroup.step.Tasks)
	e.total += e.fitCounts[id]
}

// usable returns the capacity of a node that is available to the task group: none
// while an isolated suspect of another workflow stays there.
func (e *preemptionSearch) usable(n *node) pool.ResourceVector {
	if !n.tenancy.isIsolated || n.tenancy.isOwnedBy(e.taskGroup) {
		return e.available[n.worker.ID]
	}
	for _, alloc := range n.allocations {
		if alloc.isIsolated && !alloc.isStopping && !e.stopped[gangRunOf(alloc.task)] {
			return pool.ResourceVector{}
		}
	}
	if n.hasNewIsolated {
		return pool.ResourceVector{}
	}
	return e.available[n.worker.ID]
}

// adjust adds the capacity of a candidate to the free capacity if sign is 1,
// and takes it away again if sign is -1.
func (e *preemptionSearch) adjust(c preemptionCandidate, sign int) {
	e.stopped[gangRunOf(c.members[0].task)] = sign > 0
	for _, alloc := range c.members {
		if n, ok := e.nodes[alloc.task.Worker]; ok {
			e.setAvailable(n, e.available[n.worker.ID].Plus(alloc.task.StepSpec.PerTask.Times(sign)))
		}
	}
}

func (e *preemptionSearch) hasCapacity() bool {
	return e.total >= e.taskGroup.step.Tasks
}

// findPreemption chooses candidates so that a task group fits on nodes, and
// returns nil if it never does. It takes candidates in the order of the work
// they lose until the task group fits, then drops those that turn out not to be
// needed, the most expensive first.
func (p *placer) findPreemption(nodes []*node, g taskGroup, candidates map[gangRun]preemptionCandidate, freedSoon map[string]pool.ResourceVector) *preemption {
	e := newPreemptionSearch(nodes, g, freedSoon)
	var chosen []gangRun
	for _, k := range candidatesOn(nodes, candidates) {
		if e.hasCapacity() {
			break
		}
		chosen = append(chosen, k)
		e.adjust(candidates[k], 1)
	}
	if !e.hasCapacity() {
		return nil
	}
	found := &preemption{}
	for _, k := range slices.Backward(chosen) {
		e.adjust(candidates[k], -1)
		if e.hasCapacity() {
			continue
		}
		e.adjust(candidates[k], 1)
		found.candidates = append(found.candidates, candidates[k])
		found.loss += candidates[k].loss
	}
	found.assignments = assignments(nodes, g, g.step.Tasks, e.usable)
	return found
}

// candidatesOn returns the unprotected candidates with members on nodes, sorted
// by the work they lose.
func candidatesOn(nodes []*node, candidates map[gangRun]preemptionCandidate) (order []gangRun) {
	seen := map[gangRun]bool{}
	for _, n := range nodes {
		for _, alloc := range n.allocations {
			k := gangRunOf(alloc.task)
			c, ok := candidates[k]
			if ok && !c.isProtected && !seen[k] {
				seen[k] = true
				order = append(order, k)
			}
		}
	}
	slices.SortStableFunc(order, func(a, b gangRun) int {
		return cmp.Compare(candidates[a].loss, candidates[b].loss)
	})
	return order
}
