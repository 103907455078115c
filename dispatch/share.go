package dispatch

import "github.com/plantainladder/plantainladder/pool"

// A groupOrder yields the task groups of a placement pass in the order in which they are
// tried. Where no organisation has a weight that is the order of the policy. Otherwise, among
// those of one priority that are not under a guarantee, the organisation that uses the
// smallest part of its share is next, also counting what this pass has placed.
type groupOrder struct {
	groups []taskGroup
	// next is the index of the first group that neither was yielded nor is in queues.
	next int
	// weights holds the weights of the organisations with waiting work; nil if none has one.
	weights map[string]float64
	// queues holds the groups of the priority that is tried.
	queues []organisationQueue
}

// An organisationQueue is the groups of one organisation by index, in the order of the policy.
type organisationQueue struct {
	organisation string
	indexes      []int
}

func newGroupOrder(groups []taskGroup, p Policy, weightOf func(organisation string) float64) *groupOrder {
	o := &groupOrder{
		groups: groups,
	}
	if ordersByShare(p) {
		o.weights = weightsOf(groups, weightOf)
	}
	return o
}

// weightsOf returns the weights of the organisations of task groups; nil if none has one. An
// organisation without a weight counts with the smallest of the others, whatever their scale.
func weightsOf(groups []taskGroup, weightOf func(organisation string) float64) map[string]float64 {
	weights := map[string]float64{}
	smallest := 0.0
	for _, g := range groups {
		org := g.wf.Spec.Organisation
		if _, ok := weights[org]; ok {
			continue
		}
		w := weightOf(org)
		weights[org] = w
		if w > 0 && (smallest == 0 || w < smallest) {
			smallest = w
		}
	}
	if smallest == 0 {
		return nil
	}
	for org, w := range weights {
		if w == 0 {
			weights[org] = smallest
		}
	}
	return weights
}

// pop returns the next task group, and false after the last one. The function use returns how
// much the organisation of a task group uses.
func (o *groupOrder) pop(use func(g taskGroup) float64) (g taskGroup, ok bool) {
	if len(o.queues) == 0 {
		if o.next == len(o.groups) {
			return g, false
		}
		if o.weights == nil || o.groups[o.next].isGuaranteed {
			o.next++
			return o.groups[o.next-1], true
		}
		o.fillQueues()
	}
	best, least := 0, 0.0
	for i, q := range o.queues {
		share := use(o.groups[q.indexes[0]]) / o.weights[q.organisation]
		isEarlier := share == least && q.indexes[0] < o.queues[best].indexes[0]
		if i == 0 || share < least || isEarlier {
			best, least = i, share
		}
	}
	q := &o.queues[best]
	g = o.groups[q.indexes[0]]
	if q.indexes = q.indexes[1:]; len(q.indexes) == 0 {
		o.queues = append(o.queues[:best], o.queues[best+1:]...)
	}
	return g, true
}

// fillQueues sorts the groups of the next priority that are not under a guarantee by
// organisation.
func (o *groupOrder) fillQueues() {
	positions := map[string]int{}
	first := o.groups[o.next]
	for ; o.next < len(o.groups); o.next++ {
		g := o.groups[o.next]
		if g.isGuaranteed || g.wf.QueueSettings.Priority != first.wf.QueueSettings.Priority {
			return
		}
		org := g.wf.Spec.Organisation
		at, ok := positions[org]
		if !ok {
			at = len(o.queues)
			positions[org] = at
			o.queues = append(o.queues, organisationQueue{
				organisation: org,
			})
		}
		o.queues[at].indexes = append(o.queues[at].indexes, o.next)
	}
}

// useInShare returns what counts for the share of the organisation of a task group: the
// accelerators that it uses, or the cores if the pool of the task group has none.
func (p *placer) useInShare(g taskGroup) float64 {
	used := p.limits.placed[g.wf.Spec.Organisation]
	if f := p.fleets[g.wf.QueueSettings.Pool]; f == nil || f.accelerators > 0 {
		return float64(used.Accelerators)
	}
	return pool.ResourceVector{
		MilliCores: used.MilliCores,
	}.WeightedCores()
}
