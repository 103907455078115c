package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/worker"
)

// Timing of the leader's reconciliation passes.
const (
	// minReconcileInterval is the least time between two passes. Each active job
	// adds reconcileIntervalPerJob, so that passes over a large state do not
	// follow each other without a break.
	minReconcileInterval    = 40 * time.Millisecond
	reconcileIntervalPerJob = 25 * time.Microsecond
	// planInterval is the time between scheduling plans if nothing has changed.
	planInterval = 2 * time.Second
	// reconcileInterval is the time between passes if nothing has changed.
	reconcileInterval = 500 * time.Millisecond
	// orderRetryInterval is the time after which an order is pushed again.
	orderRetryInterval = 700 * time.Millisecond
	// prepareTimeout is how long all tasks of a gang may take to prepare.
	prepareTimeout = 4 * time.Second
	// orderValidity is how long an order is valid after the worker received it.
	orderValidity = 2 * time.Second
	// earlyFailureLimit is the run time below which a failed task counts against
	// its worker, unless other workers fail the same job.
	earlyFailureLimit = 2 * time.Second
	// maxPlacements is the largest number of jobs that one plan places.
	maxPlacements = 64
)

// reconcile compares the jobs with the workers' reports: it ends lost tasks,
// starts prepared gangs, pushes orders and runs the scheduler.
func (c Core) reconcile(now time.Time) (Core, []Effect) {
	if !c.HasLease(now) || now.Before(c.leadership.nextReconcile) {
		return c, nil
	}
	if !c.leadership.dirty && now.Before(c.leadership.nextReconcile.Add(reconcileInterval)) {
		return c, nil
	}
	l := *c.leadership
	isPlanDue := l.dirty || !now.Before(l.nextPlan)
	areJobsDue := isPlanDue || !l.converged || !l.areAllWorkersReachable(now)
	l.dirty = false
	l.nextReconcile = now.Add(minReconcileInterval + time.Duration(c.state.Counts().Active)*reconcileIntervalPerJob)
	l.minions = l.minions.WithoutExpired(now)
	if !areJobsDue {
		c.leadership = &l
		return c, nil
	}
	if isPlanDue {
		l.nextPlan = now.Add(planInterval)
	}
	c.leadership = l.withoutOldOrders(now)
	rc := &reconciler{
		core:      c,
		now:       now,
		pushes:    map[string][]worker.Order{},
		converged: true,
	}
	active := c.state.ActiveJobs()
	for _, j := range active {
		rc.reconcileJob(j)
	}
	if isPlanDue {
		rc.plan(active)
	}
	return rc.finish()
}

// reconciler collects the commands, orders and effects of one pass.
type reconciler struct {
	core     Core
	now      time.Time
	commands []plantainladder.Command
	pushes   map[string][]worker.Order
	effects  []Effect
	// converged stays true while every job that holds capacity is running as
	// planned, so that another pass is needed only after a change or if a worker
	// falls silent.
	converged bool
}

func (rc *reconciler) propose(c plantainladder.Command) {
	rc.commands = append(rc.commands, c)
}

func (rc *reconciler) finish() (Core, []Effect) {
	c, out := rc.core, rc.effects
	l := *c.leadership
	l.converged = rc.converged
	c.leadership = &l
	for name, orders := range rc.pushes {
		w, _ := c.state.Worker(name)
		out = append(out, Push{
			Worker:  name,
			Address: w.Address,
			Orders:  orders,
		})
	}
	for _, command := range rc.commands {
		var more []Effect
		c, more = c.propose(rc.now, command)
		out = append(out, more...)
	}
	return c, out
}

func (rc *reconciler) reconcileJob(j job.Job) {
	switch j.Phase.(type) {
	case job.Preparing:
		rc.converged = false
		rc.reconcilePreparing(j)
	case job.Running:
		rc.reconcileRunning(j)
	case job.Stopping:
		rc.converged = false
		rc.reconcileStopping(j)
	case job.Queued, job.Parked, job.Ended:
	}
}

// taskReport returns the last report of a task by the worker and the incarnation
// on which it was placed.
func (rc *reconciler) taskReport(j job.Job, task int) (worker.TaskReport, bool) {
	v, ok := rc.core.leadership.workers.Get(j.TaskPlacements[task].Worker)
	if !ok || v.incarnation != j.TaskPlacements[task].Incarnation {
		return worker.TaskReport{}, false
	}
	r, ok := v.tasks[taskRef(j, task)]
	return r, ok
}

