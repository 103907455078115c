package replay

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/workflow"
)

// Timing of unreliable networks: an order counts as unanswered after
// answerTimeout, and a delayed order takes from minOrderDelay to maxOrderDelay.
const (
	answerTimeout = 700 * time.Millisecond
	maxOrderDelay = 12 * time.Second
	minOrderDelay = 2 * time.Second
)

// announce sends the worker's announcement to the dispatcher and schedules the
// next one.
func (w *simWorker) announce(now time.Duration) {
	if w.isShutDown {
		return
	}
	w.simulation.scheduleAt(now+announceInterval, w.announce)
	fault := w.activeFault(now)
	if w.isDown || fault.Partitioned || fault.LosesAnnouncements {
		return
	}
	w.announceSequence++
	r := dispatch.WorkerAnnounced{
		Worker:   w.announced,
		Sequence: w.announceSequence,
		ClockMS:  w.clock(now),
	}
	if fault.DelayedAnnouncements > 0 && w.simulation.rng.Float64() < fault.DelayedAnnouncements {
		w.simulation.scheduleAt(w.simulation.delayedArrival(now), func(now time.Duration) {
			w.simulation.receiveAnnouncement(now, w, r)
		})
		w.announceSequence++
		latest := r
		latest.Sequence = w.announceSequence
		w.simulation.receiveAnnouncement(now, w, latest)
		return
	}
	w.simulation.receiveAnnouncement(now, w, r)
}

// receiveAnnouncement commits an announcement of w that replaces the known one, and
// delivers it to the dispatcher.
func (sim *Simulation) receiveAnnouncement(now time.Duration, w *simWorker, r dispatch.WorkerAnnounced) {
	r.Worker.Sequence = r.Sequence
	known, ok := sim.state.PoolWorker(r.Worker.ID)
	if !ok || r.Worker.Supersedes(known) {
		sim.apply(now, plantainladder.Announce{
			Worker: r.Worker,
		})
		if r.Worker.Leaving && w.leavingSince == 0 {
			w.leavingSince = now
		}
	}
	sim.observe(r)
}

// delayedArrival draws when a message sent now arrives with a delay.
func (sim *Simulation) delayedArrival(now time.Duration) time.Duration {
	return now + minOrderDelay + time.Duration(sim.rng.Int64N(int64(maxOrderDelay-minOrderDelay)))
}

// readInventory delivers a reading of the inventory to the dispatcher.
func (sim *Simulation) readInventory() {
	r := dispatch.InventoryRead{
		StartedAt:  sim.at(sim.now),
		IsComplete: true,
		Running:    map[string]bool{},
	}
	for _, s := range sim.workers {
		r.Running[s.announced.ID] = s.isUp() && !s.isHidden
	}
	term := sim.term
	sim.scheduleAt(sim.now+2*networkDelay, func(time.Duration) {
		if term == sim.term {
			sim.observe(r)
		}
	})
}

func (sim *Simulation) observe(o dispatch.Observation) {
	sim.dispatcher = sim.dispatcher.With(sim.at(sim.now), o)
}

// sendOrder delivers an order to its worker and the answer to the dispatcher,
// subject to the worker's faults.
func (sim *Simulation) sendOrder(o dispatch.Order) {
	sent, term := sim.now, sim.term
	id, wait := targetOf(o)
	s := sim.workersByID[id]
	answer := func(now time.Duration, a dispatch.OrderCompleted) {
		a.SentAt = sim.at(sent)
		sim.scheduleAt(now+networkDelay, func(time.Duration) {
			if term == sim.term {
				sim.observe(a)
			}
		})
	}
	unanswered := dispatch.OrderCompleted{
		Order:  o,
		Result: dispatch.Unanswered{},
	}
	fault := s.activeFault(sent)
	switch {
	case s.isReplaced && !fault.Partitioned:
		answer(sent+2*networkDelay, dispatch.OrderCompleted{
			Order:  o,
			Result: dispatch.Replaced{},
		})
	case s.isDown && fault.IsSilent:
		answer(sent+answerTimeout+wait, unanswered)
	case s.isDown:
		answer(sent+2*networkDelay, dispatch.OrderCompleted{
			Order: o,
			Result: dispatch.Unanswered{
				IsUndelivered: true,
			},
		})
	case s.isShutDown || fault.Partitioned || fault.LosesOrders:
		answer(sent+answerTimeout+wait, unanswered)
	case fault.DelayedShare > 0 && sim.rng.Float64() < fault.DelayedShare:
		answer(sent+answerTimeout+wait, unanswered)
		// The worker's next incarnation takes the order as its own.
		sim.scheduleAt(sim.delayedArrival(sent), func(now time.Duration) {
			if s.isUp() && !s.activeFault(now).Partitioned {
				s.isDelayed = true
				s.handleOrder(now, o)
				s.isDelayed = false
			}
		})
	default:
		sim.scheduleAt(sent+networkDelay, func(now time.Duration) {
			sim.deliver(now, delivery{
				worker:      s,
				incarnation: s.announced.Incarnation,
				order:       o,
				sentAt:      sent,
				until:       now + wait,
				answer:      answer,
			})
		})
	}
}

// A delivery is an order that has reached an incarnation of a worker.
type delivery struct {
	worker      *simWorker
	incarnation int64
	order       dispatch.Order
	sentAt      time.Duration
	until       time.Duration
	answer      func(now time.Duration, a dispatch.OrderCompleted)
}

