package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// An orphan is a run that a worker lists although it is not placed there, such as one whose
// start the worker carried out late. It is stopped, and uses what it needs of the worker and of
// the limit of its organisation until a listing lacks it.
type orphan struct {
	// needs is the capacity that it uses: all of the worker's if its workflow is not known.
	needs pool.ResourceVector
	// lastStopAt is when the last Stop was sent; stopAckedAt is when one was acknowledged.
	lastStopAt  time.Time
	stopAckedAt time.Time
}

// withOrphans returns v with the orphans that its listing shows. Once the lease is over, the
// worker has killed them.
func (s *reconciliation) withOrphans(v workerView) workerView {
	if v.hasEnded || len(v.listed) == 0 && len(v.orphans) == 0 {
		return v
	}
	isExpired := v.clock.isKnown() && v.isLeaseExpired(s.now)
	var orphans map[workflow.RunKey]orphan
	for ref := range v.listed {
		if s.index.placedRuns[ref] || v.hasUncommittedEnd(ref) {
			continue
		}
		if isExpired {
			v = v.withoutListed(ref)
			continue
		}
		if orphans == nil {
			orphans = map[workflow.RunKey]orphan{}
		}
		o, isKnown := v.orphans[ref]
		if !isKnown {
			o.needs = s.needsOf(v, ref)
			s.record(DecisionRecord{
				Text:   "Worker reported a run that is not placed on it.",
				RunKey: ref,
				Worker: v.worker.ID,
				Reason: "stopped",
				Age:    s.now.Sub(v.listingSentAt),
			})
		}
		orphans[ref] = o
	}
	if !maps.Equal(orphans, v.orphans) {
		v.orphans, v.isChanged = orphans, true
	}
	return v
}

// needsOf returns what a run on a worker needs.
func (s *reconciliation) needsOf(v workerView, ref workflow.RunKey) pool.ResourceVector {
	w, ok := s.index.workflows[ref.Workflow]
	if !ok || ref.Step >= len(w.Spec.Steps) {
		return v.worker.Capacity
	}
	return w.Spec.Steps[ref.Step].PerTask
}

// stopOrphans sends a stop to each orphan until it is acknowledged, and again if the orphan is
// still listed long after that.
func (s *reconciliation) stopOrphans(v workerView) workerView {
	if v.hasEnded {
		return v
	}
	for _, ref := range v.orphanRuns() {
		o := v.orphans[ref]
		isStopping := !o.stopAckedAt.IsZero() && s.now.Sub(o.stopAckedAt) <= s.dispatcher.cfg.MaxStopDuration+time.Second
		if isStopping || s.now.Sub(o.lastStopAt) < stopRetryInterval {
			continue
		}
		o.lastStopAt = s.now
		v = v.withOrphan(ref, o)
		s.send(Stop{
			Target: s.target(v),
			RunKey: ref,
		})
	}
	return v
}

// orphanRuns returns the runs of the orphans, sorted.
func (v workerView) orphanRuns() []workflow.RunKey {
	return slices.SortedFunc(maps.Keys(v.orphans), func(a, b workflow.RunKey) int {
		return cmp.Or(
			cmp.Compare(a.Workflow, b.Workflow),
			cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step),
			cmp.Compare(a.Index, b.Index),
			cmp.Compare(a.Run, b.Run),
		)
	})
}

func (v workerView) withOrphan(ref workflow.RunKey, o orphan) workerView {
	v.isChanged = true
	v.orphans = maps.Clone(v.orphans)
	v.orphans[ref] = o
	return v
}

// withOrphanStopped returns v after a stop of an orphan was answered.
func (v workerView) withOrphanStopped(now time.Time, ref workflow.RunKey, result Result) workerView {
	o, ok := v.orphans[ref]
	if _, acknowledged := result.(Acknowledged); !ok || !acknowledged {
		return v
	}
	o.stopAckedAt = now
	return v.withOrphan(ref, o)
}

// awaitsOrphanListing reports whether an orphan may have ended since the last listing.
func (v workerView) awaitsOrphanListing() bool {
	for _, o := range v.orphans {
		if !o.stopAckedAt.IsZero() && !v.hasListingAfter(o.stopAckedAt) {
			return true
		}
	}
	return false
}

// orphansOf returns the number of orphans of a step on a worker.
func (v workerView) orphansOf(k workflow.TaskKey) (n int) {
	for ref := range v.orphans {
		if ref.Workflow == k.Workflow && ref.Occurrence == k.Occurrence && ref.Step == k.Step {
			n++
		}
	}
	return n
}

// orphanedTasks returns the tasks of which a worker runs an orphan.
func (s *reconciliation) orphanedTasks() map[workflow.TaskKey]bool {
	if s.orphaned != nil {
		return s.orphaned
	}
	s.orphaned = map[workflow.TaskKey]bool{}
	s.eachOrphan(func(_ workerView, ref workflow.RunKey, _ orphan) {
		s.orphaned[ref.TaskKey] = true
	})
	return s.orphaned
}

// eachOrphan calls f for each orphan of a worker that has not ended.
func (s *reconciliation) eachOrphan(f func(v workerView, ref workflow.RunKey, o orphan)) {
	for itr := s.dispatcher.views.Iterator(); !itr.Done(); {
		_, v, _ := itr.Next()
		if v.hasEnded {
			continue
		}
		for ref, o := range v.orphans {
			f(*v, ref, o)
		}
	}
}

// isOrphaned reports whether a run of the same task as t goes on as an orphan, so that t must
// not be started yet.
func (s *reconciliation) isOrphaned(v workerView, t workflow.PlacedTask) bool {
	for ref := range v.orphans {
		if ref.TaskKey == t.TaskKey {
			return true
		}
	}
	return s.orphanedTasks()[t.TaskKey]
}

// withOrphanUse returns what organisations use with that of the orphans.
func (s *reconciliation) withOrphanUse(used map[string]pool.ResourceVector) map[string]pool.ResourceVector {
	used = maps.Clone(used)
	s.eachOrphan(func(_ workerView, ref workflow.RunKey, o orphan) {
		if w, ok := s.index.workflows[ref.Workflow]; ok {
			used[w.Spec.Organisation] = used[w.Spec.Organisation].Plus(o.needs)
		}
	})
	return used
}

// orphanAllocations returns the orphans of a worker as runs that are being stopped.
func (s *reconciliation) orphanAllocations(x *stateIndex, v workerView) (list []allocation) {
	for _, ref := range v.orphanRuns() {
		w := x.workflows[ref.Workflow]
		list = append(list, allocation{
			task: workflow.PlacedTask{
				RunKey: ref,
				Placed: workflow.Placed{
					Worker:      v.worker.ID,
					Incarnation: v.worker.Incarnation,
				},
				StepSpec: workflow.Step{
					PerTask: v.orphans[ref].needs,
				},
			},
			organisation: w.Spec.Organisation,
			priority:     w.QueueSettings.Priority,
			endsAt:       s.now.Add(s.dispatcher.cfg.MaxStopDuration),
			isStopping:   true,
		})
	}
	return list
}
