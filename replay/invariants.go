package replay

import (
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// Time bounds of the invariants of starts. Source: the users' documentation.
const (
	// leavingBound is how long tasks may still start on a worker after it
	// announced that it leaves.
	leavingBound = 2 * time.Second
	// outOfServiceBound is how long tasks may still start in a data centre after
	// it was taken out of service.
	outOfServiceBound = 5 * time.Second
	// cancelBound is how long tasks of a workflow may still start after it was
	// cancelled.
	cancelBound = 3 * time.Second
	// shrunkBound is how long tasks may still start in excess of the capacity of a
	// worker after it has shrunk: the shortest contact time and one announcement
	// interval.
	shrunkBound = 3*time.Second + announceInterval
)

// Bounds of the invariants of tasks that crash their workers. Source: the
// platform's rules.
const (
	// minCrashesToGiveUp is the number of crashes under a task from which on it may
	// be given up.
	minCrashesToGiveUp = 2
	// crashBudget is the number of crashes under a deadly task after which it may
	// start at most maxStartsOverBudget times.
	crashBudget         = 3
	maxStartsOverBudget = 2
)

// checkStart checks the invariants of the start of a run. Those with a time
// bound do not apply to an order that reached the worker with a delay.
func (sim *Simulation) checkStart(now time.Duration, s *simWorker, ref workflow.RunKey) {
	a := sim.arrivals[ref.Workflow]
	step := a.Spec.Steps[ref.Step]
	if sim.isAcknowledged[ref.TaskKey] {
		sim.recordViolation(now, "%v starts after the completion of its task was acknowledged", ref)
	}
	for other, workerID := range sim.running[ref.TaskKey] {
		sim.recordViolation(now, "%v starts on %s while %v is running on %s", ref, s.announced.ID, other, workerID)
	}
	used := step.PerTask
	for _, e := range s.runs {
		used = used.Plus(e.resources)
	}
	capacitySince := now - shrunkBound
	if s.isDelayed {
		capacitySince -= maxOrderDelay
	}
	if !s.hasCapacityFor(used, capacitySince) {
		sim.recordViolation(now, "%v starts on %s in excess of the worker's capacity", ref, s.announced.ID)
	}
	wf, _ := sim.state.Workflow(ref.Workflow)
	if !wf.Occurrence(ref.Occurrence).IsReady(wf.Spec, ref.Step) {
		sim.recordViolation(now, "%v starts before the steps that it depends on have completed", ref)
	}
	if !s.isDelayed {
		sim.checkTimeBounds(now, s, ref, wf)
		sim.checkCrashBudget(now, s, ref)
	}
}

// checkCrashBudget checks that a deadly task is not started time and again. An
// order that reached the worker with a delay does not count.
func (sim *Simulation) checkCrashBudget(now time.Duration, s *simWorker, ref workflow.RunKey) {
	if !sim.arrivals[ref.Workflow].Deadly.includes(ref) || sim.crashes.under[ref.TaskKey] < crashBudget {
		return
	}
	sim.crashes.startsOverBudget[ref.TaskKey]++
	if n := sim.crashes.startsOverBudget[ref.TaskKey]; n > maxStartsOverBudget {
		sim.recordViolation(now, "%v starts on %s, start %d after %d workers have crashed under its task", ref, s.announced.ID, n, crashBudget)
	}
}

// checkGivenUp checks that a workflow that is shown as failed had a task with
// enough crashes or failures.
func (sim *Simulation) checkGivenUp(wf workflow.Workflow) {
	if wf.Status() != workflow.StatusFailed {
		return
	}
	mostCrashes, mostFailures := 0, 0
	for k, n := range sim.crashes.under {
		if k.Workflow == wf.Spec.ID {
			mostCrashes = max(mostCrashes, n)
		}
	}
	for k, runs := range sim.crashes.failedRuns {
		if k.Workflow == wf.Spec.ID {
			mostFailures = max(mostFailures, len(runs))
		}
	}
	if mostCrashes < minCrashesToGiveUp && mostFailures < wf.QueueSettings.MaxAttempts {
		sim.recordViolation(sim.now, "%s is shown as failed after at most %d crashes and %d failures of a task",
			wf.Spec.ID, mostCrashes, mostFailures)
	}
}

// checkTimeBounds checks the invariants that hold after a time bound.
func (sim *Simulation) checkTimeBounds(now time.Duration, s *simWorker, ref workflow.RunKey, wf workflow.Workflow) {
	if s.leavingSince > 0 && now-s.leavingSince > leavingBound {
		sim.recordViolation(now, "%v starts on %s, which is leaving", ref, s.announced.ID)
	}
	since, isOut := sim.outOfServiceSince[s.announced.DataCentre]
	if isOut && now-since > outOfServiceBound {
		sim.recordViolation(now, "%v starts on %s, whose data centre is out of service", ref, s.announced.ID)
	}
	if c, ok := wf.Phase.(workflow.Cancelled); ok && sim.at(now).Sub(c.At) > cancelBound {
		sim.recordViolation(now, "%v starts after its workflow was cancelled", ref)
	}
}
