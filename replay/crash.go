package replay

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// Deadly describes the tasks of a workflow that crash the worker that runs them.
type Deadly struct {
	// Step and Indices select the tasks.
	Step    int
	Indices []int
	// After is the time from the start of a run to the crash. At zero the worker
	// does not answer the order to start it.
	After time.Duration
	// Return is how the worker comes back.
	Return Return
}

func (d Deadly) includes(ref workflow.RunKey) bool {
	return ref.Step == d.Step && slices.Contains(d.Indices, ref.Index)
}

// A Return is how a worker comes back after a crash.
type Return interface {
	isReturn()
}

// NextIncarnation means that the worker restarts under its own identifier.
type NextIncarnation struct {
	// After is the time from the crash to the restart.
	After time.Duration
}

// Successor means that another worker announces itself at the address.
type Successor struct {
	// After is the time from the crash until the other worker answers, and
	// AnnounceDelay that from then to its first announcement.
	After, AnnounceDelay time.Duration
}

// Never means that only the inventory shows that the worker has ended.
type Never struct{}

func (NextIncarnation) isReturn() {}
func (Successor) isReturn()       {}
func (Never) isReturn()           {}

// A Crash is the end of a worker's process without notice.
type Crash struct {
	// At is when it happened, in simulated time.
	At time.Duration
	// Worker is the identifier of the worker.
	Worker string
	// Cause is the run that crashed the worker; the zero value if a fault did.
	Cause workflow.RunKey
	// Lost holds the runs that ended with the worker, with the cause.
	Lost []workflow.RunKey
}

// A crashLog holds the crashes, and what the invariants need to know of them.
type crashLog struct {
	list []Crash
	// under counts the crashes under each task, whatever their cause.
	under map[workflow.TaskKey]int
	// startsOverBudget counts the starts of each deadly task after crashBudget
	// crashes.
	startsOverBudget map[workflow.TaskKey]int
	// failedRuns holds the numbers of the failed runs of each task. Those of a gang
	// are under its first task.
	failedRuns map[workflow.TaskKey]map[int]bool
}

func newCrashLog() crashLog {
	return crashLog{
		under:            map[workflow.TaskKey]int{},
		startsOverBudget: map[workflow.TaskKey]int{},
		failedRuns:       map[workflow.TaskKey]map[int]bool{},
	}
}

// Crashes returns the crashes of workers that had runs, in order of time.
func (sim *Simulation) Crashes() []Crash {
	return slices.Clone(sim.crashes.list)
}

// NeighbourRuns returns the number of runs that ended because a run of another
// workflow crashed their worker.
func (sim *Simulation) NeighbourRuns() (n int) {
	for _, c := range sim.crashes.list {
		for _, ref := range c.Lost {
			if c.Cause.Workflow != "" && ref.Workflow != c.Cause.Workflow {
				n++
			}
		}
	}
	return n
}

func (sim *Simulation) recordFailure(ref workflow.RunKey) {
	k := ref.TaskKey
	if sim.arrivals[ref.Workflow].Spec.Steps[ref.Step].IsGang {
		k.Index = 0
	}
	if sim.crashes.failedRuns[k] == nil {
		sim.crashes.failedRuns[k] = map[int]bool{}
	}
	sim.crashes.failedRuns[k][ref.Run] = true
}

// isUp reports whether the worker's process is running.
func (w *simWorker) isUp() bool {
	return !w.isShutDown && !w.isDown
}

// crashIfDue crashes the worker if a run on it is due to do so.
func (w *simWorker) crashIfDue(now time.Duration) bool {
	for _, ref := range w.sortedRuns() {
		if e := w.runs[ref]; e.crashesWorker && now-e.startedAt >= e.crashDelay {
			w.crash(now, ref, w.simulation.arrivals[ref.Workflow].Deadly.Return)
			return true
		}
	}
	return false
}

// crash ends the worker's process without notice.
func (w *simWorker) crash(now time.Duration, cause workflow.RunKey, r Return) {
	if !w.isUp() {
		return
	}
	w.loseRuns(now, cause)
	switch r := r.(type) {
	case NextIncarnation:
		w.isDown = true
		w.simulation.scheduleAt(now+r.After, func(now time.Duration) {
			w.isDown = false
			w.restart(now)
		})
	case Successor:
		w.isShutDown = true
		w.simulation.scheduleAt(now+r.After, func(now time.Duration) {
			w.simulation.replaceWorker(now, w, r.AnnounceDelay)
		})
	case Never:
		w.isShutDown = true
	}
}

// loseRuns ends all runs with the worker's process. It counts as a crash unless
// the worker has announced that it leaves.
func (w *simWorker) loseRuns(now time.Duration, cause workflow.RunKey) {
	lost := w.sortedRuns()
	if len(lost) > 0 && w.leavingSince == 0 {
		w.simulation.recordCrash(Crash{
			At:     now,
			Worker: w.announced.ID,
			Cause:  cause,
			Lost:   lost,
		})
	}
	clear(w.runs)
	for _, ref := range lost {
		w.simulation.recordEnd(now, ref, workflow.EndedLost)
	}
}

func (sim *Simulation) recordCrash(c Crash) {
	sim.crashes.list = append(sim.crashes.list, c)
	for _, ref := range c.Lost {
		sim.crashes.under[ref.TaskKey]++
	}
}
