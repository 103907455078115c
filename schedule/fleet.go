// Package schedule holds the decisions on jobs: where a gang goes, whose work
// is stopped so that a guarantee holds, and what waits. It is pure: the same
// input gives the same decisions.
package schedule

import (
	"cmp"
	"slices"

	"github.com/plantainladder/plantainladder/shape"
)

// A Node is a worker as the scheduler sees it.
type Node struct {
	// Worker is the worker's name.
	Worker string
	// Incarnation is the worker's incarnation.
	Incarnation string
	// DataCentre is its data centre.
	DataCentre string
	// Rack is its rack inside the data centre.
	Rack string
	// Capacity is all that it has.
	Capacity shape.Resources
	// Free is what no task holds.
	Free shape.Resources
}

// A nodeRange is a run of nodes that share a data centre or a rack.
type nodeRange struct {
	start, end int
}

// A Fleet is an immutable set of nodes, ordered by data centre, rack and name.
type Fleet struct {
	nodes       []Node
	racks       []nodeRange
	dataCentres []nodeRange
	index       map[string]int
}

// NewFleet returns a fleet of the given nodes.
func NewFleet(nodes []Node) Fleet {
	list := slices.Clone(nodes)
	slices.SortFunc(list, func(a, b Node) int {
		return cmp.Or(
			cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.Worker, b.Worker),
		)
	})
	f := Fleet{
		nodes: list,
		index: make(map[string]int, len(list)),
	}
	for i, n := range list {
		f.index[n.Worker] = i
	}
	f.dataCentres = groupNodes(list, func(a, b Node) bool {
		return a.DataCentre == b.DataCentre
	})
	f.racks = groupNodes(list, func(a, b Node) bool {
		return a.DataCentre == b.DataCentre && a.Rack == b.Rack
	})
	return f
}

func groupNodes(nodes []Node, same func(a, b Node) bool) []nodeRange {
	var list []nodeRange
	for i := range nodes {
		if i > 0 && same(nodes[i-1], nodes[i]) {
			list[len(list)-1].end = i + 1
			continue
		}
		list = append(list, nodeRange{
			start: i,
			end:   i + 1,
		})
	}
	return list
}

// Len returns the number of nodes.
func (f Fleet) Len() int {
	return len(f.nodes)
}

// Nodes returns a copy of the nodes.
func (f Fleet) Nodes() []Node {
	return slices.Clone(f.nodes)
}

// A Allocation is one task's hold on a worker, or its release if it is negative.
type Allocation struct {
	// Worker is the worker's name.
	Worker string
	// PerTask is what the task holds.
	PerTask shape.Resources
}

// WithAllocations returns f after the given uses; those on unknown workers are left out.
func (f Fleet) WithAllocations(uses []Allocation) Fleet {
	nodes := slices.Clone(f.nodes)
	for _, u := range uses {
		if i, ok := f.index[u.Worker]; ok {
			nodes[i].Free = nodes[i].Free.Minus(u.PerTask)
		}
	}
	f.nodes = nodes
	return f
}

// WithReleased returns f with the given uses given back.
func (f Fleet) WithReleased(uses []Allocation) Fleet {
	nodes := slices.Clone(f.nodes)
	for _, u := range uses {
		if i, ok := f.index[u.Worker]; ok {
			nodes[i].Free = nodes[i].Free.Plus(u.PerTask)
		}
	}
	f.nodes = nodes
	return f
}

// WithoutAllocations returns f with everything free.
func (f Fleet) WithoutAllocations() Fleet {
	nodes := slices.Clone(f.nodes)
	for i := range nodes {
		nodes[i].Free = nodes[i].Capacity
	}
	f.nodes = nodes
	return f
}

// Fragmentation is a measure of one data centre.
type Fragmentation struct {
	// DataCentre is its name.
	DataCentre string `json:"data-centre"`
	// FreeAccelerators counts the accelerators that no task holds.
	FreeAccelerators int `json:"free-accelerators"`
	// LargestGang counts the accelerators of the largest gang of whole workers
	// that could be placed now.
	LargestGang int `json:"largest-gang"`
	// Ratio is 1 − LargestGang ÷ FreeAccelerators; 0 if nothing is free.
	Ratio float64 `json:"ratio"`
}

// Fragmentation returns the measure of each data centre.
func (f Fleet) Fragmentation() []Fragmentation {
	list := make([]Fragmentation, 0, len(f.dataCentres))
	for _, c := range f.dataCentres {
		m := Fragmentation{
			DataCentre: f.nodes[c.start].DataCentre,
		}
		for _, n := range f.nodes[c.start:c.end] {
			m.FreeAccelerators += n.Free.Accelerators
			if n.Free.Accelerators == n.Capacity.Accelerators {
				m.LargestGang += n.Free.Accelerators
			}
		}
		if m.FreeAccelerators > 0 {
			m.Ratio = 1 - float64(m.LargestGang)/float64(m.FreeAccelerators)
		}
		list = append(list, m)
	}
	return list
}
