package pool

import (
	"fmt"
	"slices"

	"github.com/plantainladder/plantainladder/shape"
)

// Limits of what an announcement may state. They are far above what any worker has,
// and keep sums over all workers from overflowing.
const (
	// maxIncarnation is the end of the year 9999 in milliseconds since 1970.
	maxIncarnation = 253_402_300_799_999
	// maxAmount bounds each resource of a capacity.
	maxAmount = 1_000_000_000
	// maxLabels and maxNameBytes bound the replicated record of a worker.
	maxLabels    = 64
	maxNameBytes = 256
)

// Check returns a *shape.FieldError for the first field whose value no worker can
// have, or nil.
func (w Worker) Check() *shape.FieldError {
	switch {
	case w.ID == "" || isTooLong(w.ID):
		return nameError("id")
	case w.Pool == "" || isTooLong(w.Pool):
		return nameError("pool")
	case w.DataCentre == "" || isTooLong(w.DataCentre):
		return nameError("data-centre")
	case isTooLong(w.Address):
		return nameError("address")
	case w.Incarnation < 1 || w.Incarnation > maxIncarnation:
		return &shape.FieldError{
			Field:   "born",
			Problem: "must be a time in milliseconds since 1970",
		}
	case w.Capacity.IsNegative() || !w.Capacity.FitsIn(maxCapacity):
		return &shape.FieldError{
			Field:   "capacity",
			Problem: fmt.Sprintf("must have amounts from 0 to %d", maxAmount),
		}
	case len(w.Labels) > maxLabels || slices.ContainsFunc(w.Labels, isTooLong):
		return &shape.FieldError{
			Field:   "labels",
			Problem: fmt.Sprintf("must be at most %d of at most %d bytes", maxLabels, maxNameBytes),
		}
	}
	return nil
}

var maxCapacity = ResourceVector{
	MilliCores:   maxAmount,
	MemoryMB:     maxAmount,
	Accelerators: maxAmount,
}

func nameError(field string) *shape.FieldError {
	return &shape.FieldError{
		Field:   field,
		Problem: fmt.Sprintf("must have 1 to %d bytes", maxNameBytes),
	}
}

func isTooLong(name string) bool {
	return len(name) > maxNameBytes
}
