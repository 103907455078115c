package schedule

import (
	"cmp"
	"slices"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/shape"
)

// A guaranteedShape is one guaranteed shape and the part of it that is not in
// use.
type guaranteedShape struct {
	shape     shape.Shape
	remaining shape.Resources
}

// covers reports whether a job's shape fits into the remaining part and its
// adjacency is no stricter than guaranteed. Cores and memory count only if the
// contract states them.
func (gs guaranteedShape) covers(s shape.Shape) bool {
	stated := gs.shape.PerTask
	if !statedPart(s.PerTask, stated).FitsIn(stated) || !statedPart(s.Total(), stated).FitsIn(gs.remaining) {
		return false
	}
	if s.Tasks == 1 || strictness(s.Adjacency()) <= strictness(gs.shape.Adjacency()) {
		return true
	}
	_, sameWorker := s.Adjacency().(shape.SameWorker)
	return sameWorker && statedPart(s.Total(), stated).FitsIn(stated)
}

// statedPart returns need without the cores and memory that the guarantee does
// not state.
func statedPart(need, stated shape.Resources) shape.Resources {
	if stated.Cores == 0 {
		need.Cores = 0
	}
	if stated.MemoryMB == 0 {
		need.MemoryMB = 0
	}
	return need
}

func strictness(a shape.Adjacency) int {
	switch a.(type) {
	case shape.SameWorker:
		return 3
	case shape.SameRack:
		return 2
	case shape.SameDataCentre:
		return 1
	case shape.Anywhere:
		return 0
	}
	return 0
}

// A Guarantee tracks how much of a contract's guaranteed shapes is in use.
type Guarantee struct {
	shapes []guaranteedShape
}

// NewGuarantee returns the guarantee of a contract, with nothing in use.
func NewGuarantee(c contract.Contract) Guarantee {
	var g Guarantee
	for _, b := range c.Guarantee {
		for range b.Count {
			g.shapes = append(g.shapes, guaranteedShape{
				shape:     b.Shape,
				remaining: b.Shape.Total(),
			})
		}
	}
	slices.SortStableFunc(g.shapes, func(a, b guaranteedShape) int {
		return cmp.Compare(a.remaining.Accelerators, b.remaining.Accelerators)
	})
	return g
}

// WithUsed returns g with a job's shape deducted from the smallest guaranteed
// shape that covers it, or g unchanged and false if none does.
func (g Guarantee) WithUsed(s shape.Shape) (Guarantee, bool) {
	best := -1
	for i, gs := range g.shapes {
		if gs.covers(s) && (best < 0 || gs.remaining.Accelerators < g.shapes[best].remaining.Accelerators) {
			best = i
		}
	}
	if best < 0 {
		return g, false
	}
	g.shapes = slices.Clone(g.shapes)
	g.shapes[best].remaining = g.shapes[best].remaining.Minus(statedPart(s.Total(), g.shapes[best].shape.PerTask))
	return g, true
}

// Covers reports whether the unused part of some guaranteed shape covers a
// job's shape.
func (g Guarantee) Covers(s shape.Shape) bool {
	return slices.ContainsFunc(g.shapes, func(gs guaranteedShape) bool {
		return gs.covers(s)
	})
}

// Unused returns the unused parts of the guaranteed shapes, in whole tasks.
func (g Guarantee) Unused() []shape.Shape {
	var list []shape.Shape
	for _, gs := range g.shapes {
		if n := gs.shape.PerTask.FitCount(gs.remaining, gs.shape.Tasks); n > 0 {
			list = append(list, gs.shape.WithTasks(n))
		}
	}
	return list
}

// remainingGuarantees returns the guarantee of each organisation, less the jobs
// that hold capacity within it. Large jobs are deducted first.
func remainingGuarantees(contracts []contract.Contract, jobs []job.Job) map[string]Guarantee {
	m := make(map[string]Guarantee, len(contracts))
	for _, c := range contracts {
		m[c.Organisation] = NewGuarantee(c)
	}
	withinGuarantee := slices.DeleteFunc(slices.Clone(jobs), func(j job.Job) bool {
		return j.Borrowed || !j.HoldsCapacity()
	})
	slices.SortStableFunc(withinGuarantee, func(a, b job.Job) int {
		return cmp.Compare(b.Spec.Shape.Total().Accelerators, a.Spec.Shape.Total().Accelerators)
	})
	for _, j := range withinGuarantee {
		if g, ok := m[j.Spec.Organisation]; ok {
			m[j.Spec.Organisation], _ = g.WithUsed(j.Spec.Shape)
		}
	}
	return m
}

// CanSatisfy reports whether the guaranteed shapes of all contracts fit into
// the fleet's total capacity together.
func CanSatisfy(f Fleet, contracts []contract.Contract) bool {
	var all []shape.Shape
	for _, c := range contracts {
		all = append(all, NewGuarantee(c).Unused()...)
	}
	return f.WithoutAllocations().CountPlaceable(all) == len(all)
}
