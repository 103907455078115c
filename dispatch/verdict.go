package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/workflow"
)

// lossVerdicts returns the verdicts on silent losses of open workflows that can be
// given now.
func (s *reconciliation) lossVerdicts() (list []workflow.LossVerdict) {
	for _, l := range s.index.unresolvedLosses {
		fate, isKnown := s.fateOf(l.SilentLoss)
		if !isKnown {
			continue
		}
		list = append(list, workflow.LossVerdict{
			TaskKey:     l.TaskKey,
			Worker:      l.Worker,
			Incarnation: l.Incarnation,
			Fate:        fate,
		})
		s.recordInRound(DecisionRecord{
			Text: "It is decided whether the worker of a lost run had crashed.",
			RunKey: workflow.RunKey{
				TaskKey: l.TaskKey,
			},
			Worker: l.Worker,
			Reason: string(fate),
			Age:    s.now.Sub(l.At),
		})
	}
	return list
}

// fateOf returns what became of the worker of a silent loss, if that is known. A worker
// that had announced that it leaves has not crashed.
func (s *reconciliation) fateOf(l workflow.SilentLoss) (fate workflow.WorkerFate, isKnown bool) {
	v, ok := s.dispatcher.workerView(l.Worker)
	isNext := ok && v.worker.Incarnation > l.Incarnation
	isSame := ok && v.worker.Incarnation == l.Incarnation
	switch {
	case isNext && v.predecessor.hasLeft, isSame && v.hasEnded && v.worker.Leaving:
		return workflow.FateAlive, true
	case isNext, isSame && v.hasEnded:
		return workflow.FateCrashed, true
	case isSame && s.hasAnsweredAfter(v, l):
		return workflow.FateAlive, true
	}
	return workflow.FateUnknown, s.now.Sub(l.At) >= forgetAfter
}

// hasAnsweredAfter reports whether the worker has answered an order of this leader
// that was sent after the loss.
func (s *reconciliation) hasAnsweredAfter(v workerView, l workflow.SilentLoss) bool {
	return !v.aliveAt.IsZero() && !v.aliveAt.Before(s.lossTime(l))
}

// lossTime returns when a loss was recorded, or the start of the term if that was
// earlier or, by the clock of another leader, is yet to come.
func (s *reconciliation) lossTime(l workflow.SilentLoss) time.Time {
	if l.At.After(s.now) {
		return s.dispatcher.termStartedAt
	}
	return util.Later(l.At, s.dispatcher.termStartedAt)
}

// awaitsVerdict reports whether an answer of the worker is needed for the verdict on a
// silent loss.
func (s *reconciliation) awaitsVerdict(v workerView) bool {
	for _, l := range s.index.lossesByWorker[v.worker.ID] {
		if l.Incarnation == v.worker.Incarnation && !s.hasAnsweredAfter(v, l.SilentLoss) {
			return true
		}
	}
	return false
}
