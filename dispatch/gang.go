package dispatch

import "github.com/plantainladder/plantainladder/workflow"

// doom notes that a run of a gang cannot succeed any more, because the member t
// will be stopped or was lost.
func (s *reconciliation) doom(t workflow.PlacedTask) {
	if t.StepSpec.IsGang {
		s.doomed = append(s.doomed, gangRunOf(t))
	}
}

// stopDoomedGangs stops the other members of gangs that cannot succeed any more.
// It does not wait until the end of the first member is known, which takes a
// whole lease if its worker does not answer: the others would hold their
// capacity until then, or end as members of an incomplete gang.
func (s *reconciliation) stopDoomedGangs() {
	for _, k := range s.doomed {
		for _, t := range s.index.gangMembers[k] {
			s.stopMember(t)
		}
	}
	s.doomed = nil
}

func (s *reconciliation) stopMember(t workflow.PlacedTask) {
	v, ok := s.dispatcher.workerView(t.Worker)
	r := v.runs[t.RunKey]
	if !ok || v.hasEnded || r.pendingStop != "" || v.hasUncommittedEnd(t.RunKey) {
		return
	}
	r.pendingStop = reasonGangBroken
	s.recordStop(v, t, r)
	s.dispatcher = s.dispatcher.withView(s.stopRun(v, t, r))
}
