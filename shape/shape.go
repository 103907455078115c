// Package shape describes the requirements of a gang of tasks: the resources of
// each task and how close to each other the tasks must run. Contracts guarantee
// shapes and jobs request them.
package shape

// MaxTasks is the maximum number of tasks of a gang.
const MaxTasks = 256

// Resources is an amount of the capacity of a worker.
type Resources struct {
	// Accelerators is the number of accelerator devices.
	Accelerators int `json:"accelerators"`
	// Cores is the number of processor cores.
	Cores int `json:"cores"`
	// MemoryMB is the memory in megabytes.
	MemoryMB int `json:"memory-mb"`
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		Accelerators: r.Accelerators + other.Accelerators,
		Cores:        r.Cores + other.Cores,
		MemoryMB:     r.MemoryMB + other.MemoryMB,
	}
}

// Minus returns the difference of r and other. Its fields may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{
		Accelerators: r.Accelerators - other.Accelerators,
		Cores:        r.Cores - other.Cores,
		MemoryMB:     r.MemoryMB - other.MemoryMB,
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{
		Accelerators: r.Accelerators * n,
		Cores:        r.Cores * n,
		MemoryMB:     r.MemoryMB * n,
	}
}

// FitsIn reports whether no field of r exceeds that of free.
func (r Resources) FitsIn(free Resources) bool {
	return r.Accelerators <= free.Accelerators && r.Cores <= free.Cores && r.MemoryMB <= free.MemoryMB
}

// FitCount returns how many times r fits into free. The result is from 0 to
// limit.
func (r Resources) FitCount(free Resources, limit int) int {
	n := limit
	if r.Accelerators > 0 {
		n = min(n, free.Accelerators/r.Accelerators)
	}
	if r.Cores > 0 {
		n = min(n, free.Cores/r.Cores)
	}
	if r.MemoryMB > 0 {
		n = min(n, free.MemoryMB/r.MemoryMB)
	}
	return max(n, 0)
}

// An Adjacency is the constraint on how close to each other the tasks of a gang
// run. It is one of SameWorker, SameRack, SameDataCentre and Anywhere.
type Adjacency interface {
	adjacency()
}

// SameWorker requires all tasks to run on one worker.
type SameWorker struct{}

// SameRack requires all tasks to run on workers of one rack.
type SameRack struct{}

// SameDataCentre requires all tasks to run in one data centre.
type SameDataCentre struct{}

// Anywhere allows the tasks to run on any workers.
type Anywhere struct{}

func (SameWorker) adjacency()     {}
func (SameRack) adjacency()       {}
func (SameDataCentre) adjacency() {}
func (Anywhere) adjacency()       {}

// ParseAdjacency returns the adjacency with the given name: "worker", "rack",
// "data-centre", or "" for Anywhere. It reports whether the name is known.
func ParseAdjacency(name string) (Adjacency, bool) {
	switch name {
	case "worker":
		return SameWorker{}, true
	case "rack":
		return SameRack{}, true
	case "data-centre":
		return SameDataCentre{}, true
	case "":
		return Anywhere{}, true
	}
	return nil, false
}

// A Shape describes a gang of tasks with equal requirements.
type Shape struct {
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// PerTask is the resources of one task.
	PerTask Resources `json:"each"`
	// AdjacencyName is the name of the adjacency, as ParseAdjacency takes it.
	AdjacencyName string `json:"adjacency"`
}

// Adjacency returns the adjacency that AdjacencyName names, or Anywhere if the
// name is unknown.
func (s Shape) Adjacency() Adjacency {
	a, ok := ParseAdjacency(s.AdjacencyName)
	if !ok {
		return Anywhere{}
	}
	return a
}

// Total returns the resources of all tasks together.
func (s Shape) Total() Resources {
	return s.PerTask.Times(s.Tasks)
}

// WithTasks returns a copy of s with n tasks.
func (s Shape) WithTasks(n int) Shape {
	s.Tasks = n
	return s
}

// A FieldError reports a field whose value is not allowed.
type FieldError struct {
	// Field is the name of the field in the caller's document.
	Field string
	// Problem describes which values are allowed or what is wrong.
	Problem string
}

// Error returns the name of the field and the problem.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Problem
}

// Check returns a *FieldError for the first field whose value is not allowed,
// or nil if the shape is valid.
func (s Shape) Check() *FieldError {
	_, known := ParseAdjacency(s.AdjacencyName)
	switch {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return newFieldError("tasks", "must be from 1 to 256")
	case s.PerTask.Accelerators < 0 || s.PerTask.Accelerators > maxAccelerators:
		return newFieldError("accelerators", "must be from 0 to 64")
	case s.PerTask.Cores < 0 || s.PerTask.Cores > maxCores:
		return newFieldError("cores", "must be from 0 to 1024")
	case s.PerTask.MemoryMB < 0 || s.PerTask.MemoryMB > maxMemoryMB:
		return newFieldError("memory-mb", "must be from 0 to 16777216")
	case s.PerTask == Resources{}:
		return newFieldError("each", "must ask for something")
	case !known:
		return newFieldError("adjacency", `must be "worker", "rack", "data-centre" or empty`)
	}
	return nil
}

const (
	maxAccelerators = 64
	maxCores        = 1024
	maxMemoryMB     = 16 << 20
)

func newFieldError(field, problem string) *FieldError {
	return &FieldError{
		Field:   field,
		Problem: problem,
	}
}
