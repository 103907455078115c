package dispatch

import (
	"slices"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// runningUse is what the organisations may have running at a point of a Reconcile.
type runningUse struct {
	byOrganisation map[string]pool.ResourceVector
	// excluded holds the placed runs that are not in it, gangs as a whole.
	excluded map[gangRun]bool
}

// isWithinLimit reports whether a start of t keeps what its organisation may have running
// within its limit, which may have been lowered since t was placed, or since a start was sent
// that the worker has not carried out. A gang counts as a whole, so that it starts with all
// of its members or with none. A start of a listed run changes nothing.
func (s *reconciliation) isWithinLimit(v workerView, t workflow.PlacedTask) bool {
	org := s.index.workflows[t.Workflow].Spec.Organisation
	limit := s.state.LimitOf(org)
	if _, isListed := v.listed[t.RunKey]; limit.IsZero() || isListed {
		return true
	}
	if s.running == nil {
		s.running = s.newRunningUse()
	}
	k, n, use := gangRunOf(t), 1, s.gangUse(t)
	if t.StepSpec.IsGang {
		n = len(s.index.gangMembers[k])
	}
	others := s.running.byOrganisation[org]
	if !s.running.excluded[k] {
		others = others.Minus(use)
	}
	if fitWithin(limit, s.dispatcher.cfg.LimitOverage, others, t.StepSpec.PerTask, n, n) == 0 {
		return false
	}
	delete(s.running.excluded, k)
	s.running.byOrganisation[org] = others.Plus(use)
	return true
}

// newRunningUse returns the use of the orphans and of the placed runs less those that have not been started or
// have ended, of which there are few. The runs of the worker that is being reconciled count as
// they were before: its starts of this pass are added by isWithinLimit.
func (s *reconciliation) newRunningUse() *runningUse {
	u := &runningUse{
		byOrganisation: s.withOrphanUse(s.index.used),
		excluded:       map[gangRun]bool{},
	}
	for itr := s.dispatcher.views.Iterator(); !itr.Done(); {
		id, v, _ := itr.Next()
		if v.mayHoldCapacityForAll() {
			continue
		}
		for _, t := range s.index.placedByWorker[id] {
			k := gangRunOf(t)
			if u.excluded[k] || v.mayHoldCapacity(t) || s.mayAnyHoldCapacity(s.index.gangMembers[k]) {
				continue
			}
			u.excluded[k] = true
			org := s.index.workflows[t.Workflow].Spec.Organisation
			u.byOrganisation[org] = u.byOrganisation[org].Minus(s.gangUse(t))
		}
	}
	return u
}

// mayHoldCapacityForAll reports whether mayHoldCapacity holds for each run on the worker.
func (v workerView) mayHoldCapacityForAll() bool {
	if len(v.uncommittedEnds) > 0 {
		return false
	}
	for _, r := range v.runs {
		if !r.mayHaveStarted() {
			return false
		}
	}
	return true
}

// mayAnyHoldCapacity reports whether one of the placed members of a gang may have been
// started and may not have ended yet.
func (s *reconciliation) mayAnyHoldCapacity(members []workflow.PlacedTask) bool {
	return slices.ContainsFunc(members, func(t workflow.PlacedTask) bool {
		v, ok := s.dispatcher.workerView(t.Worker)
		return !ok || v.mayHoldCapacity(t)
	})
}

// gangUse returns what a placed run uses, a gang as a whole.
func (s *reconciliation) gangUse(t workflow.PlacedTask) pool.ResourceVector {
	if t.StepSpec.IsGang {
		return t.StepSpec.PerTask.Times(len(s.index.gangMembers[gangRunOf(t)]))
	}
	return t.StepSpec.PerTask
}
