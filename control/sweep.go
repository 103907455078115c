package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/worker"
)

// Periods of the leader's work.
const (
	// sweepPause is the least time between two sweeps, to which each job that
	// has not ended adds sweepPerJob, so that a large state is not swept
	// without pause.
	sweepPause  = 40 * time.Millisecond
	sweepPerJob = 25 * time.Microsecond
	// planEvery is the time between plans when nothing has changed.
	planEvery = 2 * time.Second
	// sweepEvery is the time between sweeps when nothing has changed.
	sweepEvery = 500 * time.Millisecond
	// orderRetry is the time after which an order is pushed again.
	orderRetry = 700 * time.Millisecond
	// prepareLimit is how long a gang may take to prepare.
	prepareLimit = 4 * time.Second
	// orderHolds is how long after its arrival an order holds.
	orderHolds = 2 * time.Second
	// quickFailure is a run so short that the worker is at fault, unless
	// other workers fail the same job.
	quickFailure = 2 * time.Second
	// maxPlacements bounds the placements of one plan.
	maxPlacements = 64
)

// sweep does what a leader must do by itself: it ends parts that are lost,
// starts gangs that are prepared, pushes orders and plans.
func (c Core) sweep(now time.Time) (Core, []Effect) {
	if !c.HasLease(now) || now.Before(c.lead.sweepAt) {
		return c, nil
	}
	if !c.lead.dirty && now.Before(c.lead.sweepAt.Add(sweepEvery)) {
		return c, nil
	}
	l := *c.lead
	isPlanDue := l.dirty || !now.Before(l.planAt)
	isJobsDue := isPlanDue || !l.settled || !l.isEveryWorkerFresh(now)
	l.dirty = false
	l.sweepAt = now.Add(sweepPause + time.Duration(c.state.Counts().Active)*sweepPerJob)
	l.minions = l.minions.WithoutExpired(now)
	if !isJobsDue {
		c.lead = &l
		return c, nil
	}
	if isPlanDue {
		l.planAt = now.Add(planEvery)
	}
	c.lead = l.withoutOldOrders(now)
	s := &sweeper{
		core:    c,
		now:     now,
		pushes:  map[string][]worker.Order{},
		settled: true,
	}
	active := c.state.ActiveJobs()
	for _, j := range active {
		s.sweepJob(j)
	}
	if isPlanDue {
		s.plan(active)
	}
	return s.finish()
}

// A sweeper is the scratch paper of one sweep.
type sweeper struct {
	core     Core
	now      time.Time
	commands []plantainladder.Command
	pushes   map[string][]worker.Order
	effects  []Effect
	// settled stays true while every job that holds capacity runs as it should,
	// so that only a change or a silent worker can make another sweep useful.
	settled bool
}

func (s *sweeper) propose(c plantainladder.Command) {
	s.commands = append(s.commands, c)
}

func (s *sweeper) finish() (Core, []Effect) {
	c, out := s.core, s.effects
	l := *c.lead
	l.settled = s.settled
	c.lead = &l
	for name, orders := range s.pushes {
		w, _ := c.state.Worker(name)
		out = append(out, Push{
			Worker:  name,
			Address: w.Address,
			Orders:  orders,
		})
	}
	for _, command := range s.commands {
		var more []Effect
		c, more = c.propose(s.now, command)
		out = append(out, more...)
	}
	return c, out
}

func (s *sweeper) sweepJob(j job.Job) {
	switch j.Phase.(type) {
	case job.Preparing:
		s.settled = false
		s.sweepPreparing(j)
	case job.Running:
		s.sweepRunning(j)
	case job.Stopping:
		s.settled = false
		s.sweepStopping(j)
	case job.Queued, job.Parked, job.Ended:
	}
}

// report returns what a part's worker says of it.
func (s *sweeper) report(j job.Job, task int) (worker.TaskReport, bool) {
	v, ok := s.core.lead.workers.Get(j.Parts[task].Worker)
	if !ok || v.incarnation != j.Parts[task].Incarnation {
		return worker.TaskReport{}, false
	}
	r, ok := v.tasks[refOf(j, task)]
	return r, ok
}

