package dispatch

import (
	"maps"
	"slices"
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/workflow"
)

// A DecisionRecord is a log record of a scheduling decision.
type DecisionRecord struct {
	// Text is the message, a short sentence.
	Text string
	// RunKey is the run that the decision is about; empty for none.
	RunKey workflow.RunKey
	// Worker is the ID of the worker that it is about; empty for none.
	Worker string
	// Reason is the cause, or the detail that the text does not state, such as an
	// address, an organisation or a status.
	Reason string
	// Age is the time that matters to the text: since the submission of a
	// workflow, since the last contact with a worker, since a listing or a round
	// was sent, or since the leader's term began. It is zero for none.
	Age time.Duration
	// Tasks is the number of tasks that the decision is about; zero for one.
	Tasks int
	// Queue is the queue of the workflow; empty if the decision is about a
	// single run.
	Queue string
	// CompleteBy is when the workflow should complete; the zero time if that
	// played no part.
	CompleteBy time.Time
}

// A Plan is the result of a Reconcile.
type Plan struct {
	// Orders are to be sent to workers.
	Orders []Order
	// ReadsInventory is true if the platform's inventory is to be read. The result
	// comes back as InventoryRead.
	ReadsInventory bool
	// Round is to be proposed to the group; nil for none.
	Round *plantainladder.Round
	// DecisionRecords are to be logged.
	DecisionRecords []DecisionRecord
	// RoundRecords holds the decisions that are in force only once the round is
	// committed. They are to be logged then.
	RoundRecords []DecisionRecord
}

// A reconciliation is the mutable working state of one call of Reconcile.
type reconciliation struct {
	dispatcher Dispatcher
	now        time.Time
	state      ClusterState
	index      *stateIndex
	plan       Plan
	ends       []workflow.RunEnd
	// doomed holds runs of gangs of which a member will be stopped or was lost.
	doomed []gangRun
	// newSamples holds the evidence of workers' speeds that was found in this pass.
	newSamples []newSample
	// slowestMembers holds the results of slowestMember during placement, which asks for each
	// member of a gang; nil before, since the views of workers may still change.
	slowestMembers map[gangRun]float64
	// orphaned holds the tasks of which a worker runs an orphan; nil until one is asked for.
	orphaned map[workflow.TaskKey]bool
	// byAddress holds the IDs of the committed workers by address; nil until one is asked for.
	byAddress map[string][]string
	// running is what the organisations may have running; nil until a limit asks for it.
	running *runningUse
}

// Reconcile compares the committed state with what is known of the workers. It
// returns the updated dispatcher and a plan: the orders that are due, the runs
// that have ended and the new placements. The function after returns the state
// as it will be once a round is committed.
func (d Dispatcher) Reconcile(now time.Time, state ClusterState, after func(r plantainladder.Round) ClusterState) (Dispatcher, Plan) {
	notes := d.decisionRecords
	d.isDirty, d.decisionRecords = false, nil
	s := &reconciliation{
		dispatcher: d,
		now:        now,
		state:      state,
		index:      d.index,
	}
	if s.index == nil || s.index.version != state.Version {
		s.index = newStateIndex(state)
		s.dispatcher.index = s.index
	}
	s.plan.DecisionRecords = notes
	s.adoptSpeeds()
	s.settleRound()
	s.dropRemovedWorkers()
	for _, id := range s.activeWorkerIDs() {
		s.reconcileWorker(id)
	}
	s.stopDoomedGangs()
	s.requestInventory()
	s.reportHeldRuns()
	if !s.dispatcher.HasPendingRound() {
		s.proposeRound(after)
	}
	s.learnSpeeds()
	return s.dispatcher, s.plan
}

