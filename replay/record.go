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

// checkReclaims finds urgent workflows that wait too long though their
// organisation has asked for no more than its guarantee all the while.
func (w *Simulation) checkReclaims() {
	asked := map[string]int{}
	flows := w.state.ActiveWorkflows()
	for _, f := range flows {
		if f.QueueSettings.Priority == 0 {
			asked[f.Spec.Organisation] += f.Spec.Accelerators()
		}
	}
	for _, o := range w.cfg.Organisations {
		if asked[o.Name] > o.GuaranteedAccelerators {
			w.beyondAt[o.Name] = w.at(w.now)
		}
	}
	for _, f := range flows {
		since := f.Submitted
		if beyond := w.beyondAt[f.Spec.Organisation]; beyond.After(since) {
			since = beyond
		}
		waited := w.at(w.now).Sub(since)
		isLate := f.IsOpen() && f.QueueSettings.Priority == 0 && !f.HasStarted && waited > w.cfg.MaxReclaimWait
		if isLate && !w.isReported[f.Spec.ID] {
			w.isReported[f.Spec.ID] = true
			w.fault(w.now, "%s waits for %v inside its guarantee", f.Spec.ID, waited)
		}
	}
}

// record takes note of workflows that were decided.
func (w *Simulation) record() {
	for id, r := range w.records {
		if r.EndedAt >= 0 {
			continue
		}
		f, ok := w.state.Workflow(id)
		if !ok {
			continue
		}
		r.Status = f.Status()
		if !f.IsOpen() {
			r.EndedAt = f.FinishedAt().Sub(epoch)
		}
	}
}

func (w *Simulation) fault(now time.Duration, format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", now)+fmt.Sprintf(format, args...))
}

// Violations lists the promises that were broken.
func (w *Simulation) Violations() []string {
	return w.faults
}

// Record returns what became of a workflow.
func (w *Simulation) Record(id string) Record {
	return *w.records[id]
}

// AllocatedOn returns the room that runs hold on a worker.
func (w *Simulation) AllocatedOn(id string) (sum pool.ResourceVector) {
	for _, e := range w.byID[id].runs {
		sum = sum.Plus(e.each)
	}
	return sum
}

func checkpoint(left time.Duration) string {
	return strconv.FormatInt(int64(left), 10)
}

// savedWork returns the work that is left behind a checkpoint.
func savedWork(saved string, total time.Duration) time.Duration {
	n, err := strconv.ParseInt(strings.TrimSpace(saved), 10, 64)
	if err != nil {
		return total
	}
	return time.Duration(n)
}

func compareRefs(a, b workflow.RunKey) int {
	return cmp.Or(
		cmp.Compare(a.Workflow, b.Workflow), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run),
	)
}

// PlacedTaskCount returns how many tasks of a workflow have places.
func (w *Simulation) PlacedTaskCount(id string) int {
	f, _ := w.state.Workflow(id)
	return len(f.PlacedTasks())
}
