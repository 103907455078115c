package dispatch

import "github.com/plantainladder/plantainladder/pool"

// A groupOrder yields the task groups of a placement pass in the order in which they are
// tried. Where no organisation has a weight that is the order of the policy. Otherwise, among
// those of one priority that are not under a guarantee, the pool of the first group in the
// order of the policy is next, and in it the organisation that uses the smallest part of its
// share, also counting what this pass has placed.
type groupOrder struct {
	groups []taskGroup
	// next is the index of the first group that neither was yielded nor is in queues.
	next int
	// weights holds the weights of the organisations with waiting work; nil if none has one.
	weights map[string]float64
	// queues holds the groups of the priority that is tried.
	queues []organisationQueue
	// last is the organisation whose group was yielded last from queues; its use may have
	// changed since.
	last string
}

// An organisationQueue is the groups of one organisation in one pool by index, in the order of
// the policy.
type organisationQueue struct {
	organisation string
	pool         string
	indexes      []int
	// share is what the organisation uses, divided by its weight.
	share float64
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
		for i := range o.queues {
			o.updateShare(&o.queues[i], use)
		}
	} else {
		for i := range o.queues {
			if q := &o.queues[i]; q.organisation == o.last {
				o.updateShare(q, use)
			}
		}
	}
	best := o.nextQueue()
	q := &o.queues[best]
	g, o.last = o.groups[q.indexes[0]], q.organisation
	if q.indexes = q.indexes[1:]; len(q.indexes) == 0 {
		o.queues = append(o.queues[:best], o.queues[best+1:]...)
	}
	return g, true
}

func (o *groupOrder) updateShare(q *organisationQueue, use func(g taskGroup) float64) {
	q.share = use(o.groups[q.indexes[0]]) / o.weights[q.organisation]
}

// nextQueue returns the index of the queue with the smallest share in the pool of the first
// group. Shares in different pools are not compared, since their units may differ.
func (o *groupOrder) nextQueue() int {
	best := 0
	for i := range o.queues {
		if o.queues[i].indexes[0] < o.queues[best].indexes[0] {
			best = i
		}
	}
	first := &o.queues[best]
	for i := range o.queues {
		q, least := &o.queues[i], &o.queues[best]
		isEarlier := q.share == least.share && q.indexes[0] < least.indexes[0]
		if (q.share < least.share || isEarlier) && q.pool == first.pool {
			best = i
		}
	}
	return best
}

// fillQueues sorts the groups of the next priority that are not under a guarantee by
// organisation and pool.
func (o *groupOrder) fillQueues() {
	type queueKey struct {
		organisation, pool string
	}
	positions := map[queueKey]int{}
	first := o.groups[o.next]
	for ; o.next < len(o.groups); o.next++ {
		g := o.groups[o.next]
		if g.isGuaranteed || g.wf.QueueSettings.Priority != first.wf.QueueSettings.Priority {
			return
		}
		k := queueKey{
			organisation: g.wf.Spec.Organisation,
			pool:         g.wf.QueueSettings.Pool,
		}
		at, ok := positions[k]
		if !ok {
			at = len(o.queues)
			positions[k] = at
			o.queues = append(o.queues, organisationQueue{
				organisation: k.organisation,
				pool:         k.pool,
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
