package dispatch

import (
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A stateIndex is derived from a scene. It is kept for as long as the scene
// stays the same and never changes.
type stateIndex struct {
	version   uint64
	workers   map[string]pool.Worker
	workflows map[string]workflow.Workflow
	// placedByWorker holds the tasks that have places, by worker.
	placedByWorker map[string][]workflow.PlacedTask
	placedRuns     map[workflow.Ref]bool
	// isGangBroken holds the gang runs of which some member has no place any more.
	isGangBroken map[workflow.Ref]bool
}

func newStateIndex(state ClusterState) *stateIndex {
	x := &stateIndex{
		version:        state.Version,
		workers:        make(map[string]pool.Worker, len(state.Workers)),
		workflows:      make(map[string]workflow.Workflow, len(state.Workflows)),
		placedByWorker: make(map[string][]workflow.PlacedTask, len(state.Workers)),
		placedRuns:     map[workflow.Ref]bool{},
		isGangBroken:   map[workflow.Ref]bool{},
	}
	for _, w := range state.Workers {
		x.workers[w.ID] = w
	}
	for _, w := range state.Workflows {
		x.workflows[w.Spec.ID] = w
		for _, t := range w.PlacedTasks() {
			x.placedByWorker[t.Worker] = append(x.placedByWorker[t.Worker], t)
			x.placedRuns[t.Ref] = true
			if t.Terms.IsGang && w.IsOpen() && isGangBroken(w, t) {
				x.isGangBroken[t.Ref] = true
			}
		}
	}
	return x
}

// isGangBroken reports whether some member of a gang's run has no place in it.
func isGangBroken(w workflow.Workflow, t workflow.PlacedTask) bool {
	r := w.Occurrences[t.Occurrence].Steps[t.Step]
	if r.IsDone(t.Terms) {
		return false
	}
	for _, other := range r.Tasks {
		if _, ok := other.Place(); !ok || other.Run != t.Run {
			return true
		}
	}
	return false
}
