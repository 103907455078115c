package replay

import (
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// maxWaitWithCapacity is how long a workflow may have nothing running while the
// fleet has capacity to spare for it.
const maxWaitWithCapacity = 3 * time.Second

// checkWaits reports workflows that have had nothing running for longer than
// maxWaitWithCapacity, although a step is ready, its tasks fit twice over on the
// workers that are available, and under half of the capacity of these is in use.
func (sim *Simulation) checkWaits() {
	nodes, isQuiet := sim.availableWorkers()
	for _, wf := range sim.state.ActiveWorkflows() {
		id := wf.Spec.ID
		if !isQuiet || !sim.waitsWithCapacity(wf, nodes) {
			delete(sim.waitingSince, id)
			continue
		}
		since, known := sim.waitingSince[id]
		if !known {
			sim.waitingSince[id] = sim.now
			continue
		}
		if sim.now-since > maxWaitWithCapacity && !sim.isIdleReported[id] {
			sim.isIdleReported[id] = true
			sim.recordViolation(sim.now, "%s has had nothing running for %v, with capacity for it; %d of its tasks are placed", id, sim.now-since, len(wf.PlacedTasks()))
		}
	}
}

// availableWorkers returns the workers that are in service and without a fault,
// and reports whether under half of their capacity is in use.
func (sim *Simulation) availableWorkers() (available map[*simWorker]pool.ResourceVector, isQuiet bool) {
	available = map[*simWorker]pool.ResourceVector{}
	var all, used pool.ResourceVector
	for _, w := range sim.workers {
		isOut := w.isShutDown || w.announced.Leaving || sim.state.IsOutOfService(w.announced.DataCentre)
		if isOut || w.hasFault(sim.now) {
			continue
		}
		free := w.announced.Capacity
		for _, e := range w.runs {
			free = free.Minus(e.resources)
			used = used.Plus(e.resources)
		}
		available[w] = free
		all = all.Plus(w.announced.Capacity)
	}
	return available, used.Times(2).FitsIn(all)
}

// hasFault reports whether a fault is active.
func (w *simWorker) hasFault(now time.Duration) bool {
	for _, f := range w.faults {
		if now >= f.From && now < f.Until {
			return true
		}
	}
	return false
}

// waitsWithCapacity reports whether a workflow has nothing running, and a step is
// ready and fits twice over.
func (sim *Simulation) waitsWithCapacity(wf workflow.Workflow, available map[*simWorker]pool.ResourceVector) bool {
	if !wf.IsOpen() {
		return false
	}
	isWaiting := false
	for k := range wf.DueOccurrences(sim.at(sim.now)) {
		o := wf.Occurrence(k)
		for i, step := range wf.Spec.Steps {
			if o.Steps[i].HasSucceeded(step) || !o.IsReady(wf.Spec, i) {
				continue
			}
			waiting := 0
			for n, t := range o.Steps[i].Tasks {
				key := workflow.TaskKey{
					Workflow:   wf.Spec.ID,
					Occurrence: k,
					Step:       i,
					Index:      n,
				}
				if len(sim.running[key]) > 0 {
					return false
				}
				if !t.HasSucceeded() {
					waiting++
				}
			}
			isWaiting = isWaiting || fitsTwice(step, waiting, available)
		}
	}
	return isWaiting
}

// fitsTwice reports whether two times as many tasks of a step fit as wait: all
// members of a gang, or one task of another step.
func fitsTwice(step workflow.Step, waiting int, available map[*simWorker]pool.ResourceVector) bool {
	needed := 2
	if step.IsGang {
		needed = 2 * waiting
	}
	for w, free := range available {
		if step.RequiredLabel != "" && !w.announced.HasLabel(step.RequiredLabel) {
			continue
		}
		limit := needed
		if step.MaxPerWorker > 0 {
			limit = min(limit, step.MaxPerWorker)
		}
		needed -= step.PerTask.FitCount(free, limit)
		if needed <= 0 {
			return true
		}
	}
	return false
}
