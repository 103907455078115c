package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// A tenancy is the workflows that have runs on a node. An isolated suspect gets a node
// of its own if it can, and nothing is placed beside it; see workflow.Task.
type tenancy struct {
	// workflow is the ID of the only workflow on the node; empty for none.
	workflow string
	// isShared is true if there are several workflows.
	isShared bool
	// isIsolated is true if any of the runs is that of an isolated suspect.
	isIsolated bool
}

// tenancyOf returns the tenancy of a worker.
func tenancyOf(now time.Time, x *stateIndex, worker string) (n tenancy) {
	for _, t := range x.placedByWorker[worker] {
		n = n.withRun(t.Workflow, x.isIsolated(now, t))
	}
	return n
}

// isIsolated reports whether a placed task, or its gang, is isolated.
func (x *stateIndex) isIsolated(now time.Time, t workflow.PlacedTask) bool {
	w, ok := x.withSuspects[t.Workflow]
	if !ok {
		return false
	}
	r := w.Occurrences[t.Occurrence].Steps[t.Step]
	if t.StepSpec.IsGang {
		return r.IsIsolated(now)
	}
	return r.Tasks[t.Index].IsIsolated(now)
}

// withRun returns n with a further run.
func (n tenancy) withRun(workflow string, isIsolated bool) tenancy {
	n.isShared = n.isShared || n.workflow != "" && n.workflow != workflow
	n.isIsolated = n.isIsolated || isIsolated
	n.workflow = workflow
	return n
}

// admits reports whether a task group may use a node with this tenancy.
func (n tenancy) admits(g taskGroup) bool {
	return n.isOwnedBy(g) || !n.isIsolated && !g.isIsolated
}

// isOwnedBy reports whether no other workflow than that of g has runs on the node.
func (n tenancy) isOwnedBy(g taskGroup) bool {
	return !n.isShared && (n.workflow == "" || n.workflow == g.wf.Spec.ID)
}
