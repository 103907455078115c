package dispatch

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
)

// reserve reserves the nodes where a gang that has no room can start soonest, by
// the ends that are expected there. Others may use them for what ends before.
func (p *placer) reserve(f *fleet, u taskGroup) {
	nodeSets := [][]*node{
		f.nodes,
	}
	if u.step.IsRackBound || u.step.DataRack != "" {
		nodeSets = nil
		for _, r := range f.racks {
			if u.step.DataRack == "" || r.name == u.step.DataRack {
				nodeSets = append(nodeSets, r.nodes)
			}
		}
	}
	var best []assignment
	var bestAt time.Time
	for _, nodes := range nodeSets {
		list, at := p.earliestFit(nodes, u)
		if list != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = list, at
		}
	}
	if best == nil {
		return
	}
	p.reservations++
	for _, a := range best {
		a.node.reservedUntil = bestAt
	}
}

// earliestFit returns when a gang fits on nodes if everything ends when expected,
// and its seats then; nil if it never fits.
func (p *placer) earliestFit(nodes []*node, u taskGroup) ([]assignment, time.Time) {
	type release struct {
		node     *node
		capacity pool.ResourceVector
		at       time.Time
	}
	var releases []release
	capacity := map[*node]pool.ResourceVector{}
	for _, n := range nodes {
		if !n.reservedUntil.IsZero() {
			continue
		}
		capacity[n] = n.free
		for _, alloc := range n.allocations {
			releases = append(releases, release{
				node:     n,
				capacity: alloc.task.Terms.Each,
				at:       alloc.endsAt,
			})
		}
	}
	slices.SortStableFunc(releases, func(a, b release) int {
		return a.at.Compare(b.at)
	})
	free := func(n *node) pool.ResourceVector {
		return capacity[n]
	}
	for _, r := range releases {
		capacity[r.node] = capacity[r.node].Plus(r.capacity)
		if list := assignments(nodes, u, u.step.Tasks, free); list != nil {
			return list, r.at
		}
	}
	return nil, time.Time{}
}
