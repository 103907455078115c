package schedule

import (
	"cmp"
	"slices"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/shape"
)

// An instance is one guaranteed shape and what is left of it.
type instance struct {
	shape shape.Shape
	left  shape.Resources
}

// covers reports whether a job's shape is a part of what is left. Cores and
// memory count only if the contract states them.
func (in instance) covers(s shape.Shape) bool {
	stated := in.shape.PerTask
	if !counted(s.PerTask, stated).FitsIn(stated) || !counted(s.Total(), stated).FitsIn(in.left) {
		return false
	}
	if s.Tasks == 1 || strictness(s.Adjacency()) <= strictness(in.shape.Adjacency()) {
		return true
	}
	_, sameWorker := s.Adjacency().(shape.SameWorker)
	return sameWorker && counted(s.Total(), stated).FitsIn(stated)
}

// counted returns the part of a need that a guarantee speaks of.
func counted(need, stated shape.Resources) shape.Resources {
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

// A Guarantee is what one contract promises and what of it is in use.
type Guarantee struct {
	instances []instance
}

// NewGuarantee returns the guarantee of a contract with nothing in use.
func NewGuarantee(c contract.Contract) Guarantee {
	var g Guarantee
	for _, b := range c.Guarantee {
		for range b.Count {
			g.instances = append(g.instances, instance{
				shape: b.Shape,
				left:  b.Shape.Total(),
			})
		}
	}
	slices.SortStableFunc(g.instances, func(a, b instance) int {
		return cmp.Compare(a.left.Accelerators, b.left.Accelerators)
	})
	return g
}

// WithUsed returns g with a shape taken from the smallest instance that covers
// it, and whether there was one.
func (g Guarantee) WithUsed(s shape.Shape) (Guarantee, bool) {
	best := -1
	for i, in := range g.instances {
		if in.covers(s) && (best < 0 || in.left.Accelerators < g.instances[best].left.Accelerators) {
			best = i
		}
	}
	if best < 0 {
		return g, false
	}
	g.instances = slices.Clone(g.instances)
	g.instances[best].left = g.instances[best].left.Minus(counted(s.Total(), g.instances[best].shape.PerTask))
	return g, true
}

// Covers reports whether some instance has room for a shape.
func (g Guarantee) Covers(s shape.Shape) bool {
	return slices.ContainsFunc(g.instances, func(in instance) bool {
		return in.covers(s)
	})
}

// Unused returns the shapes that are still promised and not in use.
func (g Guarantee) Unused() []shape.Shape {
	var list []shape.Shape
	for _, in := range g.instances {
		if n := in.shape.PerTask.FitCount(in.left, in.shape.Tasks); n > 0 {
			list = append(list, in.shape.WithTasks(n))
		}
	}
	return list
}

// guarantees returns the guarantee of each organisation less the jobs that
// run inside it.
func guarantees(contracts []contract.Contract, jobs []job.Job) map[string]Guarantee {
	m := make(map[string]Guarantee, len(contracts))
	for _, c := range contracts {
		m[c.Organisation] = NewGuarantee(c)
	}
	inside := slices.DeleteFunc(slices.Clone(jobs), func(j job.Job) bool {
		return j.Borrowed || !j.HoldsCapacity()
	})
	slices.SortStableFunc(inside, func(a, b job.Job) int {
		return cmp.Compare(b.Spec.Shape.Total().Accelerators, a.Spec.Shape.Total().Accelerators)
	})
	for _, j := range inside {
		if g, ok := m[j.Spec.Organisation]; ok {
			m[j.Spec.Organisation], _ = g.WithUsed(j.Spec.Shape)
		}
	}
	return m
}

// CanSatisfy reports whether an empty fleet has room for all contracts together.
func CanSatisfy(f Fleet, contracts []contract.Contract) bool {
	var all []shape.Shape
	for _, c := range contracts {
		all = append(all, NewGuarantee(c).Unused()...)
	}
	return f.WithoutAllocations().CountPlaceable(all) == len(all)
}
