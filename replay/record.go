package replay

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// checkReclaimWaits reports urgent workflows that wait for longer than
// Config.MaxReclaimWait while the demand of their organisation's urgent
// workflows stays within its guarantee.
func (sim *Simulation) checkReclaimWaits() {
	demand := map[string]int{}
	workflows := sim.state.ActiveWorkflows()
	for _, wf := range workflows {
		if wf.QueueSettings.Priority == 0 {
			demand[wf.Spec.Organisation] += wf.Spec.Accelerators()
		}
	}
	for _, o := range sim.cfg.Organisations {
		if demand[o.Name] > o.GuaranteedAccelerators {
			sim.overGuaranteeAt[o.Name] = sim.at(sim.now)
		}
	}
	for _, wf := range workflows {
		since := wf.Submitted
		if overAt := sim.overGuaranteeAt[wf.Spec.Organisation]; overAt.After(since) {
			since = overAt
		}
		waited := sim.at(sim.now).Sub(since)
		isLate := wf.IsOpen() && wf.QueueSettings.Priority == 0 && !wf.HasStarted && waited > sim.cfg.MaxReclaimWait
		if isLate && !sim.isWaitReported[wf.Spec.ID] {
			sim.isWaitReported[wf.Spec.ID] = true
			sim.recordViolation(sim.now, "%s has waited for %v within its organisation's guarantee", wf.Spec.ID, waited)
		}
	}
}

// updateRecords records the status of workflows that have not finished.
func (sim *Simulation) updateRecords() {
	for id, r := range sim.records {
		if r.End >= 0 {
			continue
		}
		wf, ok := sim.state.Workflow(id)
		if !ok {
			continue
		}
		r.Status = wf.Status()
		if !wf.IsOpen() {
			r.End = wf.FinishedAt().Sub(epoch)
			sim.checkGivenUp(wf)
		}
	}
}

func (sim *Simulation) recordViolation(now time.Duration, format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", now)+fmt.Sprintf(format, args...))
}

// Violations returns the violations of invariants that were found, each with
// its simulated time.
func (sim *Simulation) Violations() []string {
	return sim.violations
}

// Record returns the record of a workflow.
func (sim *Simulation) Record(id string) Record {
	return *sim.records[id]
}

// AllocatedOn returns the resources that runs take on a worker.
func (sim *Simulation) AllocatedOn(id string) (sum pool.ResourceVector) {
	for _, e := range sim.workersByID[id].runs {
		sum = sum.Plus(e.resources)
	}
	return sum
}

func formatCheckpoint(remaining time.Duration) string {
	return strconv.FormatInt(int64(remaining), 10)
}

// parseCheckpoint returns the remaining work according to a checkpoint, or the
// total work if the checkpoint is invalid.
func parseCheckpoint(checkpoint string, total time.Duration) time.Duration {
	n, err := strconv.ParseInt(strings.TrimSpace(checkpoint), 10, 64)
	if err != nil {
		return total
	}
	return time.Duration(n)
}

func compareRunKeys(a, b workflow.RunKey) int {
	return cmp.Or(
		cmp.Compare(a.Workflow, b.Workflow), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run),
	)
}

// PlacedTaskCount returns how many tasks of a workflow are placed.
func (sim *Simulation) PlacedTaskCount(id string) int {
	wf, _ := sim.state.Workflow(id)
	return len(wf.PlacedTasks())
}

// A decision identifies the records of one kind of decision.
type decision struct {
	text, reason string
}

// DecisionCount returns how many decisions with a text and a reason were
// recorded.
func (sim *Simulation) DecisionCount(text, reason string) int {
	return sim.decisions[decision{
		text:   text,
		reason: reason,
	}]
}

// ReconcilePasses returns the number of reconciliation passes.
func (sim *Simulation) ReconcilePasses() int {
	return sim.reconcilePasses
}

// WastedWork returns the work lost by runs that ended without a result or
// checkpoint, in weighted core-seconds.
func (sim *Simulation) WastedWork() float64 {
	return sim.wastedWork
}

// StoppedRuns returns the number of runs that ended on a stop order.
func (sim *Simulation) StoppedRuns() int {
	return sim.stoppedRuns
}

// EndedRuns returns the number of runs that ended on workers for a reason.
func (sim *Simulation) EndedRuns(reason workflow.EndReason) int {
	return sim.endedRuns[reason]
}

// ReconcileTime returns the real time spent in all reconciliation passes.
func (sim *Simulation) ReconcileTime() time.Duration {
	return sim.reconcileTime
}
