// Package shape describes what a gang of tasks needs: resources for each task
// and how near to each other the tasks must run. Contracts guarantee shapes
// and jobs ask for them.
package shape

// MaxTasks is the largest gang.
const MaxTasks = 256

// Resources is an amount of a worker's capacity.
type Resources struct {
	// Accelerators is a number of devices.
	Accelerators int `json:"accelerators"`
	// Cores is a number of processor cores.
	Cores int `json:"cores"`
	// MemoryMB is memory in megabytes.
	MemoryMB int `json:"memory-mb"`
}

// Plus returns r with other added.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		Accelerators: r.Accelerators + other.Accelerators,
		Cores:        r.Cores + other.Cores,
		MemoryMB:     r.MemoryMB + other.MemoryMB,
	}
}

// Minus returns r with other taken away.
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

// FitsIn reports whether r fits into free.
func (r Resources) FitsIn(free Resources) bool {
	return r.Accelerators <= free.Accelerators && r.Cores <= free.Cores && r.MemoryMB <= free.MemoryMB
}

// FitCount returns how many times r fits into free, at most limit.
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

// An Adjacency says how near to each other the tasks of a gang run. It is one
// of SameWorker, SameRack, SameDataCentre and Anywhere.
type Adjacency interface {
	adjacency()
}

// SameWorker puts all tasks on one worker.
type SameWorker struct{}

// SameRack puts all tasks on workers of one rack.
type SameRack struct{}

// SameDataCentre puts all tasks in one data centre.
type SameDataCentre struct{}

// Anywhere puts no bound on distance.
type Anywhere struct{}

func (SameWorker) adjacency()     {}
func (SameRack) adjacency()       {}
func (SameDataCentre) adjacency() {}
func (Anywhere) adjacency()       {}

// ParseAdjacency returns the adjacency with the given name: "worker", "rack",
// "data-centre", or "" for none. It reports whether the name is known.
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

// A Shape is a gang of equal tasks.
type Shape struct {
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// PerTask is what one task needs.
	PerTask Resources `json:"each"`
	// AdjacencyName is the name of the adjacency; see ParseAdjacency.
	AdjacencyName string `json:"adjacency"`
}

// Adjacency returns the shape's adjacency; an unknown name gives Anywhere.
func (s Shape) Adjacency() Adjacency {
	a, ok := ParseAdjacency(s.AdjacencyName)
	if !ok {
		return Anywhere{}
	}
	return a
}

// Total returns what all tasks need together.
func (s Shape) Total() Resources {
	return s.PerTask.Times(s.Tasks)
}

// WithTasks returns s with another number of tasks.
func (s Shape) WithTasks(n int) Shape {
	s.Tasks = n
	return s
}

// A FieldError names a field of a record and what is wrong with it.
type FieldError struct {
	// Field is the field's name as callers write it.
	Field string
	// Problem says what is wrong.
	Problem string
}

// Error returns the field and its problem.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Problem
}

// Check returns a *FieldError for the first field that is out of bounds, nil
// for none.
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
