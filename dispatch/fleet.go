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
	// coming is the room of runs that are being stopped.
	coming pool.ResourceVector
	// holders are the runs that hold the rest.
	holders []holder
	// keptUntil keeps the node for a gang that waits for room; others may use
	// it for tasks that end before. The zero time keeps it for nobody.
	keptUntil time.Time
}

// A holder is a run that holds room on a node.
type holder struct {
	task     workflow.PlacedTask
	priority int
	// endsAt is when it is expected to end; isMeasured is true if its progress
	// says so, and not only its estimate.
	endsAt     time.Time
	isMeasured bool
	// lost is the work, in weighted core-seconds, that a stop throws away.
	lost float64
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
func (s *sweeper) fleets(scene ClusterState) map[string]*fleet {
	x := s.index
	if x.version != scene.Version {
		x = newSceneIndex(scene)
	}
	m := map[string]*fleet{}
	for _, w := range scene.Workers {
		v, ok := s.board.view(w.ID)
		if !ok || !s.isUsable(w, v) {
			continue
		}
		n := &node{
			worker:  w,
			free:    w.Capacity,
			holders: s.holders(x, w, v),
		}
		for _, h := range n.holders {
			n.free = n.free.Minus(h.task.Terms.Each)
			if h.isStopping {
				n.coming = n.coming.Plus(h.task.Terms.Each)
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

// heardWithin is the number of announcements that a worker may miss before it
// gets no new tasks.
const heardWithin = 3

// isUsable reports whether new tasks may go to a worker.
func (s *sweeper) isUsable(w pool.Worker, v view) bool {
	isCurrent := v.worker.Incarnation == w.Incarnation && v.clock.isKnown() && v.goneAt.IsZero()
	isHeard := s.now.Sub(v.heard) < heardWithin*s.board.cfg.AnnounceInterval
	isStaying := !w.Leaving && !v.worker.Leaving && !s.scene.IsOutOfService(w.DataCentre)
	return isCurrent && isHeard && isStaying && !s.now.Before(v.avoidUntil)
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

// holders returns the runs that hold room on a worker in a scene.
func (s *sweeper) holders(x *sceneIndex, w pool.Worker, v view) []holder {
	tasks := x.placed[w.ID]
	if len(tasks) == 0 {
		return nil
	}
	list := make([]holder, len(tasks))
	for i, t := range tasks {
		endsAt, isMeasured := s.expectedEnd(v, t)
		list[i] = holder{
			task:       t,
			priority:   x.flows[t.Workflow].Terms.Priority,
			endsAt:     endsAt,
			isMeasured: isMeasured,
			lost:       s.lostWork(v, t),
			isStopping: v.runs[t.Ref].unwanted != "" || !t.IsWanted,
		}
	}
	return list
}

// overrun is how long a run that has outlived its estimate is expected to go
// on, as a part of the estimate.
const overrun = 4

// measuredPercent is the progress from which on a run's end is taken from it.
const measuredPercent = 30

// expectedEnd returns when a run should end, by its progress if it is known, and
// whether that was measured.
func (s *sweeper) expectedEnd(v view, t workflow.PlacedTask) (end time.Time, isMeasured bool) {
	takes := s.expected(t)
	end = t.At.Add(takes)
	r, listed := v.runs[t.Ref], v.listed[t.Ref]
	if listed.Percent > 0 && !r.accepted.IsZero() {
		elapsed := v.seenAt.Sub(r.accepted)
		end = r.accepted.Add(elapsed * 100 / time.Duration(listed.Percent))
		isMeasured = listed.Percent >= measuredPercent
	}
	if end.Before(s.now) {
		return s.now.Add(takes / overrun), false
	}
	return end, isMeasured
}

// savedWithin is how much work, at most, a run that saves its progress loses
// when it is stopped.
const savedWithin = 500 * time.Millisecond

// restartCost is what a stop costs beyond the work that is thrown away: the
// place has to be found and filled anew. It keeps large gangs that have just
// begun from being stopped over and over.
const restartCost = time.Second

func (s *sweeper) lostWork(v view, t workflow.PlacedTask) float64 {
	since := t.At
	if r, ok := v.runs[t.Ref]; ok && !r.accepted.IsZero() {
		since = r.accepted
	}
	elapsed := max(s.now.Sub(since), 0)
	if t.Terms.Checkpoints {
		elapsed = min(elapsed, savedWithin)
	}
	return (elapsed + restartCost).Seconds() * t.Terms.Each.WeightedCores()
}

// hasHeadroom reports whether enough accelerators stay free for urgent work
// beside a unit: as many as urgent work holds now, since it comes in bursts and
// what it preempts is thrown away. Nothing is held back while half of the pool
// is free and the unit takes less than half of that.
func (f *fleet) hasHeadroom(u unit) bool {
	all, free, urgent := 0, 0, 0
	for _, n := range f.nodes {
		all += n.worker.Capacity.Accelerators
		free += n.free.Accelerators
		for _, h := range n.holders {
			if h.priority == 0 {
				urgent += h.task.Terms.Each.Accelerators
			}
		}
	}
	needed := u.terms.Each.Accelerators * len(u.indexes)
	isQuiet := 2*free > all && 2*needed <= free
	return isQuiet || free-needed >= urgent
}
