package dispatch

import (
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// hasCapacityFor reports whether a start of t keeps the worker within its capacity,
// which may have shrunk since t was placed. A start of a listed run changes nothing.
func (s *reconciliation) hasCapacityFor(v workerView, t workflow.PlacedTask) bool {
	if _, isListed := v.listed[t.RunKey]; isListed {
		return true
	}
	used := t.StepSpec.PerTask
	for _, other := range s.index.placedByWorker[t.Worker] {
		if other.RunKey != t.RunKey && v.mayHoldCapacity(other) {
			used = used.Plus(other.StepSpec.PerTask)
		}
	}
	return used.FitsIn(s.capacity(v))
}

// mayHoldCapacity reports whether a placed run may have been started on the worker
// and may not have ended there yet.
func (v workerView) mayHoldCapacity(t workflow.PlacedTask) bool {
	r := v.runs[t.RunKey]
	mayHaveStarted := !r.isOwnPlacement || r.startsSent > 0
	return mayHaveStarted && !v.hasUncommittedEnd(t.RunKey)
}

// capacity returns the capacity that the last committed announcement of a worker
// states.
func (s *reconciliation) capacity(v workerView) pool.ResourceVector {
	if w, ok := s.index.workers[v.worker.ID]; ok && w.Incarnation == v.worker.Incarnation {
		return w.Capacity
	}
	return v.worker.Capacity
}
