package dispatch

import (
	"cmp"
	"slices"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A group is the runs that end together if one of them is stopped: a gang's
// members, or a single task.
type group struct {
	members []holder
	lost    float64
}

type groupKey struct {
	key workflow.Key
	run int
}

// preempt makes room for urgent tasks: it stops less urgent runs, those first
// that lose the least work, and keeps the room for the urgent tasks meanwhile.
func (p *planner) preempt(f *fleet, u unit) {
	u = u.withTasks(len(u.indexes))
	areas := [][]*node{}
	if u.terms.IsRackBound || u.terms.DataRack != "" {
		for _, r := range f.racks {
			if u.terms.DataRack == "" || r.name == u.terms.DataRack {
				areas = append(areas, r.nodes)
			}
		}
	}
	areas = append(areas, f.nodes)
	groups := p.groups(f, u.flow.Terms.Priority)
	var best *eviction
	for i, nodes := range areas {
		isLastResort := i == len(areas)-1 && len(areas) > 1
		if isLastResort && best != nil {
			break
		}
		if e := p.evict(nodes, u, groups); e != nil && (best == nil || e.lost < best.lost) {
			best = e
		}
	}
	if best == nil {
		return
	}
	for _, s := range best.seats {
		s.node.free = s.node.free.Minus(u.terms.Each.Times(s.tasks))
	}
	for _, g := range best.groups {
		p.stop(g, u)
	}
}

// stop marks the runs of a group as preempted.
func (p *planner) stop(g group, u unit) {
	for _, h := range g.members {
		v, ok := p.s.board.views.Get(h.task.Worker)
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

// groups returns the runs that are less urgent than a priority, by their key.
func (p *planner) groups(f *fleet, priority int) map[groupKey]group {
	m := map[groupKey]group{}
	for _, n := range f.nodes {
		for _, h := range n.holders {
			if h.priority <= priority || h.isStopping {
				continue
			}
			k := keyOf(h)
			g := m[k]
			g.members = append(g.members, h)
			g.lost += h.lost
			m[k] = g
		}
	}
	return m
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

// evict finds the groups to stop so that a unit fits on nodes, nil if it cannot.
// Groups go in the order of the work that is lost for what they free; those that
// turn out not to be needed are spared.
func (p *planner) evict(nodes []*node, u unit, groups map[groupKey]group) *eviction {
	room := map[*node]pool.Room{}
	local := map[string]*node{}
	var order []groupKey
	seen := map[groupKey]bool{}
	for _, n := range nodes {
		room[n] = n.free.Plus(n.coming)
		local[n.worker.ID] = n
		for _, h := range n.holders {
			k := keyOf(h)
			if _, ok := groups[k]; ok && !seen[k] {
				seen[k] = true
				order = append(order, k)
			}
		}
	}
	slices.SortStableFunc(order, func(a, b groupKey) int {
		return cmp.Compare(groups[a].lost, groups[b].lost)
	})
	free := func(n *node) pool.Room {
		return room[n]
	}
	change := func(g group, sign int) {
		for _, h := range g.members {
			if n, ok := local[h.task.Worker]; ok {
				room[n] = room[n].Plus(h.task.Terms.Each.Times(sign))
			}
		}
	}
	var chosen []groupKey
	for !hasSeats(nodes, u, free) {
		if len(chosen) == len(order) {
			return nil
		}
		chosen = append(chosen, order[len(chosen)])
		change(groups[chosen[len(chosen)-1]], 1)
	}
	e := &eviction{}
	for _, k := range slices.Backward(chosen) {
		change(groups[k], -1)
		if hasSeats(nodes, u, free) {
			continue
		}
		change(groups[k], 1)
		e.groups = append(e.groups, groups[k])
		e.lost += groups[k].lost
	}
	e.seats = seats(nodes, u, u.terms.Tasks, free)
	return e
}

func hasSeats(nodes []*node, u unit, room func(n *node) pool.Room) bool {
	return seats(nodes, u, u.terms.Tasks, room) != nil
}
