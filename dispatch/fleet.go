package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A node is a worker in a plan. Plans change their own nodes only.
type node struct {
	worker pool.Worker
	// free is the room that nothing holds.
	free pool.ResourceVector
	// releasing is the room of runs that are being stopped.
	releasing pool.ResourceVector
	// allocations are the runs that hold the rest.
	allocations []allocation
	// reservedUntil keeps the node for a gang that waits for room; others may use
	// it for tasks that end before. The zero time keeps it for nobody.
	reservedUntil time.Time
}

// A allocation is a run that holds room on a node.
type allocation struct {
	task     workflow.PlacedTask
	priority int
	// endsAt is when it is expected to end; isMeasured is true if its progress
	// says so, and not only its estimate.
	endsAt     time.Time
	isMeasured bool
	// loss is the work, in weighted core-seconds, that a stop throws away.
	loss float64
	// isStopping is true if it is being stopped already.
	isStopping bool
}

// A fleet is the nodes of one pool.
type fleet struct {
	nodes []*node
	racks []*rack
}

// A rack is the nodes of one rack.
type rack struct {
	name  string
	nodes []*node
}

// fleets returns the usable workers by pool.
func (s *scheduler) fleets(state ClusterState) map[string]*fleet {
	x := s.index
	if x.version != state.Version {
		x = newStateIndex(state)
	}
	m := map[string]*fleet{}
	for _, w := range state.Workers {
		v, ok := s.dispatcher.workerView(w.ID)
		if !ok || !s.isSchedulable(w, v) {
			continue
		}
		n := &node{
			worker:      w,
			free:        w.Capacity,
			allocations: s.allocations(x, w, v),
		}
		for _, alloc := range n.allocations {
			n.free = n.free.Minus(alloc.task.Terms.Each)
			if alloc.isStopping {
				n.releasing = n.releasing.Plus(alloc.task.Terms.Each)
			}
		}
		if m[w.Pool] == nil {
			m[w.Pool] = &fleet{}
		}
		m[w.Pool].nodes = append(m[w.Pool].nodes, n)
	}
	for _, f := range m {
		f.racks = racksOf(f.nodes)
	}
	return m
}

// maxMissedAnnouncements is the number of announcements that a worker may miss before it
// gets no new tasks.
const maxMissedAnnouncements = 3

// isSchedulable reports whether new tasks may go to a worker.
func (s *scheduler) isSchedulable(w pool.Worker, v workerView) bool {
	isCurrent := v.worker.Incarnation == w.Incarnation && v.clock.isKnown() && v.supersededAt.IsZero()
	isReachable := s.now.Sub(v.lastContact) < maxMissedAnnouncements*s.dispatcher.cfg.AnnounceInterval
	isStaying := !w.Leaving && !v.worker.Leaving && !s.state.IsOutOfService(w.DataCentre)
	return isCurrent && isReachable && isStaying && !s.now.Before(v.backoffUntil)
}

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

// allocations returns the runs that hold room on a worker in a scene.
func (s *scheduler) allocations(x *stateIndex, w pool.Worker, v workerView) []allocation {
	tasks := x.placedByWorker[w.ID]
	if len(tasks) == 0 {
		return nil
	}
	list := make([]allocation, len(tasks))
	for i, t := range tasks {
		endsAt, isMeasured := s.expectedEnd(v, t)
		list[i] = allocation{
			task:       t,
			priority:   x.workflows[t.Workflow].Terms.Priority,
			endsAt:     endsAt,
			isMeasured: isMeasured,
			loss:       s.lostWork(v, t),
			isStopping: v.runs[t.Ref].pendingStop != "" || !t.IsWanted,
		}
	}
	return list
}

// overrunDivisor is how long a run that has outlived its estimate is expected to go
// on, as a part of the estimate.
const overrunDivisor = 4

// minMeasuredPercent is the progress from which on a run's end is taken from it.
const minMeasuredPercent = 30

// expectedEnd returns when a run should end, by its progress if it is known, and
// whether that was measured.
func (s *scheduler) expectedEnd(v workerView, t workflow.PlacedTask) (end time.Time, isMeasured bool) {
	expected := s.expectedRunTime(t)
	end = t.At.Add(expected)
	r, listed := v.runs[t.Ref], v.listed[t.Ref]
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

// maxUnsavedWork is how much work, at most, a run that saves its progress loses
// when it is stopped.
const maxUnsavedWork = 500 * time.Millisecond

// restartCost is what a stop costs beyond the work that is thrown away: the
// place has to be found and filled anew. It keeps large gangs that have just
// begun from being stopped over and over.
const restartCost = time.Second

func (s *scheduler) lostWork(v workerView, t workflow.PlacedTask) float64 {
	since := t.At
	if r, ok := v.runs[t.Ref]; ok && !r.startedAt.IsZero() {
		since = r.startedAt
	}
	elapsed := max(s.now.Sub(since), 0)
	if t.Terms.Checkpoints {
		elapsed = min(elapsed, maxUnsavedWork)
	}
	return (elapsed + restartCost).Seconds() * t.Terms.Each.WeightedCores()
}

// hasHeadroom reports whether enough accelerators stay free for urgent work
// beside a unit: as many as urgent work holds now, since it comes in bursts and
// what it preempts is thrown away. Nothing is held back while half of the pool
// is free and the unit takes less than half of that.
func (f *fleet) hasHeadroom(u taskGroup) bool {
	all, free, urgent := 0, 0, 0
	for _, n := range f.nodes {
		all += n.worker.Capacity.Accelerators
		free += n.free.Accelerators
		for _, alloc := range n.allocations {
			if alloc.priority == 0 {
				urgent += alloc.task.Terms.Each.Accelerators
			}
		}
	}
	needed := u.step.Each.Accelerators * len(u.waiting)
	isQuiet := 2*free > all && 2*needed <= free
	return isQuiet || free-needed >= urgent
}
