package dispatch

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
)

// reserve reserves the nodes on which a gang that does not fit now can start
// soonest, judged by the expected ends of the runs there. Until then other
// tasks may use them if they are expected to end before (backfilling).
func (p *placer) reserve(f *fleet, g taskGroup) {
	nodeSets := [][]*node{
		f.nodes,
	}
	if g.step.IsRackSensitive || g.step.DataRack != "" {
		nodeSets = nil
		for _, r := range f.racks {
			if g.step.DataRack == "" || r.name == g.step.DataRack {
				nodeSets = append(nodeSets, r.nodes)
			}
		}
	}
	var best []assignment
	var bestAt time.Time
	for _, nodes := range nodeSets {
		list, at := p.earliestFit(nodes, g)
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

// earliestFit returns when a gang fits on nodes if all runs there end as
// expected, and its assignments at that time. The assignments are nil if it
// never fits. Nodes that are reserved already are left out.
func (p *placer) earliestFit(nodes []*node, g taskGroup) ([]assignment, time.Time) {
	type release struct {
		node      *node
		capacity  pool.ResourceVector
		at        time.Time
		isSuspect bool
	}
	var releases []release
	capacity := map[*node]pool.ResourceVector{}
	// suspects counts the runs on a node after which it admits the gang.
	suspects := map[*node]int{}
	for _, n := range nodes {
		if !n.reservedUntil.IsZero() {
			continue
		}
		capacity[n] = n.free
		for _, alloc := range n.allocations {
			releases = append(releases, release{
				node:      n,
				capacity:  alloc.task.StepSpec.PerTask,
				at:        alloc.endsAt,
				isSuspect: alloc.isSuspect,
			})
			if alloc.isSuspect {
				suspects[n]++
			}
		}
	}
	slices.SortStableFunc(releases, func(a, b release) int {
		return a.at.Compare(b.at)
	})
	free := func(n *node) pool.ResourceVector {
		if suspects[n] > 0 || n.hasNewSuspect {
			return pool.ResourceVector{}
		}
		return capacity[n]
	}
	for _, r := range releases {
		capacity[r.node] = capacity[r.node].Plus(r.capacity)
		if r.isSuspect {
			suspects[r.node]--
		}
		if list := assignments(nodes, g, g.step.Tasks, free); list != nil {
			return list, r.at
		}
	}
	return nil, time.Time{}
}
