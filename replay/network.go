package replay

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/workflow"
)

const (
	silentAfter = 700 * time.Millisecond
	latest      = 12 * time.Second
	earliest    = 2 * time.Second
)

// report lets a worker announce itself again and again.
func (w *simWorker) report(now time.Duration) {
	if w.gone {
		return
	}
	w.world.later(now+reportEvery, w.report)
	if w.trouble(now).Partitioned {
		return
	}
	w.sequence++
	r := dispatch.WorkerAnnounced{
		Worker:   w.pool,
		Sequence: w.sequence,
		ClockMS:  w.clock(now),
	}
	known, ok := w.world.state.PoolWorker(w.pool.ID)
	if !ok || w.pool.Supersedes(known) {
		w.world.apply(now, plantainladder.Announce{
			Worker: w.pool,
		})
		if w.pool.Leaving && w.leavingSince == 0 {
			w.leavingSince = now
		}
	}
	w.world.observe(r)
}

func (w *Simulation) observe(o dispatch.Observation) {
	w.board = w.board.With(w.at(w.now), o)
}

// send carries an order to its worker and the answer back.
func (w *Simulation) send(o dispatch.Order) {
	sent, term := w.now, w.term
	id, wait := addressee(o)
	s := w.byID[id]
	answer := func(now time.Duration, a dispatch.OrderCompleted) {
		a.SentAt = w.at(sent)
		w.later(now+tripTakes, func(time.Duration) {
			if term == w.term {
				w.observe(a)
			}
		})
	}
	silent := dispatch.OrderCompleted{
		Order:  o,
		Result: dispatch.Unanswered{},
	}
	t := s.trouble(sent)
	switch {
	case s.gone || t.Partitioned:
		answer(sent+silentAfter+wait, silent)
	case t.DelayedShare > 0 && w.rng.Float64() < t.DelayedShare:
		answer(sent+silentAfter+wait, silent)
		at := sent + earliest + time.Duration(w.rng.Int64N(int64(latest-earliest)))
		w.later(at, func(now time.Duration) {
			if !s.gone && !s.trouble(now).Partitioned {
				s.isDelayed = true
				s.obey(now, o)
				s.isDelayed = false
			}
		})
	default:
		w.later(sent+tripTakes, func(now time.Duration) {
			w.deliver(now, delivery{
				worker: s,
				born:   s.pool.Incarnation,
				order:  o,
				until:  now + wait,
				answer: answer,
			})
		})
	}
}

// A delivery is an order that has reached a life of a worker.
type delivery struct {
	worker *simWorker
	born   int64
	order  dispatch.Order
	until  time.Duration
	answer func(now time.Duration, a dispatch.OrderCompleted)
}

// deliver lets a worker obey; a hold waits for an end until a time. It breaks
// off with the life that it reached.
func (w *Simulation) deliver(now time.Duration, d delivery) {
	s := d.worker
	if s.gone || s.trouble(now).Partitioned || s.pool.Incarnation != d.born {
		d.answer(now+silentAfter, dispatch.OrderCompleted{
			Order:  d.order,
			Result: dispatch.Unanswered{},
		})
		return
	}
	a := s.obey(now, d.order)
	_, isHold := d.order.(dispatch.Renew)
	if _, obeyed := a.Result.(dispatch.Acknowledged); isHold && obeyed && len(s.finished) == 0 && now < d.until {
		d.order = withoutLease(d.order)
		w.later(now+step, func(now time.Duration) {
			w.deliver(now, d)
		})
		return
	}
	d.answer(now, a)
}

// withoutLease keeps a hold that waits from renewing the lease again.
func withoutLease(o dispatch.Order) dispatch.Order {
	h, ok := o.(dispatch.Renew)
	if ok {
		h.LeaseUntil = 0
		return h
	}
	return o
}

func addressee(o dispatch.Order) (id string, wait time.Duration) {
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

// begin notes the start of a run.
func (w *Simulation) begin(now time.Duration, s *simWorker, ref workflow.RunKey) *execution {
	a := w.arrivals[ref.Workflow]
	terms := a.Spec.Steps[ref.Step]
	w.checkStart(now, s, ref)
	if ended, ok := w.done[ref.TaskKey]; ok {
		w.again[ended] = true
	}
	if w.running[ref.TaskKey] == nil {
		w.running[ref.TaskKey] = map[workflow.RunKey]string{}
	}
	w.running[ref.TaskKey][ref] = s.pool.ID
	if r := w.records[ref.Workflow]; r.StartedAt < 0 {
		r.StartedAt = now
	}
	total := a.Work[ref.Step]
	if ref.Index%2 == 1 {
		total = time.Duration(float64(total) * (1 - a.OddTaskReduction))
	}
	if terms.DataRack != "" && !s.pool.HasLabel(terms.DataRack) {
		total = time.Duration(float64(total) * w.cfg.CrossRackFactor)
	}
	return &execution{
		ref:     ref,
		left:    total,
		total:   total,
		each:    terms.PerTask,
		isGang:  terms.IsGang,
		members: terms.Tasks,
		since:   now,

		isHopeless: a.AlwaysFails,
	}
}

// noted takes note of an end that was acknowledged.
func (w *Simulation) noted(now time.Duration, ref workflow.RunKey) {
	w.isNoted[ref.TaskKey] = true
	if w.again[ref] {
		w.fault(now, "%v started again after an end that is noted now", ref)
	}
}

// ended takes note of the end of a run. The other members of a gang end with it.
func (w *Simulation) ended(now time.Duration, ref workflow.RunKey, how workflow.EndReason) {
	delete(w.running[ref.TaskKey], ref)
	if how == workflow.EndedDone {
		w.done[ref.TaskKey] = ref
	}
	terms := w.arrivals[ref.Workflow].Spec.Steps[ref.Step]
	if !terms.IsGang || how == workflow.EndedGangIncomplete {
		return
	}
	if how != workflow.EndedDone {
		how = workflow.EndedGangAborted
	}
	for i := range terms.Tasks {
		member := ref
		member.Index = i
		if where, ok := w.running[member.TaskKey][member]; ok && !w.byID[where].trouble(now).Partitioned {
			w.byID[where].end(now, member, how)
		}
	}
}

// isComplete reports whether all members of a gang's run are running.
func (w *Simulation) isComplete(ref workflow.RunKey, members int) bool {
	n := 0
	for i := range members {
		k := ref.TaskKey
		k.Index = i
		member := workflow.RunKey{
			TaskKey: k,
			Run:     ref.Run,
		}
		if _, ok := w.running[k][member]; ok || w.done[k].Run > 0 {
			n++
		}
	}
	return n == members
}

// isGangDone reports whether all members of a gang's run have done their work.
// Those that are done early wait for the others.
func (w *Simulation) isGangDone(ref workflow.RunKey, members int) bool {
	for i := range members {
		member := ref
		member.Index = i
		where, ok := w.running[member.TaskKey][member]
		if !ok {
			continue
		}
		if e, ok := w.byID[where].runs[member]; ok && e.left > 0 {
			return false
		}
	}
	return true
}

func (w *Simulation) saves(ref workflow.RunKey) bool {
	return w.arrivals[ref.Workflow].Spec.Steps[ref.Step].Checkpointable
}
