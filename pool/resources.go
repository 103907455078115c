package pool

// A ResourceVector is an amount of processor time, memory and accelerators on a
// worker. Unlike shape.Resources it counts thousandths of a core, because tasks
// of workflows ask for fractions of a core.
type ResourceVector struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int `json:"milli-cores"`
	// MemoryMB is memory in megabytes.
	MemoryMB int `json:"memory-mb"`
	// Accelerators is the number of accelerator devices.
	Accelerators int `json:"accelerators"`
}

// Plus returns the sum of r and other.
func (r ResourceVector) Plus(other ResourceVector) ResourceVector {
	return ResourceVector{
		MilliCores:   r.MilliCores + other.MilliCores,
		MemoryMB:     r.MemoryMB + other.MemoryMB,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Minus returns r less other; the result may have negative components.
func (r ResourceVector) Minus(other ResourceVector) ResourceVector {
	return ResourceVector{
		MilliCores:   r.MilliCores - other.MilliCores,
		MemoryMB:     r.MemoryMB - other.MemoryMB,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Min returns the smaller of each component of r and other.
func (r ResourceVector) Min(other ResourceVector) ResourceVector {
	return ResourceVector{
		MilliCores:   min(r.MilliCores, other.MilliCores),
		MemoryMB:     min(r.MemoryMB, other.MemoryMB),
		Accelerators: min(r.Accelerators, other.Accelerators),
	}
}

// Times returns r with every component multiplied by n.
func (r ResourceVector) Times(n int) ResourceVector {
	return ResourceVector{
		MilliCores:   r.MilliCores * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}

// FitsIn reports whether no component of r exceeds that of free.
func (r ResourceVector) FitsIn(free ResourceVector) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// FitCount returns how many copies of r fit into free, from 0 to limit. It is 0 if
// any component of free is negative, also one of which r needs nothing.
func (r ResourceVector) FitCount(free ResourceVector, limit int) int {
	if free.IsNegative() {
		return 0
	}
	n := limit
	if r.MilliCores > 0 {
		n = min(n, free.MilliCores/r.MilliCores)
	}
	if r.MemoryMB > 0 {
		n = min(n, free.MemoryMB/r.MemoryMB)
	}
	if r.Accelerators > 0 {
		n = min(n, free.Accelerators/r.Accelerators)
	}
	return max(n, 0)
}

// CoresPerAccelerator is the number of cores that an accelerator counts as. The
// users' accounting uses the same weight.
const CoresPerAccelerator = 8

// WeightedCores returns r as a number of cores, with each accelerator counted
// as CoresPerAccelerator cores. Memory does not count.
func (r ResourceVector) WeightedCores() float64 {
	return float64(r.MilliCores)/1000 + float64(r.Accelerators*CoresPerAccelerator)
}

// IsNegative reports whether any component of r is below zero.
func (r ResourceVector) IsNegative() bool {
	return r.MilliCores < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}
