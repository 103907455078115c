package dispatch

import (
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/workflow"
)

// hasCapacityFor reports whether a start of t certainly keeps the worker within its
// capacity, which may have shrunk since t was placed, beside runs that are not placed there,
// and within the most tasks of the step that a worker may run. A start of a listed run changes
// nothing.
func (s *reconciliation) hasCapacityFor(v workerView, t workflow.PlacedTask) bool {
	if _, isListed := v.listed[t.RunKey]; isListed {
		return true
	}
	if s.missesAnnouncements(v) {
		return false
	}
	used, ofStep := t.StepSpec.PerTask, 1+v.orphansOf(t.TaskKey)
	for _, other := range s.index.placedByWorker[t.Worker] {
		if other.RunKey == t.RunKey || !v.mayHoldCapacity(other) {
			continue
		}
		used = used.Plus(other.StepSpec.PerTask)
		if other.Workflow == t.Workflow && other.Occurrence == t.Occurrence && other.Step == t.Step {
			ofStep++
		}
	}
	for _, o := range v.orphans {
		used = used.Plus(o.needs)
	}
	if most := t.StepSpec.MaxPerWorker; most > 0 && ofStep > most {
		return false
	}
	return used.FitsIn(v.capacity(s.index.workers[t.Worker]))
}

// missesAnnouncements reports whether this leader has led for long enough to know the
// worker's capacity, but does not.
func (s *reconciliation) missesAnnouncements(v workerView) bool {
	since := util.Later(v.announcedAt, s.dispatcher.termStartedAt)
	return s.now.Sub(util.Later(since, v.firstSeenAt)) >= maxMissedAnnouncements*s.dispatcher.cfg.AnnounceInterval
}

// mayHoldCapacity reports whether a placed run may have been started on the worker
// and may not have ended there yet.
func (v workerView) mayHoldCapacity(t workflow.PlacedTask) bool {
	return v.runs[t.RunKey].mayHaveStarted() && !v.hasUncommittedEnd(t.RunKey)
}

// capacity returns the smaller of the capacities that the committed and the newest
// announcement of a worker state. An announcement that arrives late may have been
// committed after a newer one, since it has different content.
func (v workerView) capacity(committed pool.Worker) pool.ResourceVector {
	if committed.Incarnation != v.worker.Incarnation {
		return v.worker.Capacity
	}
	return committed.Capacity.Min(v.worker.Capacity)
}
