package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A group is the runs that end together if one of them is stopped: a gang's
// members, or a single task.
type group struct {
	members []holder
	lost    float64
	// endsAt is when all members are expected to have ended by themselves.
	endsAt time.Time
	// isMeasured is true if the progress of all members says so.
	isMeasured bool
	// isSpared is true if the group must not be stopped: it is as urgent as what
	// needs room, or about to end.
	isSpared bool
}

type groupKey struct {
	key workflow.Key
	run int
}

// preempt makes room for urgent tasks: it stops less urgent runs, those first that
// lose the least work, and keeps the room for the urgent tasks in this plan. It
// reports false if no stop could make room.
func (p *planner) preempt(f *fleet, u unit) bool {
	u = u.withTasks(len(u.indexes))
	groups := groupsOf(f, u.flow.Terms.Priority)
	ending := map[string]pool.ResourceVector{}
	if p.s.now.Sub(u.flow.Submitted) < p.s.board.cfg.MaxStopDuration {
		// Whoever has waited for longer counts on nobody's progress: a
		// guarantee has to be met in a fixed time.
		ending = p.endingSoon(groups)
	}
	best := p.cheapest(f, u, groups, ending)
	if best == nil {
		return false
	}
	for _, s := range best.seats {
		s.node.free = s.node.free.Minus(u.terms.Each.Times(s.tasks))
	}
	for _, g := range best.groups {
		p.stop(g, u)
	}
	return true
}

// cheapest returns the eviction that loses the least work: in one rack for a unit
// that is bound to one, anywhere if no rack will do.
func (p *planner) cheapest(f *fleet, u unit, groups map[groupKey]group, ending map[string]pool.ResourceVector) (best *eviction) {
	if u.terms.IsRackBound || u.terms.DataRack != "" {
		for _, r := range f.racks {
			if u.terms.DataRack != "" && r.name != u.terms.DataRack {
				continue
			}
			if e := p.evict(r.nodes, u, groups, ending); e != nil && (best == nil || e.lost < best.lost) {
				best = e
			}
		}
	}
	if best == nil {
		best = p.evict(f.nodes, u, groups, ending)
	}
	return best
}

// stop marks the runs of a group as preempted.
func (p *planner) stop(g group, u unit) {
	for _, h := range g.members {
		v, ok := p.s.board.view(h.task.Worker)
		if !ok {
			continue
		}
		r := v.runs[h.task.Ref]
		r.unwanted = reasonPreempted
		p.s.board = p.s.board.withView(v.withRun(h.task.Ref, r))
		p.s.board.isDirty = true
		p.s.note(Note{
			Text:   "Run is preempted for " + u.flow.Spec.ID + ".",
			Ref:    h.task.Ref,
			Worker: h.task.Worker,
			Reason: string(reasonPreempted),
		})
	}
}

// groupsOf returns the runs of a fleet that are not being stopped, by their key.
// Those that are as urgent as a priority are spared.
func groupsOf(f *fleet, priority int) map[groupKey]group {
	m := map[groupKey]group{}
	for _, n := range f.nodes {
		for _, h := range n.holders {
			if h.isStopping {
				continue
			}
			k := keyOf(h)
			g, known := m[k]
			g.members = append(g.members, h)
			g.lost += h.lost
			g.isMeasured = h.isMeasured && (g.isMeasured || !known)
			g.endsAt = later(g.endsAt, h.endsAt)
			g.isSpared = h.priority <= priority
			m[k] = g
		}
	}
	return m
}

// endingSoon returns the room, by worker, of runs that are expected to end by
// themselves before a stop would free any, and spares them.
func (p *planner) endingSoon(groups map[groupKey]group) map[string]pool.ResourceVector {
	by := p.s.now.Add(p.s.board.cfg.MaxStopDuration)
	room := map[string]pool.ResourceVector{}
	for k, g := range groups {
		if !g.isMeasured || g.endsAt.After(by) {
			continue
		}
		for _, h := range g.members {
			room[h.task.Worker] = room[h.task.Worker].Plus(h.task.Terms.Each)
		}
		g.isSpared = true
		groups[k] = g
	}
	return room
}

func keyOf(h holder) groupKey {
	k := groupKey{
		key: h.task.Key,
		run: h.task.Run,
	}
	if h.task.Terms.IsGang {
		k.key.Index = 0
	}
	return k
}

// An eviction is a way to make room.
type eviction struct {
	seats  []seat
	groups []group
	lost   float64
}

// An evictor is the working copy of one eviction: how many of a unit's tasks
// fit on each node if the chosen groups are gone.
type evictor struct {
	unit  unit
	nodes map[string]*node
	room  map[string]pool.ResourceVector
	fit   map[string]int
	total int
}

func newEvictor(nodes []*node, u unit, ending map[string]pool.ResourceVector) *evictor {
	e := &evictor{
		unit:  u,
		nodes: make(map[string]*node, len(nodes)),
		room:  make(map[string]pool.ResourceVector, len(nodes)),
		fit:   make(map[string]int, len(nodes)),
	}
	for _, n := range nodes {
		e.nodes[n.worker.ID] = n
		e.set(n, n.free.Plus(n.coming).Plus(ending[n.worker.ID]))
	}
	return e
}

func (e *evictor) set(n *node, room pool.ResourceVector) {
	id := n.worker.ID
	e.room[id] = room
	e.total -= e.fit[id]
	e.fit[id] = e.unit.fits(n, room, e.unit.terms.Tasks)
	e.total += e.fit[id]
}

// change takes a group away, or puts it back if sign is -1.
func (e *evictor) change(g group, sign int) {
	for _, h := range g.members {
		if n, ok := e.nodes[h.task.Worker]; ok {
			e.set(n, e.room[n.worker.ID].Plus(h.task.Terms.Each.Times(sign)))
		}
	}
}

func (e *evictor) hasRoom() bool {
	return e.total >= e.unit.terms.Tasks
}

// evict finds the groups to stop so that a unit fits on nodes, nil if it cannot.
// Groups go in the order of the work that is lost; those that turn out not to
// be needed are spared.
func (p *planner) evict(nodes []*node, u unit, groups map[groupKey]group, ending map[string]pool.ResourceVector) *eviction {
	e := newEvictor(nodes, u, ending)
	var chosen []groupKey
	for _, k := range groupsOn(nodes, groups) {
		if e.hasRoom() {
			break
		}
		chosen = append(chosen, k)
		e.change(groups[k], 1)
	}
	if !e.hasRoom() {
		return nil
	}
	found := &eviction{}
	for _, k := range slices.Backward(chosen) {
		e.change(groups[k], -1)
		if e.hasRoom() {
			continue
		}
		e.change(groups[k], 1)
		found.groups = append(found.groups, groups[k])
		found.lost += groups[k].lost
	}
	found.seats = seats(nodes, u, u.terms.Tasks, func(n *node) pool.ResourceVector {
		return e.room[n.worker.ID]
	})
	return found
}

// groupsOn returns the groups with members on nodes, the least loss first.
func groupsOn(nodes []*node, groups map[groupKey]group) (order []groupKey) {
	seen := map[groupKey]bool{}
	for _, n := range nodes {
		for _, h := range n.holders {
			k := keyOf(h)
			g, ok := groups[k]
			if ok && !g.isSpared && !seen[k] {
				seen[k] = true
				order = append(order, k)
			}
		}
	}
	slices.SortStableFunc(order, func(a, b groupKey) int {
		return cmp.Compare(groups[a].lost, groups[b].lost)
	})
	return order
}
