// Package schedule decides on jobs: where gangs are placed, which jobs are
// preempted to honour a guarantee, and which jobs wait. It is a pure function:
// the same input yields the same decisions.
package schedule

import (
	"cmp"
	"slices"

	"github.com/plantainladder/plantainladder/shape"
)

// A Node is a worker with its total and free capacity.
type Node struct {
	// Worker is the worker's name.
	Worker string
	// Incarnation identifies the worker's current process.
	Incarnation string
	// DataCentre is the name of the worker's data centre.
	DataCentre string
	// Rack is the worker's rack, unique within the data centre.
	Rack string
	// Capacity is the total capacity.
	Capacity shape.Resources
	// Free is the capacity that is not allocated to tasks.
	Free shape.Resources
}

// A nodeRange is a half-open range of indices of a Fleet's nodes.
type nodeRange struct {
	start, end int
}

// A Fleet is an immutable set of nodes, sorted by data centre, rack and name.
type Fleet struct {
	nodes       []Node
	racks       []nodeRange
	dataCentres []nodeRange
	index       map[string]int
}

// NewFleet returns a fleet of the given nodes, in any order.
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

// Nodes returns a copy of the nodes in sorted order.
func (f Fleet) Nodes() []Node {
	return slices.Clone(f.nodes)
}

// An Allocation is the resources that one task takes on a worker.
type Allocation struct {
	// Worker is the worker's name.
	Worker string
	// PerTask is the amount allocated to the task.
	PerTask shape.Resources
}

// WithAllocations returns f with the allocations deducted from the free
// capacity. Allocations on unknown workers are ignored.
func (f Fleet) WithAllocations(allocations []Allocation) Fleet {
	nodes := slices.Clone(f.nodes)
	for _, a := range allocations {
		if i, ok := f.index[a.Worker]; ok {
			nodes[i].Free = nodes[i].Free.Minus(a.PerTask)
		}
	}
	f.nodes = nodes
	return f
}

// WithReleased returns f with the allocations added back to the free capacity.
// Allocations on unknown workers are ignored.
func (f Fleet) WithReleased(allocations []Allocation) Fleet {
	nodes := slices.Clone(f.nodes)
	for _, a := range allocations {
		if i, ok := f.index[a.Worker]; ok {
			nodes[i].Free = nodes[i].Free.Plus(a.PerTask)
		}
	}
	f.nodes = nodes
	return f
}

// WithoutAllocations returns f with the whole capacity of each node free.
func (f Fleet) WithoutAllocations() Fleet {
	nodes := slices.Clone(f.nodes)
	for i := range nodes {
		nodes[i].Free = nodes[i].Capacity
	}
	f.nodes = nodes
	return f
}

// Fragmentation measures how scattered the free accelerators of one data
// centre are.
type Fragmentation struct {
	// DataCentre is the name of the data centre.
	DataCentre string `json:"data-centre"`
	// FreeAccelerators is the number of accelerators not allocated to tasks.
	FreeAccelerators int `json:"free-accelerators"`
	// LargestGang is the number of accelerators on workers whose accelerators
	// are all free: the size of the largest gang that takes whole workers.
	LargestGang int `json:"largest-gang"`
	// Ratio is 1 − LargestGang ÷ FreeAccelerators, or 0 if none is free.
	Ratio float64 `json:"ratio"`
}

// Fragmentation returns the fragmentation of each data centre.
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
