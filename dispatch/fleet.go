package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/speed"
	"github.com/plantainladder/plantainladder/workflow"
)

// A node is a worker as seen by one placement pass, which changes it as it
// places tasks.
type node struct {
	worker pool.Worker
	// free is the capacity that no run holds and no placement of this pass has
	// taken.
	free pool.ResourceVector
	// excess is by how many accelerators the runs exceed a capacity that has shrunk.
	excess int
	// releasing is the capacity of runs that are being stopped.
	releasing pool.ResourceVector
	// allocations holds the runs that use the rest of the capacity.
	allocations []allocation
	// tenancy is the workflows with runs or new placements here.
	tenancy tenancy
	// hasNewIsolated is true if this pass has placed an isolated suspect here.
	hasNewIsolated bool
	// speed is what is believed about how fast the worker runs tasks.
	speed speed.Belief
	// kinds is the kinds of task here that interfere with any other.
	kinds kindSet
	// reservedUntil is when a gang is expected to start here. Until then the
	// node only takes tasks that are expected to end before. The zero time
	// means no reservation.
	reservedUntil time.Time
}

// An allocation is the capacity that one run uses on a node.
type allocation struct {
	task         workflow.PlacedTask
	organisation string
	priority     int
	// endsAt is when the run is expected to end. isMeasured is true if that
	// follows from the run's progress and not from its estimate alone.
	endsAt     time.Time
	isMeasured bool
	// loss is the work, in weighted core-seconds, that is lost if the run is
	// stopped now.
	loss float64
	// isStopping is true if the run is already being stopped.
	isStopping bool
	// isIsolated is true if the run is that of an isolated suspect.
	isIsolated bool
}

// A fleet is the schedulable nodes of one pool.
type fleet struct {
	nodes []*node
	racks []*rack
	// isMostlyFree is true if more than half of the accelerators were free when the
	// pass began.
	isMostlyFree bool
	// accelerators is how many the nodes have, and urgent how many of them runs of the
	// highest priority held when the pass began.
	accelerators, urgent int
}

// A rack is the schedulable nodes of one rack.
type rack struct {
	name  string
	nodes []*node
}

// fleets returns the schedulable workers as nodes, by pool.
func (s *reconciliation) fleets(state ClusterState, x *stateIndex) map[string]*fleet {
	s.slowestMembers = map[gangRun]float64{}
	nodes := map[string][]*node{}
	for _, w := range state.Workers {
		v, ok := s.dispatcher.workerView(w.ID)
		if !ok || !s.isSchedulable(w, v) {
			continue
		}
		w.Capacity = v.capacity(w)
		n := &node{
			worker:      w,
			free:        w.Capacity,
			allocations: append(s.allocations(x, w, v), s.orphanAllocations(x, v)...),
			tenancy:     tenancyOf(s.now, x, w.ID),
			speed:       s.dispatcher.spreads[w.Pool].Belief(v.speed),
		}
		for _, alloc := range n.allocations {
			n.free = n.free.Minus(alloc.task.StepSpec.PerTask)
			if alloc.isStopping {
				n.releasing = n.releasing.Plus(alloc.task.StepSpec.PerTask)
			}
		}
		for ref := range v.orphans {
			n.tenancy = n.tenancy.withRun(ref.Workflow, false)
		}
		n.excess = max(-n.free.Accelerators, 0)
		n.kinds = s.dispatcher.interference.kindsOf(x, n.allocations)
		nodes[w.Pool] = append(nodes[w.Pool], n)
	}
	m := map[string]*fleet{}
	for name, list := range nodes {
		m[name] = newFleet(list)
	}
	return m
}

// newFleet returns the fleet of a pool when a pass begins.
func newFleet(nodes []*node) *fleet {
	f := &fleet{
		nodes: nodes,
		racks: racksOf(nodes),
	}
	for _, n := range nodes {
		f.accelerators += n.worker.Capacity.Accelerators
		f.urgent += n.urgentAccelerators()
	}
	f.isMostlyFree = 2*f.freeAccelerators() > f.accelerators
	return f
}

// urgentAccelerators returns how many accelerators runs of the highest priority hold.
func (n *node) urgentAccelerators() (urgent int) {
	for _, alloc := range n.allocations {
		if alloc.priority == 0 {
			urgent += alloc.task.StepSpec.PerTask.Accelerators
		}
	}
	return urgent
}

// freeAccelerators returns how many accelerators are free now.
func (f *fleet) freeAccelerators() (free int) {
	for _, n := range f.nodes {
		free += n.free.Accelerators + n.excess
	}
	return free
}

// maxMissedAnnouncements is the number of announcement intervals without an
// announcement after which a worker gets no new tasks, and without contact after
// which it is not probed.
const maxMissedAnnouncements = 3

// hasRecentContact reports whether a worker has sent an announcement or an answer
// recently.
func (s *reconciliation) hasRecentContact(v workerView) bool {
	return s.now.Sub(v.lastContact) < maxMissedAnnouncements*s.dispatcher.cfg.AnnounceInterval
}

// hasRecentAnnouncement reports whether this leader knows the worker's capacity: an
// answer to an order does not state it, and the committed one may have shrunk.
func (s *reconciliation) hasRecentAnnouncement(v workerView) bool {
	return s.now.Sub(v.announcedAt) < maxMissedAnnouncements*s.dispatcher.cfg.AnnounceInterval
}

