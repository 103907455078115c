package dispatch

import (
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// runningUse is what the organisations may have running at a point of a Reconcile.
type runningUse struct {
	byOrganisation map[string]pool.ResourceVector
	// counted holds the runs in it, gangs as a whole.
	counted map[gangRun]bool
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
	k, n, use := gangRunOf(t), 1, t.StepSpec.PerTask
	if t.StepSpec.IsGang {
		n = len(s.index.gangMembers[k])
		use = use.Times(n)
	}
	others := s.running.byOrganisation[org]
	if s.running.counted[k] {
		others = others.Minus(use)
	}
	if fitWithin(limit, s.dispatcher.cfg.LimitOverage, others, t.StepSpec.PerTask, n, n) == 0 {
		return false
	}
	s.running.counted[k] = true
	s.running.byOrganisation[org] = others.Plus(use)
	return true
}

// newRunningUse counts the runs that may have been started and may not have ended. The runs
// of the worker that is being reconciled count as they were before: its starts of this pass
// are added by isWithinLimit.
func (s *reconciliation) newRunningUse() *runningUse {
	u := &runningUse{
		byOrganisation: map[string]pool.ResourceVector{},
		counted:        map[gangRun]bool{},
	}
	for id, tasks := range s.index.placedByWorker {
		v, ok := s.dispatcher.workerView(id)
		for _, t := range tasks {
			k := gangRunOf(t)
			if u.counted[k] || ok && !v.mayHoldCapacity(t) {
				continue
			}
			u.counted[k] = true
			use := t.StepSpec.PerTask
			if t.StepSpec.IsGang {
				use = use.Times(len(s.index.gangMembers[k]))
			}
			org := s.index.workflows[t.Workflow].Spec.Organisation
			u.byOrganisation[org] = u.byOrganisation[org].Plus(use)
		}
	}
	return u
}