func taskRef(j job.Job, task int) worker.TaskRef {
	return worker.TaskRef{
		Job:     j.Spec.ID,
		Attempt: j.Attempt,
		Task:    task,
	}
}

// isLost reports whether a task cannot be running any more: the worker's lease
// and the job's lease grace period have expired, or the worker has restarted.
func (rc *reconciler) isLost(j job.Job, p job.TaskPlacement) bool {
	l := rc.core.leadership
	if !l.mayStillRun(rc.now, p.Worker, j.LeaseGrace()) {
		return true
	}
	v, ok := l.workers.Get(p.Worker)
	return ok && v.incarnation != p.Incarnation
}

func (rc *reconciler) reconcilePreparing(j job.Job) {
	ready := 0
	for i, p := range j.TaskPlacements {
		r, ok := rc.taskReport(j, i)
		switch {
		case rc.isLost(j, p):
			rc.stopJob(j, job.StopNotPrepared)
			return
		case ok && r.State == worker.TaskPrepared && rc.core.leadership.isReachable(rc.now, p.Worker):
			ready++
		case ok && isTerminal(r.State):
			rc.stopJob(j, job.StopNotPrepared)
			return
		default:
			rc.pushOrder(j, i, worker.ActionPrepare)
		}
	}
	phase, _ := j.Phase.(job.Preparing)
	switch {
	case ready == len(j.TaskPlacements):
		rc.propose(plantainladder.StartJob{
			ID:      j.Spec.ID,
			Attempt: j.Attempt,
		})
	case rc.now.Sub(phase.Since) > prepareTimeout:
		rc.stopJob(j, job.StopNotPrepared)
	}
}

func isTerminal(state worker.TaskState) bool {
	switch state {
	case worker.TaskDone, worker.TaskFailed, worker.TaskStopped:
		return true
	case worker.TaskPrepared, worker.TaskRunning:
		return false
	}
	return false
}

func (rc *reconciler) reconcileRunning(j job.Job) {
	for i, p := range j.TaskPlacements {
		r, ok := rc.taskReport(j, i)
		rc.converged = rc.converged && (p.Ended || ok && r.State == worker.TaskRunning)
		switch {
		case p.Ended:
		case ok && isTerminal(r.State):
			rc.endTask(j, i, r)
		case rc.isLost(j, p):
			rc.stopJob(j, job.StopTaskLost)
			return
		case ok && r.State == worker.TaskRunning:
		case rc.core.state.IsOutOfService(p.DataCentre):
			// The task was not started before its data centre was taken out of
			// service, and must not be started after that.
			rc.stopJob(j, job.StopOutOfService)
			return
		case !ok && rc.hasContactSinceStart(j, i):
			rc.stopJob(j, job.StopTaskLost)
			return
		default:
			rc.pushOrder(j, i, worker.ActionStart)
		}
	}
}

// hasContactSinceStart reports whether a task's worker was in contact after the
// job's start. A prepared task that such a worker does not report is lost.
func (rc *reconciler) hasContactSinceStart(j job.Job, task int) bool {
	phase, ok := j.Phase.(job.Running)
	v, known := rc.core.leadership.workers.Get(j.TaskPlacements[task].Worker)
	return ok && known && v.lastContact.After(phase.Since)
}

func (rc *reconciler) reconcileStopping(j job.Job) {
	for i, p := range j.TaskPlacements {
		r, ok := rc.taskReport(j, i)
		switch {
		case p.Ended:
		case ok && isTerminal(r.State):
			rc.endTask(j, i, r)
		case rc.isLost(j, p), !ok && rc.hasContactSinceStop(j, i):
			rc.endTask(j, i, worker.TaskReport{})
		default:
			rc.pushOrder(j, i, worker.ActionStop)
		}
	}
}

// hasContactSinceStop reports whether a task's worker was in contact after all
// orders from before the job's stop had become invalid. A task that such a worker does not
// report is not running and will not be started any more.
func (rc *reconciler) hasContactSinceStop(j job.Job, task int) bool {
	phase, ok := j.Phase.(job.Stopping)
	v, known := rc.core.leadership.workers.Get(j.TaskPlacements[task].Worker)
	return ok && known && v.lastContact.After(phase.Since.Add(orderValidity))
}