func refOf(j job.Job, task int) worker.TaskRef {
	return worker.TaskRef{
		Job:     j.Spec.ID,
		Attempt: j.Attempt,
		Task:    task,
	}
}

// isLost reports whether a part cannot be running any more: its worker's lease
// and the job's hold have run out, or the worker has restarted and does not
// hold it.
func (s *sweeper) isLost(j job.Job, p job.Part) bool {
	l := s.core.lead
	if !l.mayRun(s.now, p.Worker, j.Hold()) {
		return true
	}
	v, ok := l.workers.Get(p.Worker)
	return ok && v.incarnation != p.Incarnation
}

func (s *sweeper) sweepPreparing(j job.Job) {
	ready := 0
	for i, p := range j.Parts {
		r, ok := s.report(j, i)
		switch {
		case s.isLost(j, p):
			s.stop(j, job.StopNoPrepare)
			return
		case ok && r.State == worker.TaskPrepared && s.core.lead.isFresh(s.now, p.Worker):
			ready++
		case ok && isOver(r.State):
			s.stop(j, job.StopNoPrepare)
			return
		default:
			s.push(j, i, worker.ActionPrepare)
		}
	}
	phase, _ := j.Phase.(job.Preparing)
	switch {
	case ready == len(j.Parts):
		s.propose(plantainladder.StartJob{
			ID:      j.Spec.ID,
			Attempt: j.Attempt,
		})
	case s.now.Sub(phase.Since) > prepareLimit:
		s.stop(j, job.StopNoPrepare)
	}
}

func isOver(state worker.TaskState) bool {
	switch state {
	case worker.TaskDone, worker.TaskFailed, worker.TaskStopped:
		return true
	case worker.TaskPrepared, worker.TaskRunning:
		return false
	}
	return false
}

func (s *sweeper) sweepRunning(j job.Job) {
	for i, p := range j.Parts {
		r, ok := s.report(j, i)
		s.settled = s.settled && (p.Ended || ok && r.State == worker.TaskRunning)
		switch {
		case p.Ended:
		case ok && isOver(r.State):
			s.endPart(j, i, r)
		case s.isLost(j, p):
			s.stop(j, job.StopPartLost)
			return
		case ok && r.State == worker.TaskRunning:
		case s.core.state.IsOut(p.DataCentre):
			// It was not started in time, and must not be now.
			s.stop(j, job.StopDrained)
			return
		case !ok && s.wasSilentAbout(j, i):
			s.stop(j, job.StopPartLost)
			return
		default:
			s.push(j, i, worker.ActionStart)
		}
	}
}

// wasSilentAbout reports whether a worker that was heard since the start does
// not hold a task that it had prepared.
func (s *sweeper) wasSilentAbout(j job.Job, task int) bool {
	phase, ok := j.Phase.(job.Running)
	v, known := s.core.lead.workers.Get(j.Parts[task].Worker)
	return ok && known && v.heard.After(phase.Since)
}

func (s *sweeper) sweepStopping(j job.Job) {
	for i, p := range j.Parts {
		r, ok := s.report(j, i)
		switch {
		case p.Ended:
		case ok && isOver(r.State):
			s.endPart(j, i, r)
		case s.isLost(j, p), !ok && s.isUnknownTo(j, i):
			s.endPart(j, i, worker.TaskReport{})
		default:
			s.push(j, i, worker.ActionStop)
		}
	}
}

// isUnknownTo reports whether a worker that was heard since the stop does not
// hold a task.
func (s *sweeper) isUnknownTo(j job.Job, task int) bool {
	phase, ok := j.Phase.(job.Stopping)
	v, known := s.core.lead.workers.Get(j.Parts[task].Worker)
	return ok && known && v.heard.After(phase.Since.Add(orderHolds))
}