// deliver lets the worker handle an order. A renewal waits until a run ends or
// its time has passed. A delivery fails when the worker restarts.
func (sim *Simulation) deliver(now time.Duration, d delivery) {
	s := d.worker
	var a dispatch.OrderCompleted
	isReached := s.isUp() && !s.activeFault(now).Partitioned && s.announced.Incarnation == d.incarnation
	if isReached {
		a = s.handleOrder(now, d.order)
	}
	if !isReached || !s.isUp() {
		// The connection of a process that ends breaks at once, unless its machine lost power.
		failedAt, broken := now+answerTimeout, time.Duration(0)
		if fault := s.activeFault(now); s.isDown && !fault.IsSilent && !fault.Partitioned {
			failedAt, broken = now, now+networkDelay-d.sentAt
		}
		d.answer(failedAt, dispatch.OrderCompleted{
			Order: d.order,
			Result: dispatch.Unanswered{
				BrokenAfter: broken,
			},
		})
		return
	}
	_, isRenewal := d.order.(dispatch.Renew)
	if _, acknowledged := a.Result.(dispatch.Acknowledged); isRenewal && acknowledged && len(s.ended) == 0 && now < d.until {
		d.order = withoutLease(d.order)
		sim.scheduleAt(now+tickDuration, func(now time.Duration) {
			sim.deliver(now, d)
		})
		return
	}
	d.answer(now, a)
}

// withoutLease returns a renewal that does not extend the lease, so that one
// that waits extends it only once.
func withoutLease(o dispatch.Order) dispatch.Order {
	renewal, ok := o.(dispatch.Renew)
	if ok {
		renewal.LeaseUntil = 0
		return renewal
	}
	return o
}

func targetOf(o dispatch.Order) (id string, wait time.Duration) {
	switch o := o.(type) {
	case dispatch.Start:
		return o.Worker, 0
	case dispatch.Stop:
		return o.Worker, 0
	case dispatch.Renew:
		return o.Worker, o.MaxWait
	}
	return "", 0
}

// startRun records the start of a run and returns its simulated execution.
func (sim *Simulation) startRun(now time.Duration, s *simWorker, ref workflow.RunKey) *execution {
	a := sim.arrivals[ref.Workflow]
	step := a.Spec.Steps[ref.Step]
	sim.checkStart(now, s, ref)
	if ended, ok := sim.completedBy[ref.TaskKey]; ok {
		sim.isRestarted[ended] = true
	}
	if sim.running[ref.TaskKey] == nil {
		sim.running[ref.TaskKey] = map[workflow.RunKey]string{}
	}
	sim.running[ref.TaskKey][ref] = s.announced.ID
	if r := sim.records[ref.Workflow]; r.Start < 0 {
		r.Start = now
	}
	total := a.Work[ref.Step]
	if ref.Index%2 == 1 {
		total = time.Duration(float64(total) * (1 - a.OddTaskReduction))
	}
	if step.DataRack != "" && !s.announced.HasLabel(step.DataRack) {
		total = time.Duration(float64(total) * sim.cfg.CrossRackFactor)
	}
	return &execution{
		ref:       ref,
		remaining: total,
		total:     total,
		resources: step.PerTask,
		isGang:    step.IsGang,
		gangSize:  step.Tasks,
		startedAt: now,

		alwaysFails:   a.AlwaysFails,
		crashesWorker: a.Deadly.includes(ref),
		crashDelay:    a.Deadly.After,
	}
}

// recordAcknowledged records that the dispatcher acknowledged the end of a run.
func (sim *Simulation) recordAcknowledged(now time.Duration, ref workflow.RunKey) {
	sim.isAcknowledged[ref.TaskKey] = true
	if sim.isRestarted[ref] {
		sim.recordViolation(now, "the completion of %v is acknowledged after its task was started again", ref)
	}
}

// recordEnd records the end of a run. The other members of its gang end with
// it.
func (sim *Simulation) recordEnd(now time.Duration, ref workflow.RunKey, reason workflow.EndReason) {
	delete(sim.running[ref.TaskKey], ref)
	sim.endedRuns[reason]++
	if reason == workflow.EndedDone {
		sim.completedBy[ref.TaskKey] = ref
	}
	if reason == workflow.EndedFailed {
		sim.recordFailure(ref)
	}
	step := sim.arrivals[ref.Workflow].Spec.Steps[ref.Step]
	if !step.IsGang || reason == workflow.EndedGangIncomplete {
		return
	}
	if reason != workflow.EndedDone {
		reason = workflow.EndedGangAborted
	}
	for i := range step.Tasks {
		member := ref
		member.Index = i
		if workerID, ok := sim.running[member.TaskKey][member]; ok && !sim.workersByID[workerID].activeFault(now).Partitioned {
			sim.workersByID[workerID].endRun(now, member, reason)
		}
	}
}

// isGangRunning reports whether each task of a gang is running or has
// completed.
func (sim *Simulation) isGangRunning(ref workflow.RunKey, members int) bool {
	n := 0
	for i := range members {
		k := ref.TaskKey
		k.Index = i
		member := workflow.RunKey{
			TaskKey: k,
			Run:     ref.Run,
		}
		if _, ok := sim.running[k][member]; ok || sim.completedBy[k].Run > 0 {
			n++
		}
	}
	return n == members
}

// isGangWorkDone reports whether all running tasks of a gang have finished
// their work. Tasks that finish early wait for the others.
func (sim *Simulation) isGangWorkDone(ref workflow.RunKey, members int) bool {
	for i := range members {
		member := ref
		member.Index = i
		workerID, ok := sim.running[member.TaskKey][member]
		if !ok {
			continue
		}
		if e, ok := sim.workersByID[workerID].runs[member]; ok && e.remaining > 0 {
			return false
		}
	}
	return true
}

// savesCheckpoints reports whether the tasks of a run's step save checkpoints.
func (sim *Simulation) savesCheckpoints(ref workflow.RunKey) bool {
	return sim.arrivals[ref.Workflow].Spec.Steps[ref.Step].Checkpointable
}
