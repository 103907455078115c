package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// An earmark keeps the room that is being freed for an urgent unit until the
// unit gets it. The load that it answers: several urgent gangs at once in a full
// pool. Without it each plan may choose other runs to stop, and what was freed
// for one is taken by another.
type earmark struct {
	// unit names the unit; its index is zero.
	unit workflow.Key
	// each is what one of its tasks needs; tasks counts them by worker.
	each  pool.Room
	tasks map[string]int
	// until ends it, so that room that does not come is sought elsewhere.
	until time.Time
}

// earmarkGrace is how long room may come later than a stop takes: the order, its
// answer and a commit.
const earmarkGrace = 600 * time.Millisecond

// stepKey names a unit.
func (u unit) stepKey() workflow.Key {
	return u.key(0)
}

// loadEarmarks sets room aside for the units that still wait for it.
func (p *planner) loadEarmarks(waiting []unit) {
	for _, u := range waiting {
		e, ok := p.s.board.earmarks[u.stepKey()]
		f := p.fleets[u.flow.Terms.Pool]
		if !ok || f == nil || !p.s.now.Before(e.until) {
			continue
		}
		p.earmarks[u.stepKey()] = e
		f.setAside(e, 1)
	}
}

// setAside changes what is set aside for an earmark; sign is -1 to give it back.
func (f *fleet) setAside(e earmark, sign int) {
	for _, n := range f.nodes {
		if tasks := e.tasks[n.worker.ID]; tasks > 0 {
			n.setAside = n.setAside.Plus(e.each.Times(sign * tasks))
		}
	}
}

// withdraw gives the room of a unit's own earmark back to it.
func (p *planner) withdraw(f *fleet, u unit) (e earmark, ok bool) {
	e, ok = p.earmarks[u.stepKey()]
	if ok {
		delete(p.earmarks, u.stepKey())
		f.setAside(e, -1)
	}
	return e, ok
}

// assign earmarks seats for a unit until a time.
func (p *planner) assign(f *fleet, u unit, list []seat, until time.Time) {
	e := earmark{
		unit:  u.stepKey(),
		each:  u.terms.Each,
		tasks: make(map[string]int, len(list)),
		until: until,
	}
	for _, s := range list {
		e.tasks[s.node.worker.ID] += s.tasks
	}
	p.earmarks[e.unit] = e
	f.setAside(e, 1)
}

// nodesOf returns the nodes of an earmark that are still usable.
func (e earmark) nodesOf(f *fleet) []*node {
	var nodes []*node
	for _, n := range f.nodes {
		if e.tasks[n.worker.ID] > 0 {
			nodes = append(nodes, n)
		}
	}
	return nodes
}
