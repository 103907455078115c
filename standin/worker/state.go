package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/shape"
	"github.com/plantainladder/plantainladder/worker"
)

// state is the state of the worker. Its maps are copied on each change.
type state struct {
	worker  worker.Worker
	failAll bool
	tasks   map[worker.TaskRef]task
	// tombstones marks tasks that were stopped before they were prepared.
	tombstones map[worker.TaskRef]bool
	sequence   uint64
	// lease is the right to hold tasks, startLease the right to start them.
	lease      lease.Lease
	startLease lease.Lease
}

// event is an input to the state: tick, orders, heartbeat or heartbeatReply.
type event interface {
	event()
}

type tick struct{}

type orders struct {
	list  []worker.Order
	reply chan<- ordersResult
}

type ordersResult struct {
	sequence uint64
	reports  []worker.TaskReport
}

// heartbeat asks for the next heartbeat.
type heartbeat struct {
	reply chan<- worker.Heartbeat
}

type heartbeatReply struct {
	sent  time.Time
	reply worker.HeartbeatReply
}

func (tick) event()           {}
func (orders) event()         {}
func (heartbeat) event()      {}
func (heartbeatReply) event() {}

// effect is an action for the worker to perform: writeRecord, replyToOrders,
// sendHeartbeat or heartbeatNow.
type effect interface {
	effect()
}

type writeRecord struct {
	words []string
}

type replyToOrders struct {
	to   chan<- ordersResult
	body ordersResult
}

// sendHeartbeat hands over the heartbeat that an event asked for.
type sendHeartbeat struct {
	to   chan<- worker.Heartbeat
	body worker.Heartbeat
}

// heartbeatNow asks for a heartbeat ahead of the interval, since a task has
// ended.
type heartbeatNow struct{}

func (writeRecord) effect()   {}
func (replyToOrders) effect() {}
func (sendHeartbeat) effect() {}
func (heartbeatNow) effect()  {}

func (s state) step(now time.Time, e event) (state, []effect) {
	s, out := s.advancedTo(now)
	switch e := e.(type) {
	case tick:
	case orders:
		var effects []effect
		s, effects = s.applyOrders(now, e)
		out = append(out, effects...)
	case heartbeat:
		s.sequence++
		out = append(out, sendHeartbeat{
			to:   e.reply,
			body: s.heartbeat(now),
		})
	case heartbeatReply:
		var effects []effect
		s, effects = s.applyReply(e)
		out = append(out, effects...)
	}
	return s, out
}

// advancedTo ends the tasks whose end time has come, and those whose lease has
// expired.
func (s state) advancedTo(now time.Time) (state, []effect) {
	var out []effect
	for ref, t := range s.tasks {
		next := t.advancedTo(now)
		if next.holdsCapacity() && !s.lease.IsValid(now.Add(-next.leaseGrace())) {
			next.state = worker.TaskStopped
			next.checkpointing = false
		}
		if next.state == t.state {
			continue
		}
		s = s.withTask(ref, next)
		out = append(out, recordLine(s.worker.Name, string(next.state), ref), heartbeatNow{})
	}
	return s, out
}

func recordLine(name, word string, ref worker.TaskRef) effect {
	return writeRecord{
		words: []string{word, ref.Job, itoa(ref.Attempt), itoa(ref.Task), name},
	}
}

func (s state) withTask(ref worker.TaskRef, t task) state {
	s.tasks = maps.Clone(s.tasks)
	s.tasks[ref] = t
	return s
}

func (s state) applyOrders(now time.Time, e orders) (state, []effect) {
	var out []effect
	result := ordersResult{
		sequence: s.sequence,
	}
	for _, o := range e.list {
		var effects []effect
		s, effects = s.applyOrder(now, o)
		out = append(out, effects...)
		if t, ok := s.tasks[o.TaskRef]; ok {
			result.reports = append(result.reports, t.report(now))
		}
	}
	return s, append(out, replyToOrders{
		to:   e.reply,
		body: result,
	})
}

func (s state) applyOrder(now time.Time, o worker.Order) (state, []effect) {
	t, known := s.tasks[o.TaskRef]
	switch o.Action {
	case worker.ActionPrepare:
		if known || s.tombstones[o.TaskRef] || !s.lease.IsValid(now) || !o.PerTask.FitsIn(s.free()) {
			return s, nil
		}
		return s.withTask(o.TaskRef, newTask(o)), []effect{
			recordLine(s.worker.Name, string(worker.TaskPrepared), o.TaskRef),
		}
	case worker.ActionStart:
		if !known || t.state != worker.TaskPrepared || !s.startLease.IsValid(now) {
			return s, nil
		}
		t = t.withStart(now, s.failAll)
		return s.withTask(o.TaskRef, t), []effect{
			recordLine(s.worker.Name, "start", o.TaskRef),
		}
	case worker.ActionStop:
		return s.applyStop(now, o, t, known)
	}
	return s, nil
}

// applyStop stops a task. An unknown task gets a tombstone, so that it is not
// prepared if its prepare order arrives after the stop order.
func (s state) applyStop(now time.Time, o worker.Order, t task, known bool) (state, []effect) {
	if !known {
		s.tombstones = maps.Clone(s.tombstones)
		s.tombstones[o.TaskRef] = true
		t = newTask(o)
	}
	before := t.state
	t = t.withStop(now, o.Checkpoint)
	s = s.withTask(o.TaskRef, t)
	if t.state == before {
		return s, nil
	}
	return s, []effect{
		recordLine(s.worker.Name, string(t.state), o.TaskRef),
	}
}

func (s state) free() shape.Resources {
	free := s.worker.Capacity
	for _, t := range s.tasks {
		if t.holdsCapacity() {
			free = free.Minus(t.order.PerTask)
		}
	}
	return free
}

func (s state) heartbeat(now time.Time) worker.Heartbeat {
	b := worker.Heartbeat{
		Worker:   s.worker,
		Sequence: s.sequence,
	}
	for _, t := range s.tasks {
		b.Tasks = append(b.Tasks, t.report(now))
	}
	slices.SortFunc(b.Tasks, func(x, y worker.TaskReport) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Task, y.Task))
	})
	return b
}

// applyReply renews the leases and removes the tasks that the reply tells the
// worker to forget, running ones included.
func (s state) applyReply(e heartbeatReply) (state, []effect) {
	s.lease = s.lease.WithExtension(e.sent, time.Duration(e.reply.LeaseMS)*time.Millisecond)
	if e.reply.StartForMS > 0 {
		s.startLease = s.startLease.WithExtension(e.sent, time.Duration(e.reply.StartForMS)*time.Millisecond)
	}
	var out []effect
	if len(e.reply.Forget) > 0 {
		s.tasks = maps.Clone(s.tasks)
	}
	for _, ref := range e.reply.Forget {
		if s.tasks[ref].holdsCapacity() {
			out = append(out, recordLine(s.worker.Name, string(worker.TaskStopped), ref))
		}
		delete(s.tasks, ref)
	}
	return s, out
}