func (s *sweeper) endPart(j job.Job, task int, r worker.TaskReport) {
	s.propose(plantainladder.EndPart{
		ID:          j.Spec.ID,
		Attempt:     j.Attempt,
		Task:        task,
		Done:        r.State == worker.TaskDone,
		Checkpoint:  r.Checkpoint,
		NotRun:      r.State == worker.TaskStopped && !r.Started,
		WorkerFault: r.State == worker.TaskFailed && ms(r.RanMS) < quickFailure,
	})
}

func (s *sweeper) stop(j job.Job, reason job.StopReason) {
	s.effects = append(s.effects, IncrementCounter{
		Name:  CounterJobStops,
		Label: string(reason),
	})
	s.propose(plantainladder.StopJob{
		ID:      j.Spec.ID,
		Attempt: j.Attempt,
		Reason:  reason,
	})
}

// push queues an order unless it was pushed a moment ago.
func (s *sweeper) push(j job.Job, task int, action string) {
	key := orderKey{
		ref:    refOf(j, task),
		action: action,
	}
	l := *s.core.lead
	last, sent := l.orders.Get(key)
	if sent && s.now.Before(last.Add(orderRetry)) {
		return
	}
	name := CounterOrdersPushed
	if sent {
		name = CounterOrderRetries
	}
	s.effects = append(s.effects, IncrementCounter{
		Name:  name,
		Label: action,
	})
	l.orders = l.orders.Set(key, s.now)
	s.core.lead = &l
	to := j.Parts[task].Worker
	s.pushes[to] = append(s.pushes[to], worker.Order{
		TaskRef:      key.ref,
		Action:       action,
		Each:         j.Spec.Shape.Each,
		Tasks:        j.Spec.Shape.Tasks,
		Command:      j.Spec.Command,
		SavedMS:      j.SavedMS,
		ValidForMS:   orderHolds.Milliseconds(),
		LeaseGraceMS: j.HoldMS,
		Checkpoint:   j.Spec.Checkpointable,
	})
}

func (c Core) stepPushed(e Pushed) Core {
	if c.lead == nil || e.Incarnation == "" {
		return c
	}
	c.lead = c.lead.withPushed(e)
	return c
}

// plan lets the scheduler decide and turns its decisions into commands.
func (s *sweeper) plan(active []job.Job) {
	s.forgetSilent()
	s.forgetRemoved()
	in := s.input(active)
	waiting := map[string]schedule.WaitReason{}
	for _, d := range schedule.Plan(s.now, in) {
		switch d := d.(type) {
		case schedule.Place:
			s.propose(plantainladder.PlaceJob{
				ID:       d.ID,
				Attempt:  d.Attempt,
				Parts:    d.Parts,
				Borrowed: d.Borrowed,
			})
		case schedule.Stop:
			j, _ := s.core.state.Job(d.ID)
			s.stop(j, d.Reason)
		case schedule.Park:
			s.propose(plantainladder.ParkJob{
				ID:     d.ID,
				Reason: d.Reason,
			})
		case schedule.Wait:
			waiting[d.ID] = d.Reason
		}
	}
	l := *s.core.lead
	l.waiting = waiting
	s.core.lead = &l
}

func (s *sweeper) input(active []job.Job) schedule.Input {
	state := s.core.state
	workers := state.Workers()
	var usable []worker.Worker
	for _, w := range workers {
		if s.core.lead.isFresh(s.now, w.Name) && w.IsUsable(s.now) && !state.IsOut(w.DataCentre) {
			usable = append(usable, w)
		}
	}
	out := map[string]bool{}
	for _, d := range state.DataCentres() {
		out[d.Name] = d.Out
	}
	return schedule.Input{
		Fleet:         schedule.NewFleet(plantainladder.NodesOf(usable)).WithUses(schedule.UsesOfJobs(active)),
		Whole:         schedule.NewFleet(plantainladder.NodesOf(workers)),
		Jobs:          active,
		Contracts:     state.Contracts(),
		Estimates:     state.Estimates(),
		Out:           out,
		MaxPlacements: maxPlacements,
		Policy:        s.core.cfg.Policy,
	}
}
