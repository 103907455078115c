package dispatch

import (
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A stateIndex holds lookup tables over a ClusterState. It is immutable and is
// reused until the version of the state changes.
type stateIndex struct {
	version   uint64
	workers   map[string]pool.Worker
	workflows map[string]workflow.Workflow
	// withSuspects holds the workflows that have suspects.
	withSuspects map[string]workflow.Workflow
	// unresolvedLosses holds the silent losses of open workflows without a verdict;
	// lossesByWorker holds them by worker ID.
	unresolvedLosses []workflow.UnresolvedLoss
	lossesByWorker   map[string][]workflow.UnresolvedLoss
	// placedByWorker holds the placed tasks by worker ID.
	placedByWorker map[string][]workflow.PlacedTask
	placedRuns     map[workflow.RunKey]bool
	// isGangBroken holds the runs of gangs in which some member is no longer
	// placed.
	isGangBroken map[workflow.RunKey]bool
	// gangMembers holds the placed members of each run of a gang.
	gangMembers map[gangRun][]workflow.PlacedTask
	// used holds what the placed tasks of each organisation use.
	used map[string]pool.ResourceVector
}

// A gangRun identifies the runs that have to be stopped together: one run of all
// members of a gang, or the run of a single task.
type gangRun struct {
	key workflow.TaskKey
	run int
}

func gangRunOf(t workflow.PlacedTask) gangRun {
	k := gangRun{
		key: t.TaskKey,
		run: t.Run,
	}
	if t.StepSpec.IsGang {
		k.key.Index = 0
	}
	return k
}

// indexOf returns the index of a state: that of the committed one, or a new one.
func (s *reconciliation) indexOf(state ClusterState) *stateIndex {
	if s.index.version == state.Version {
		return s.index
	}
	return newStateIndex(state)
}

func newStateIndex(state ClusterState) *stateIndex {
	placed := make([][]workflow.PlacedTask, len(state.Workflows))
	total := 0
	perWorker := make(map[string]int, len(state.Workers))
	for i, w := range state.Workflows {
		placed[i] = w.PlacedTasks()
		total += len(placed[i])
		for _, t := range placed[i] {
			perWorker[t.Worker]++
		}
	}
	x := &stateIndex{
		version:        state.Version,
		workers:        make(map[string]pool.Worker, len(state.Workers)),
		workflows:      make(map[string]workflow.Workflow, len(state.Workflows)),
		withSuspects:   map[string]workflow.Workflow{},
		placedByWorker: make(map[string][]workflow.PlacedTask, len(perWorker)),
		lossesByWorker: map[string][]workflow.UnresolvedLoss{},
		placedRuns:     make(map[workflow.RunKey]bool, total),
		isGangBroken:   map[workflow.RunKey]bool{},
		gangMembers:    map[gangRun][]workflow.PlacedTask{},
		used:           organisationUse(state.Workflows, placed),
	}
	for id, n := range perWorker {
		x.placedByWorker[id] = make([]workflow.PlacedTask, 0, n)
	}
	for _, w := range state.Workers {
		x.workers[w.ID] = w
	}
	for i, w := range state.Workflows {
		x.workflows[w.Spec.ID] = w
		if w.HasSuspect() {
			x.withSuspects[w.Spec.ID] = w
		}
		if w.IsOpen() {
			x.unresolvedLosses = append(x.unresolvedLosses, w.UnresolvedLosses()...)
		}
		for _, t := range placed[i] {
			x.placedByWorker[t.Worker] = append(x.placedByWorker[t.Worker], t)
			x.placedRuns[t.RunKey] = true
		}
		x.addGangs(w, placed[i])
	}
	for _, l := range x.unresolvedLosses {
		x.lossesByWorker[l.Worker] = append(x.lossesByWorker[l.Worker], l)
	}
	return x
}

// addGangs adds the gangs among the placed tasks of a workflow, in which the members
// of a run follow each other.
func (x *stateIndex) addGangs(w workflow.Workflow, placed []workflow.PlacedTask) {
	for len(placed) > 0 {
		first, n := placed[0], 1
		if !first.StepSpec.IsGang {
			placed = placed[1:]
			continue
		}
		k := gangRunOf(first)
		for n < len(placed) && gangRunOf(placed[n]) == k {
			n++
		}
		x.gangMembers[k] = placed[:n:n]
		if w.IsOpen() && isGangBroken(w, first) {
			for _, t := range placed[:n] {
				x.isGangBroken[t.RunKey] = true
			}
		}
		placed = placed[n:]
	}
}

// isGangBroken reports whether some member of the gang of t is no longer placed
// in the run of t, although the step is not done.
func isGangBroken(w workflow.Workflow, t workflow.PlacedTask) bool {
	r := w.Occurrences[t.Occurrence].Steps[t.Step]
	if r.HasSucceeded(t.StepSpec) {
		return false
	}
	for _, other := range r.Tasks {
		if _, ok := other.CurrentPlacement(); !ok || other.Run != t.Run {
			return true
		}
	}
	return false
}