// isSchedulable reports whether a worker may get new tasks: the announcement
// that is committed is that of the current incarnation, its clock is known, it
// has announced itself recently and answered the last order, it and its data
// centre stay in service, and it is not in backoff.
func (s *reconciliation) isSchedulable(w pool.Worker, v workerView) bool {
	isCurrent := v.worker.Incarnation == w.Incarnation && v.clock.isKnown() && !v.hasEnded
	isReachable := s.hasRecentAnnouncement(v) && v.unanswered == 0
	isStaying := !w.Leaving && !v.worker.Leaving && !s.state.IsOutOfService(w.DataCentre)
	return isCurrent && isReachable && isStaying && !s.now.Before(v.backoffUntil)
}

// racksOf groups nodes by rack, sorted by the rack's name.
func racksOf(nodes []*node) []*rack {
	byName := map[string]*rack{}
	var list []*rack
	for _, n := range nodes {
		name := n.worker.Rack()
		r, ok := byName[name]
		if !ok {
			r = &rack{
				name: name,
			}
			byName[name] = r
			list = append(list, r)
		}
		r.nodes = append(r.nodes, n)
	}
	slices.SortFunc(list, func(a, b *rack) int {
		return cmp.Compare(a.name, b.name)
	})
	return list
}

// allocations returns the runs that use capacity on a worker.
func (s *reconciliation) allocations(x *stateIndex, w pool.Worker, v workerView) []allocation {
	tasks := x.placedByWorker[w.ID]
	if len(tasks) == 0 {
		return nil
	}
	list := make([]allocation, len(tasks))
	for i, t := range tasks {
		endsAt, isMeasured := s.expectedEnd(v, t)
		w := x.workflows[t.Workflow]
		list[i] = allocation{
			task:         t,
			organisation: w.Spec.Organisation,
			priority:     w.QueueSettings.Priority,
			endsAt:       endsAt,
			isMeasured:   isMeasured,
			loss:         s.lostWork(v, t),
			isStopping:   v.runs[t.RunKey].pendingStop != "" || !t.IsNeeded,
			isIsolated:   x.isIsolated(s.now, t),
		}
	}
	return list
}

// overrunDivisor sets how long a run that has exceeded its expected run time is
// expected to go on: the expected run time divided by it.
const overrunDivisor = 4

// minMeasuredPercent is the progress from which on the end that a run's
// progress predicts counts as measured.
const minMeasuredPercent = 30

// expectedEnd returns when a run is expected to end, extrapolated from its
// progress if that is known, and whether the time counts as measured.
func (s *reconciliation) expectedEnd(v workerView, t workflow.PlacedTask) (end time.Time, isMeasured bool) {
	expected := s.expectedRunTime(t)
	end = t.At.Add(expected)
	r, listed := v.runs[t.RunKey], v.listed[t.RunKey]
	if listed.Percent > 0 && !r.startedAt.IsZero() {
		elapsed := v.listingReceivedAt.Sub(r.startedAt)
		end = r.startedAt.Add(elapsed * 100 / time.Duration(listed.Percent))
		isMeasured = listed.Percent >= minMeasuredPercent
	}
	if end.Before(s.now) {
		return s.now.Add(expected / overrunDivisor), false
	}
	return end, isMeasured
}

// maxUnsavedWork is the most work that a stopped run loses if it saves
// checkpoints.
const maxUnsavedWork = 500 * time.Millisecond

// restartCost is added to the work that a stop loses, because the task has to
// be placed and started again. It keeps large gangs that have just started from
// being preempted over and over.
const restartCost = time.Second

// lostWork returns the weighted core-seconds that are lost if a run is stopped
// now.
func (s *reconciliation) lostWork(v workerView, t workflow.PlacedTask) float64 {
	since := t.At
	if r, ok := v.runs[t.RunKey]; ok && !r.startedAt.IsZero() {
		since = r.startedAt
	}
	elapsed := max(s.now.Sub(since), 0)
	if t.StepSpec.Checkpointable {
		elapsed = min(elapsed, maxUnsavedWork)
	}
	return (elapsed + restartCost).Seconds() * t.StepSpec.PerTask.WeightedCores()
}

// withinHeadroom returns g with as many waiting tasks as may be placed so that
// enough accelerators stay free for urgent work: as many as urgent work uses now,
// because urgent work comes in bursts and the runs that it preempts lose their work.
// While more than half of the accelerators are free, g may take half of the free ones
// in any case. A gang, and while less is free any task group, is placed as a whole or
// not at all.
func (f *fleet) withinHeadroom(g taskGroup) taskGroup {
	each := g.step.PerTask.Accelerators
	if each == 0 {
		return g
	}
	free := f.freeAccelerators()
	most := 0
	if 2*free > f.accelerators {
		most = free / 2 / each
	}
	switch {
	case len(g.waiting) <= max(most, (free-f.urgent)/each):
		return g
	case g.step.IsGang:
		most = 0
	}
	g.waiting = g.waiting[:most]
	return g
}

// isStarved reports whether a task group has waited for long without any run of its workflow,
// although there is room for it twice over. It is not held back for urgent work, which may
// never leave the headroom that it wants while it has many long runs.
func (p *placer) isStarved(f *fleet, g taskGroup) bool {
	if p.s.now.Sub(g.since()) < maxReservationWait || slices.ContainsFunc(g.wf.Occurrences, workflow.Occurrence.HasPlacedTask) {
		return false
	}
	needed := 2 * g.leastTasks()
	for _, n := range f.nodes {
		if needed -= g.fitCount(n, p.available(n, g), needed); needed <= 0 {
			return true
		}
	}
	return false
}

// withFirstWaiting returns g with the least of its waiting tasks that may be placed: the first,
// or all of a gang.
func (g taskGroup) withFirstWaiting() taskGroup {
	g.waiting = g.waiting[:g.leastTasks()]
	return g
}
