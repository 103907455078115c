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

// state is the stand-in's control state. Its map is copied on each change.
type state struct {
	worker   worker.Worker
	failAll  bool
	tasks    map[worker.TaskRef]task
	gone     map[worker.TaskRef]bool
	sequence uint64
	lease    lease.Lease
	starts   lease.Lease
}

// event is what happens to a worker: tick, orders, beat or answer.
type event interface {
	event()
}

type tick struct{}

type orders struct {
	list  []worker.Order
	reply chan<- ordersDone
}

type ordersDone struct {
	sequence uint64
	reports  []worker.TaskReport
}

type beat struct {
	reply chan<- worker.Heartbeat
}

type answer struct {
	sent  time.Time
	reply worker.HeartbeatReply
}

func (tick) event()   {}
func (orders) event() {}
func (beat) event()   {}
func (answer) event() {}

// effect is what a worker wants done: write, replyOrders, replyBeat or urge.
type effect interface {
	effect()
}

type write struct {
	words []string
}

type replyOrders struct {
	to   chan<- ordersDone
	body ordersDone
}

type replyBeat struct {
	to   chan<- worker.Heartbeat
	body worker.Heartbeat
}

// urge asks for a beat at once, since something ended.
type urge struct{}

func (write) effect()       {}
func (replyOrders) effect() {}
func (replyBeat) effect()   {}
func (urge) effect()        {}

func (s state) step(now time.Time, e event) (state, []effect) {
	s, out := s.withTime(now)
	switch e := e.(type) {
	case tick:
	case orders:
		var more []effect
		s, more = s.takeOrders(now, e)
		out = append(out, more...)
	case beat:
		s.sequence++
		out = append(out, replyBeat{
			to:   e.reply,
			body: s.beat(now),
		})
	case answer:
		var more []effect
		s, more = s.takeAnswer(e)
		out = append(out, more...)
	}
	return s, out
}

// withTime ends tasks whose time has come, and those whose lease has run out.
func (s state) withTime(now time.Time) (state, []effect) {
	var out []effect
	for ref, t := range s.tasks {
		next := t.withTime(now)
		if next.isHeld() && !s.lease.IsValid(now.Add(-next.hold())) {
			next.state = worker.TaskStopped
			next.saved = false
		}
		if next.state == t.state {
			continue
		}
		s = s.withTask(ref, next)
		out = append(out, lineFor(s.worker.Name, string(next.state), ref), urge{})
	}
	return s, out
}

func lineFor(name, word string, ref worker.TaskRef) effect {
	return write{
		words: []string{word, ref.Job, itoa(ref.Attempt), itoa(ref.Task), name},
	}
}

func (s state) withTask(ref worker.TaskRef, t task) state {
	s.tasks = maps.Clone(s.tasks)
	s.tasks[ref] = t
	return s
}

func (s state) takeOrders(now time.Time, e orders) (state, []effect) {
	var out []effect
	done := ordersDone{
		sequence: s.sequence,
	}
	for _, o := range e.list {
		var more []effect
		s, more = s.takeOrder(now, o)
		out = append(out, more...)
		if t, ok := s.tasks[o.TaskRef]; ok {
			done.reports = append(done.reports, t.report(now))
		}
	}
	return s, append(out, replyOrders{
		to:   e.reply,
		body: done,
	})
}

func (s state) takeOrder(now time.Time, o worker.Order) (state, []effect) {
	t, known := s.tasks[o.TaskRef]
	switch o.Action {
	case worker.ActionPrepare:
		if known || s.gone[o.TaskRef] || !s.lease.IsValid(now) || !o.PerTask.FitsIn(s.free()) {
			return s, nil
		}
		return s.withTask(o.TaskRef, newTask(o)), []effect{
			lineFor(s.worker.Name, string(worker.TaskPrepared), o.TaskRef),
		}
	case worker.ActionStart:
		if !known || t.state != worker.TaskPrepared || !s.starts.IsValid(now) {
			return s, nil
		}
		t = t.withStart(now, s.failAll)
		return s.withTask(o.TaskRef, t), []effect{
			lineFor(s.worker.Name, "start", o.TaskRef),
		}
	case worker.ActionStop:
		return s.takeStop(now, o, t, known)
	}
	return s, nil
}

// takeStop ends a task. One that is not known must never begin later, should
// its prepare order still be under way.
func (s state) takeStop(now time.Time, o worker.Order, t task, known bool) (state, []effect) {
	if !known {
		s.gone = maps.Clone(s.gone)
		s.gone[o.TaskRef] = true
		t = newTask(o)
	}
	before := t.state
	t = t.withStop(now, o.Checkpoint)
	s = s.withTask(o.TaskRef, t)
	if t.state == before {
		return s, nil
	}
	return s, []effect{
		lineFor(s.worker.Name, string(t.state), o.TaskRef),
	}
}

func (s state) free() shape.Resources {
	free := s.worker.Capacity
	for _, t := range s.tasks {
		if t.isHeld() {
			free = free.Minus(t.order.PerTask)
		}
	}
	return free
}

func (s state) beat(now time.Time) worker.Heartbeat {
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

// takeAnswer renews the leases and drops the tasks that the system is done
// with, running ones included.
func (s state) takeAnswer(e answer) (state, []effect) {
	s.lease = s.lease.WithExtension(e.sent, time.Duration(e.reply.LeaseMS)*time.Millisecond)
	if e.reply.StartForMS > 0 {
		s.starts = s.starts.WithExtension(e.sent, time.Duration(e.reply.StartForMS)*time.Millisecond)
	}
	var out []effect
	if len(e.reply.Forget) > 0 {
		s.tasks = maps.Clone(s.tasks)
	}
	for _, ref := range e.reply.Forget {
		if s.tasks[ref].isHeld() {
			out = append(out, lineFor(s.worker.Name, string(worker.TaskStopped), ref))
		}
		delete(s.tasks, ref)
	}
	return s, out
}
