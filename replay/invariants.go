package replay

import (
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// Bounds of the promises about starts, from the users' pages.
const (
	// leavingBound is how long after a worker's announcement that it leaves
	// tasks may still start there.
	leavingBound = 2 * time.Second
	// outOfServiceBound is the same for a data centre that was taken out of service.
	outOfServiceBound = 5 * time.Second
	// cancelBound is the same for a workflow that was given up.
	cancelBound = 3 * time.Second
)

// checkStart checks the promises about the start of a run. Those with a time
// bound do not hold for an order that the worker carried out late.
func (sim *Simulation) checkStart(now time.Duration, s *simWorker, ref workflow.RunKey) {
	a := sim.arrivals[ref.Workflow]
	step := a.Spec.Steps[ref.Step]
	if sim.isAcknowledged[ref.TaskKey] {
		sim.recordViolation(now, "%v starts after its end was noted", ref)
	}
	for other, where := range sim.running[ref.TaskKey] {
		sim.recordViolation(now, "%v starts on %s beside %v on %s", ref, s.pool.ID, other, where)
	}
	used := step.PerTask
	for _, e := range s.runs {
		used = used.Plus(e.resources)
	}
	if !used.FitsIn(s.pool.Capacity) {
		sim.recordViolation(now, "%v starts on %s beyond its capacity", ref, s.pool.ID)
	}
	f, _ := sim.state.Workflow(ref.Workflow)
	if !f.Occurrence(ref.Occurrence).IsReady(f.Spec, ref.Step) {
		sim.recordViolation(now, "%v starts before the steps that it depends on are done", ref)
	}
	if !s.isDelayed {
		sim.checkTimeBounds(now, s, ref, f)
	}
}

// checkTimeBounds checks the promises that hold from some time on.
func (sim *Simulation) checkTimeBounds(now time.Duration, s *simWorker, ref workflow.RunKey, f workflow.Workflow) {
	if s.leavingSince > 0 && now-s.leavingSince > leavingBound {
		sim.recordViolation(now, "%v starts on %s, which is leaving", ref, s.pool.ID)
	}
	since, isOut := sim.outOfServiceSince[s.pool.DataCentre]
	if isOut && now-since > outOfServiceBound {
		sim.recordViolation(now, "%v starts on %s, whose data centre is out", ref, s.pool.ID)
	}
	if c, ok := f.Phase.(workflow.Cancelled); ok && sim.at(now).Sub(c.At) > cancelBound {
		sim.recordViolation(now, "%v starts after its workflow was given up", ref)
	}
}
