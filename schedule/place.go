package schedule

import (
	"cmp"
	"slices"

	"github.com/plantainladder/plantainladder/shape"
)

// Place returns a node for each task of a shape, or false if the fleet lacks
// the free capacity. It is a best fit: it selects the worker, rack or data
// centre with the least free capacity that suffices, so that empty ones stay
// available for large gangs.
func (f Fleet) Place(s shape.Shape) ([]Node, bool) {
	switch s.Adjacency().(type) {
	case shape.SameWorker:
		return f.placeOnWorker(s)
	case shape.SameRack:
		return f.placeInRange(s, f.racks)
	case shape.SameDataCentre:
		return f.placeInDataCentre(s)
	case shape.Anywhere:
		if nodes, ok := f.placeInDataCentre(s); ok {
			return nodes, true
		}
		return f.placeInRange(s, f.allNodes())
	}
	return nil, false
}

func (f Fleet) allNodes() []nodeRange {
	return []nodeRange{
		{
			start: 0,
			end:   len(f.nodes),
		},
	}
}

func (f Fleet) placeOnWorker(s shape.Shape) ([]Node, bool) {
	total := s.Total()
	best := -1
	for i, n := range f.nodes {
		if !total.FitsIn(n.Free) {
			continue
		}
		if best < 0 || isTighter(n.Free, f.nodes[best].Free) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return slices.Repeat([]Node{f.nodes[best]}, s.Tasks), true
}

// isTighter reports whether free is less than another free capacity, by
// accelerators and then by cores.
func isTighter(free, than shape.Resources) bool {
	if free.Accelerators != than.Accelerators {
		return free.Accelerators < than.Accelerators
	}
	return free.Cores < than.Cores
}

// placeInDataCentre places a shape in one rack, or else in one data centre.
func (f Fleet) placeInDataCentre(s shape.Shape) ([]Node, bool) {
	if nodes, ok := f.placeInRange(s, f.racks); ok {
		return nodes, true
	}
	return f.placeInRange(s, f.dataCentres)
}

func (f Fleet) placeInRange(s shape.Shape, candidates []nodeRange) ([]Node, bool) {
	best, bestFree := -1, 0
	for i, c := range candidates {
		fitting, free := 0, 0
		for _, n := range f.nodes[c.start:c.end] {
			fitting += s.PerTask.FitCount(n.Free, s.Tasks)
			free += n.Free.Accelerators
		}
		if fitting < s.Tasks {
			continue
		}
		if best < 0 || free < bestFree {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return nil, false
	}
	return f.fill(s, candidates[best]), true
}

// fill assigns the tasks to the nodes of a range. Nodes on which the fewest
// accelerators would be left free come first, then those with the least free
// accelerators, so that empty workers stay available.
func (f Fleet) fill(s shape.Shape, c nodeRange) []Node {
	order := make([]int, 0, c.end-c.start)
	for i := c.start; i < c.end; i++ {
		if s.PerTask.FitsIn(f.nodes[i].Free) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(f.strandedAccelerators(s, a), f.strandedAccelerators(s, b)),
			cmp.Compare(f.nodes[a].Free.Accelerators, f.nodes[b].Free.Accelerators),
		)
	})
	placed := make([]Node, 0, s.Tasks)
	for _, i := range order {
		n := s.PerTask.FitCount(f.nodes[i].Free, s.Tasks-len(placed))
		placed = append(placed, slices.Repeat([]Node{f.nodes[i]}, n)...)
		if len(placed) == s.Tasks {
			break
		}
	}
	return placed
}

// strandedAccelerators returns the number of accelerators that stay free on a
// node once it runs as many tasks of the shape as fit.
func (f Fleet) strandedAccelerators(s shape.Shape, node int) int {
	free := f.nodes[node].Free
	n := s.PerTask.FitCount(free, s.Tasks)
	return free.Accelerators - n*s.PerTask.Accelerators
}

// NewAllocations returns one allocation for each node that Place returned;
// perTask is what one task needs.
func NewAllocations(nodes []Node, perTask shape.Resources) []Allocation {
	allocations := make([]Allocation, len(nodes))
	for i, n := range nodes {
		allocations[i] = Allocation{
			Worker:  n.Worker,
			PerTask: perTask,
		}
	}
	return allocations
}

// CountPlaceable returns how many of the shapes can be placed together if the
// largest are placed first.
func (f Fleet) CountPlaceable(shapes []shape.Shape) int {
	order := slices.Clone(shapes)
	slices.SortStableFunc(order, func(a, b shape.Shape) int {
		return cmp.Compare(b.Total().Accelerators, a.Total().Accelerators)
	})
	scratch := f
	scratch.nodes = slices.Clone(f.nodes)
	n := 0
	for _, s := range order {
		nodes, ok := scratch.Place(s)
		if !ok {
			continue
		}
		for _, node := range nodes {
			i := scratch.index[node.Worker]
			scratch.nodes[i].Free = scratch.nodes[i].Free.Minus(s.PerTask)
		}
		n++
	}
	return n
}
