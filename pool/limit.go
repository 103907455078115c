package pool

import (
	"math"
	"slices"
)

// The methods in this file take a vector as a limit, in which a component of 0 means that
// the resource is not limited.

// MaxLimitAmount bounds each component of a limit. It is far above what any number of
// workers has, and keeps sums and the overage from overflowing.
const MaxLimitAmount = 1_000_000_000_000_000

// maxOverage bounds the share by which a limit may be exceeded, so that the result does not
// overflow.
const maxOverage = 10

// unlimited is the room for a resource that is not limited. Sums of it do not overflow.
const unlimited = math.MaxInt / 4

// IsZero reports whether r is zero: as a limit it limits nothing.
func (r ResourceVector) IsZero() bool {
	return r == ResourceVector{}
}

// Room returns what may be used within the limit r in addition to used. A component is
// negative if more is used already.
func (r ResourceVector) Room(used ResourceVector) ResourceVector {
	return ResourceVector{
		MilliCores:   room(r.MilliCores, used.MilliCores),
		MemoryMB:     room(r.MemoryMB, used.MemoryMB),
		Accelerators: room(r.Accelerators, used.Accelerators),
	}
}

// RoomFor returns the room for copies of each within the limit r in addition to used. A
// resource of which each needs nothing is not limited, also where more is used already.
func (r ResourceVector) RoomFor(each, used ResourceVector) ResourceVector {
	if each.MilliCores == 0 {
		r.MilliCores = 0
	}
	if each.MemoryMB == 0 {
		r.MemoryMB = 0
	}
	if each.Accelerators == 0 {
		r.Accelerators = 0
	}
	return r.Room(used)
}

func room(limit, used int) int {
	if limit == 0 {
		return unlimited
	}
	return limit - used
}

// A LimitedUse is what is used of a resource that is limited.
type LimitedUse struct {
	Resource    string
	Used, Limit int
}

// LimitedUses returns what is used of each resource that the limit r limits.
func (r ResourceVector) LimitedUses(used ResourceVector) []LimitedUse {
	return slices.DeleteFunc([]LimitedUse{
		{"milli-cores", used.MilliCores, r.MilliCores},
		{"memory-mb", used.MemoryMB, r.MemoryMB},
		{"accelerators", used.Accelerators, r.Accelerators},
	}, func(u LimitedUse) bool { return u.Limit <= 0 })
}

// WithOverage returns the limit r raised by a share of itself.
func (r ResourceVector) WithOverage(share float64) ResourceVector {
	if share <= 0 || math.IsNaN(share) {
		return r
	}
	raise := func(amount int) int {
		return int(float64(amount) * (1 + min(share, maxOverage)))
	}
	return ResourceVector{
		MilliCores:   raise(r.MilliCores),
		MemoryMB:     raise(r.MemoryMB),
		Accelerators: raise(r.Accelerators),
	}
}

// CanEverFit reports whether n copies of each fit into the limit r if nothing else is used.
func (r ResourceVector) CanEverFit(each ResourceVector, n int) bool {
	return each.FitCount(r.Room(ResourceVector{}), n) >= n
}