// settleRound checks whether the pending round was committed, and if so
// advances the committed sequences and records the placements as this leader's
// own. A round that takes longer than roundTimeout is dropped, and its contents
// are proposed again.
func (s *reconciliation) settleRound() {
	p := s.dispatcher.pending
	if p == nil {
		return
	}
	if s.state.LastRound != p.id {
		if s.now.Sub(p.proposedAt) > roundTimeout {
			s.dispatcher.pending = nil
			s.record(DecisionRecord{
				Text:   "Round of workflow decisions was not committed in time; it is proposed again.",
				Reason: "proposed-again",
				Age:    s.now.Sub(p.proposedAt),
			})
		}
		return
	}
	s.dispatcher.pending = nil
	for key, n := range p.committedSequences {
		if v, ok := s.dispatcher.workerView(key.id); ok && v.worker.Incarnation == key.incarnation {
			s.dispatcher = s.dispatcher.withView(v.withCommittedSequence(n))
		}
	}
	for _, placement := range p.placements {
		v, ok := s.dispatcher.workerView(placement.Worker)
		switch {
		case !ok:
		case v.worker.Incarnation == placement.Incarnation:
			s.dispatcher = s.dispatcher.withView(v.withRun(placement.RunKey, runState{
				isOwnPlacement: true,
				placedAt:       s.now,
			}))
		default:
			s.dispatcher = s.dispatcher.withView(v.withLatePlacement(placement.RunKey))
		}
	}
}

// dropRemovedWorkers drops the views of workers without placed tasks whose
// announcements are not in the committed state any more.
func (s *reconciliation) dropRemovedWorkers() {
	for itr := s.dispatcher.views.Iterator(); !itr.Done(); {
		id, _, _ := itr.Next()
		if _, isCommitted := s.index.workers[id]; !isCommitted && len(s.index.placedByWorker[id]) == 0 {
			s.dispatcher.views = s.dispatcher.views.Delete(id)
		}
	}
}

// activeWorkerIDs returns, sorted, the workers with placed tasks or with
// anything left to tell them or to commit.
func (s *reconciliation) activeWorkerIDs() []string {
	ids := map[string]bool{}
	for id := range s.index.placedByWorker {
		ids[id] = true
	}
	for itr := s.dispatcher.views.Iterator(); !itr.Done(); {
		if id, v, _ := itr.Next(); !v.isIdle() || s.needsProbe(*v) {
			ids[id] = true
		}
	}
	for _, id := range s.idleToFence() {
		ids[id] = true
	}
	return slices.Sorted(maps.Keys(ids))
}

// reconcileWorker decides which orders one worker gets.
func (s *reconciliation) reconcileWorker(id string) {
	tasks := s.index.placedByWorker[id]
	v, ok := s.dispatcher.workerView(id)
	if !ok {
		w, known := s.index.workers[id]
		if !known {
			s.endLostRuns(tasks)
			return
		}
		v = newWorkerView(s.now, w)
		v.isChanged = true
	}
	v = s.withCommittedIncarnation(v)
	v = v.withPredecessorRuns(tasks, s.index.workers[id])
	v = v.withOnlyRuns(func(ref workflow.RunKey) bool {
		return s.index.placedRuns[ref]
	})
	v = s.withOrphans(v)
	for _, t := range tasks {
		v = s.reconcileRun(v, t)
	}
	v = s.stopOrphans(v)
	v = s.renewLease(v, tasks)
	if v.isChanged {
		s.dispatcher = s.dispatcher.withView(v)
	}
}

// withCommittedIncarnation returns the view of the committed incarnation of a worker if v is
// that of an earlier one, which has ended. The announcement may be committed before the
// dispatcher hears of it. An order for the earlier incarnation would have the fence of the
// committed one, which would carry it out as its own.
func (s *reconciliation) withCommittedIncarnation(v workerView) workerView {
	w, ok := s.index.workers[v.worker.ID]
	if !ok || w.Incarnation <= v.worker.Incarnation {
		return v
	}
	s.record(DecisionRecord{
		Text:   "A new incarnation of the worker was committed before it announced itself here.",
		Worker: w.ID,
		Reason: w.Address,
		Age:    s.now.Sub(v.lastContact),
	})
	next := v.withSuccessor(newWorkerView(s.now, w))
	next.isChanged = true
	return next
}

// maxInheritedLease is the longest that a lease granted by an earlier leader
// can remain in force, on the leader's clock. It allows for the slowest worker
// clock.
func (s *reconciliation) maxInheritedLease() time.Duration {
	return s.dispatcher.cfg.MaxLeaseDuration*100/minClockRatePercent + leaseMargin + time.Second
}

// endLostRuns ends the runs on a worker that is neither known nor registered.
func (s *reconciliation) endLostRuns(tasks []workflow.PlacedTask) {
	for _, t := range tasks {
		s.end(t, workflow.RunEnd{
			RunKey:    t.RunKey,
			EndReason: workflow.EndedLost,
		}, "worker-unknown", s.now.Sub(s.dispatcher.termStartedAt))
	}
}

