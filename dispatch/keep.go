package dispatch

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
)

// keep reserves the nodes where a gang that has no room can start soonest, by
// the ends that are expected there. Others may use them for what ends before.
func (p *planner) keep(f *fleet, u unit) {
	groups := [][]*node{
		f.nodes,
	}
	if u.terms.IsRackBound || u.terms.DataRack != "" {
		groups = nil
		for _, r := range f.racks {
			if u.terms.DataRack == "" || r.name == u.terms.DataRack {
				groups = append(groups, r.nodes)
			}
		}
	}
	var best []seat
	var bestAt time.Time
	for _, nodes := range groups {
		list, at := p.soonest(nodes, u)
		if list != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = list, at
		}
	}
	if best == nil {
		return
	}
	p.kept++
	for _, s := range best {
		s.node.keptUntil = bestAt
	}
}

// soonest returns when a gang fits on nodes if everything ends when expected,
// and its seats then; nil if it never fits.
func (p *planner) soonest(nodes []*node, u unit) ([]seat, time.Time) {
	type release struct {
		node *node
		room pool.ResourceVector
		at   time.Time
	}
	var releases []release
	room := map[*node]pool.ResourceVector{}
	for _, n := range nodes {
		if !n.keptUntil.IsZero() {
			continue
		}
		room[n] = n.free
		for _, h := range n.holders {
			releases = append(releases, release{
				node: n,
				room: h.task.Terms.Each,
				at:   h.endsAt,
			})
		}
	}
	slices.SortStableFunc(releases, func(a, b release) int {
		return a.at.Compare(b.at)
	})
	free := func(n *node) pool.ResourceVector {
		return room[n]
	}
	for _, r := range releases {
		room[r.node] = room[r.node].Plus(r.room)
		if list := seats(nodes, u, u.terms.Tasks, free); list != nil {
			return list, r.at
		}
	}
	return nil, time.Time{}
}
