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
	list, at := p.earliestStart(f, g)
	if list == nil {
		return
	}
	p.reservations++
	for _, a := range list {
		a.node.reservedUntil = at
	}
}

// earliestStart returns the assignments with which a task group can start soonest,
// on a rack if it runs slower off its rack, and when. The assignments are nil if it
// never fits.
func (p *placer) earliestStart(f *fleet, g taskGroup) (best []assignment, bestAt time.Time) {
	if !g.step.IsRackSensitive && g.step.DataRack == "" {
		return p.earliestFit(f.nodes, g)
	}
	for _, r := range f.racks {
		if g.step.DataRack != "" && r.name != g.step.DataRack {
			continue
		}
		list, at := p.earliestFit(r.nodes, g)
		if list != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = list, at
		}
	}
	return best, bestAt
}

// A rackStartKey identifies an expected start, which depends on the nodes that were
// reserved before.
type rackStartKey struct {
	requirement  requirement
	reservations int
}

// A rackStart is when a rack is expected to become free for a task group.
type rackStart struct {
	at         time.Time
	isExpected bool
}

// rackStart returns when a rack is expected to become free for a task group. The
// answer is kept for the other task groups of the pass with the same requirement.
func (p *placer) rackStart(f *fleet, g taskGroup) rackStart {
	k := rackStartKey{
		requirement:  g.requirement(),
		reservations: p.reservations,
	}
	if known, ok := p.rackStarts[k]; ok {
		return known
	}
	list, at := p.earliestStart(f, g)
	start := rackStart{
		at:         at,
		isExpected: list != nil,
	}
	p.rackStarts[k] = start
	return start
}

// earliestFit returns when a gang fits on nodes if all runs there end as
// expected, and its assignments at that time. The assignments are nil if it
// never fits. Nodes that are reserved already are left out.
func (p *placer) earliestFit(nodes []*node, g taskGroup) ([]assignment, time.Time) {
	type release struct {
		node       *node
		capacity   pool.ResourceVector
		at         time.Time
		isIsolated bool
	}
	var releases []release
	capacity := map[*node]pool.ResourceVector{}
	// isolated counts the runs on a node after which it admits the gang.
	isolated := map[*node]int{}
	for _, n := range nodes {
		if !n.reservedUntil.IsZero() {
			continue
		}
		capacity[n] = n.free
		for _, alloc := range n.allocations {
			releases = append(releases, release{
				node:       n,
				capacity:   alloc.task.StepSpec.PerTask,
				at:         alloc.endsAt,
				isIsolated: alloc.isIsolated,
			})
			if alloc.isIsolated {
				isolated[n]++
			}
		}
	}
	slices.SortStableFunc(releases, func(a, b release) int {
		return a.at.Compare(b.at)
	})
	free := func(n *node) pool.ResourceVector {
		if isolated[n] > 0 || n.hasNewIsolated {
			return pool.ResourceVector{}
		}
		return capacity[n]
	}
	// total is the sum of fitCounts, which holds how many members fit on each node.
	total := 0
	fitCounts := make(map[*node]int, len(nodes))
	count := func(n *node) {
		fit := g.fitCount(n, free(n), g.step.Tasks)
		total += fit - fitCounts[n]
		fitCounts[n] = fit
	}
	for _, n := range nodes {
		count(n)
	}
	for _, r := range releases {
		capacity[r.node] = capacity[r.node].Plus(r.capacity)
		if r.isIsolated {
			isolated[r.node]--
		}
		count(r.node)
		if total < g.step.Tasks {
			continue
		}
		if list := assignments(nodes, g, g.step.Tasks, free); list != nil {
			return list, r.at
		}
	}
	return nil, time.Time{}
}