func (rc *reconciler) endTask(j job.Job, task int, r worker.TaskReport) {
	rc.propose(plantainladder.EndPart{
		ID:          j.Spec.ID,
		Attempt:     j.Attempt,
		Task:        task,
		Done:        r.State == worker.TaskDone,
		Checkpoint:  r.Checkpoint,
		NotRun:      r.State == worker.TaskStopped && !r.Started,
		WorkerFault: r.State == worker.TaskFailed && milliseconds(r.RanMS) < earlyFailureLimit,
	})
}

func (rc *reconciler) stopJob(j job.Job, reason job.StopReason) {
	rc.effects = append(rc.effects, IncrementCounter{
		Name:  CounterJobStops,
		Label: string(reason),
	})
	rc.propose(plantainladder.StopJob{
		ID:      j.Spec.ID,
		Attempt: j.Attempt,
		Reason:  reason,
	})
}

// pushOrder queues an order, unless it was pushed within the last
// orderRetryInterval.
func (rc *reconciler) pushOrder(j job.Job, task int, action string) {
	key := orderKey{
		ref:    taskRef(j, task),
		action: action,
	}
	l := *rc.core.leadership
	last, sent := l.orders.Get(key)
	if sent && rc.now.Before(last.Add(orderRetryInterval)) {
		return
	}
	name := CounterOrdersPushed
	if sent {
		name = CounterOrderRetries
	}
	rc.effects = append(rc.effects, IncrementCounter{
		Name:  name,
		Label: action,
	})
	l.orders = l.orders.Set(key, rc.now)
	rc.core.leadership = &l
	to := j.TaskPlacements[task].Worker
	rc.pushes[to] = append(rc.pushes[to], worker.Order{
		TaskRef:      key.ref,
		Action:       action,
		PerTask:      j.Spec.Shape.PerTask,
		Tasks:        j.Spec.Shape.Tasks,
		Command:      j.Spec.Command,
		SavedMS:      j.SavedMS,
		ValidForMS:   orderValidity.Milliseconds(),
		LeaseGraceMS: j.LeaseGraceMS,
		Checkpoint:   j.Spec.Checkpointable,
	})
}

func (c Core) stepPushAnswered(e PushAnswered) Core {
	if c.leadership == nil || e.Incarnation == "" {
		return c
	}
	c.leadership = c.leadership.withPushAnswered(e)
	return c
}

// plan runs the scheduler and turns its decisions into commands.
func (rc *reconciler) plan(active []job.Job) {
	rc.removeSilentWorkers()
	rc.dropRemovedWorkers()
	in := rc.planInput(active)
	waitReasons := map[string]schedule.WaitReason{}
	for _, d := range schedule.Plan(rc.now, in) {
		switch d := d.(type) {
		case schedule.Place:
			rc.propose(plantainladder.PlaceJob{
				ID:       d.ID,
				Attempt:  d.Attempt,
				Parts:    d.TaskPlacements,
				Borrowed: d.Borrowed,
			})
		case schedule.Stop:
			j, _ := rc.core.state.Job(d.ID)
			rc.stopJob(j, d.Reason)
		case schedule.Park:
			rc.propose(plantainladder.ParkJob{
				ID:     d.ID,
				Reason: d.Reason,
			})
		case schedule.Wait:
			waitReasons[d.ID] = d.Reason
		}
	}
	l := *rc.core.leadership
	l.waitReasons = waitReasons
	rc.core.leadership = &l
}

func (rc *reconciler) planInput(active []job.Job) schedule.Input {
	state := rc.core.state
	workers := state.Workers()
	var usable []worker.Worker
	for _, w := range workers {
		if rc.core.leadership.isReachable(rc.now, w.Name) && w.IsUsable(rc.now) && !state.IsOutOfService(w.DataCentre) {
			usable = append(usable, w)
		}
	}
	outOfService := map[string]bool{}
	for _, d := range state.DataCentres() {
		outOfService[d.Name] = d.OutOfService
	}
	return schedule.Input{
		Fleet:         schedule.NewFleet(plantainladder.NodesFromWorkers(usable)).WithAllocations(schedule.AllocationsOfJobs(active)),
		AllWorkers:    schedule.NewFleet(plantainladder.NodesFromWorkers(workers)),
		Jobs:          active,
		Contracts:     state.Contracts(),
		Estimates:     state.Estimates(),
		OutOfService:  outOfService,
		MaxPlacements: maxPlacements,
		Policy:        rc.core.cfg.Policy,
	}
}