func (s *reconciliation) end(t workflow.PlacedTask, e workflow.RunEnd, reason string, age time.Duration) {
	s.doom(t)
	e.IsStalled = reason == string(reasonStalled)
	s.ends = append(s.ends, e)
	if s.dispatcher.HasPendingRound() {
		return
	}
	s.recordInRound(DecisionRecord{
		Text:   endText(e),
		RunKey: t.RunKey,
		Worker: t.Worker,
		Reason: reason,
		Age:    age,
	})
}

func (s *reconciliation) record(n DecisionRecord) {
	s.plan.DecisionRecords = append(s.plan.DecisionRecords, n)
}

// recordInRound records a decision that is in force once the round is committed.
func (s *reconciliation) recordInRound(n DecisionRecord) {
	s.plan.RoundRecords = append(s.plan.RoundRecords, n)
}

func (s *reconciliation) target(v workerView) Target {
	return Target{
		Worker:      v.worker.ID,
		Incarnation: v.worker.Incarnation,
		Address:     v.worker.Address,
		Fence:       s.fenceOf(v),
	}
}

func (s *reconciliation) send(o Order) {
	s.plan.Orders = append(s.plan.Orders, o)
}

// proposeRound collects everything that is to be committed into a round: ended
// runs, forgotten workers and new placements.
func (s *reconciliation) proposeRound(after func(r plantainladder.Round) ClusterState) {
	r := plantainladder.Round{
		ID:      s.dispatcher.lastRoundID + 1,
		RunEnds: s.ends,
	}
	committedSequences := map[workerIncarnation]uint64{}
	for itr := s.dispatcher.views.Iterator(); !itr.Done(); {
		id, v, _ := itr.Next()
		key := workerIncarnation{
			id:          id,
			incarnation: v.worker.Incarnation,
		}
		for _, f := range v.uncommittedEnds {
			committedSequences[key] = max(committedSequences[key], f.Sequence)
			if s.index.placedRuns[f.RunKey] {
				e := f.RunEnd
				e.IsStalled = e.EndReason == workflow.EndedStopped && v.runs[f.RunKey].pendingStop == reasonStalled
				r.RunEnds = append(r.RunEnds, e)
				s.recordRunEnd(id, f)
				s.learnRunTime(*v, f)
				s.sampleEnd(*v, f)
			}
		}
	}
	r.LossVerdicts = s.lossVerdicts()
	r.RemovedWorkers = s.forgottenWorkers()
	next := s.state
	if len(r.RunEnds)+len(r.LossVerdicts) > 0 {
		next = after(r)
		next.Version = 0
	}
	r.Placements = s.place(next)
	if r.IsEmpty() && len(committedSequences) == 0 {
		return
	}
	if r.IsEmpty() {
		// None of the ended runs is still placed, so there is nothing to
		// commit.
		for key, n := range committedSequences {
			v, _ := s.dispatcher.workerView(key.id)
			s.dispatcher = s.dispatcher.withView(v.withCommittedSequence(n))
		}
		return
	}
	r.Speeds = s.changedSpeeds()
	s.dispatcher.lastRoundID++
	s.dispatcher.pending = &pendingRound{
		id:                 r.ID,
		proposedAt:         s.now,
		committedSequences: committedSequences,
		placements:         r.Placements,
	}
	s.plan.Round = &r
}

func (s *reconciliation) recordRunEnd(worker string, f EndedRun) {
	s.recordInRound(DecisionRecord{
		Text:   "Run has ended.",
		RunKey: f.RunKey,
		Worker: worker,
		Reason: string(f.EndReason),
	})
}

// forgetAfter is how long a worker without placed tasks is remembered after its
// last contact.
const forgetAfter = 30 * time.Second

// forgottenWorkers returns the workers to remove from the state, and drops
// their views.
func (s *reconciliation) forgottenWorkers() (ids []string) {
	for _, w := range s.state.Workers {
		if len(s.index.placedByWorker[w.ID]) > 0 || s.now.Sub(s.dispatcher.termStartedAt) < forgetAfter {
			continue
		}
		v, ok := s.dispatcher.workerView(w.ID)
		if ok && s.now.Sub(v.lastContact) < forgetAfter {
			continue
		}
		ids = append(ids, w.ID)
		s.dispatcher.views = s.dispatcher.views.Delete(w.ID)
	}
	return ids
}
