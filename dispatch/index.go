package dispatch

import (
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A sceneIndex is derived from a scene. It is kept for as long as the scene
// stays the same and never changes.
type sceneIndex struct {
	version uint64
	workers map[string]pool.Worker
	flows   map[string]workflow.Workflow
	// placed holds the tasks that have places, by worker.
	placed map[string][]workflow.PlacedTask
	refs   map[workflow.Ref]bool
	// isBroken holds the gang runs of which some member has no place any more.
	isBroken map[workflow.Ref]bool
}

func newSceneIndex(scene ClusterState) *sceneIndex {
	x := &sceneIndex{
		version:  scene.Version,
		workers:  make(map[string]pool.Worker, len(scene.Workers)),
		flows:    make(map[string]workflow.Workflow, len(scene.Workflows)),
		placed:   make(map[string][]workflow.PlacedTask, len(scene.Workers)),
		refs:     map[workflow.Ref]bool{},
		isBroken: map[workflow.Ref]bool{},
	}
	for _, w := range scene.Workers {
		x.workers[w.ID] = w
	}
	for _, w := range scene.Workflows {
		x.flows[w.Spec.ID] = w
		for _, t := range w.PlacedTasks() {
			x.placed[t.Worker] = append(x.placed[t.Worker], t)
			x.refs[t.Ref] = true
			if t.Terms.IsGang && w.IsOpen() && isBroken(w, t) {
				x.isBroken[t.Ref] = true
			}
		}
	}
	return x
}

// isBroken reports whether some member of a gang's run has no place in it.
func isBroken(w workflow.Workflow, t workflow.PlacedTask) bool {
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
