package pool

// ResourceVector is an amount of a worker's capacity, finer than shape.Resources: tasks
// of workflows ask for parts of a core.
type ResourceVector struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int `json:"milli-cores"`
	// MemoryMB is memory in megabytes.
	MemoryMB int `json:"memory-mb"`
	// Accelerators is a number of devices.
	Accelerators int `json:"accelerators"`
}

// Plus returns r with other added.
func (r ResourceVector) Plus(other ResourceVector) ResourceVector {
	return ResourceVector{
		MilliCores:   r.MilliCores + other.MilliCores,
		MemoryMB:     r.MemoryMB + other.MemoryMB,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Minus returns r with other taken away.
func (r ResourceVector) Minus(other ResourceVector) ResourceVector {
	return ResourceVector{
		MilliCores:   r.MilliCores - other.MilliCores,
		MemoryMB:     r.MemoryMB - other.MemoryMB,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Times returns r multiplied by n.
func (r ResourceVector) Times(n int) ResourceVector {
	return ResourceVector{
		MilliCores:   r.MilliCores * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}

// FitsIn reports whether r fits into free.
func (r ResourceVector) FitsIn(free ResourceVector) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// CopiesIn returns how many times r fits into free, at most limit.
func (r ResourceVector) CopiesIn(free ResourceVector, limit int) int {
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

// CoresPerAccelerator weighs an accelerator against processor cores, as the
// users' accounting does.
const CoresPerAccelerator = 8

// WeightedCores returns the room as a number of cores, accelerators included.
func (r ResourceVector) WeightedCores() float64 {
	return float64(r.MilliCores)/1000 + float64(r.Accelerators*CoresPerAccelerator)
}

// IsNegative reports whether any part of r is below zero.
func (r ResourceVector) IsNegative() bool {
	return r.MilliCores < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}
