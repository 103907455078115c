package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// A tenancy is the workflows that have runs on a node. A suspect gets a node of its
// own if it can, and nothing is placed beside it, so that a crash shows whether it is
// the cause and harms nothing else.
type tenancy struct {
	// workflow is the ID of the only workflow on the node; empty for none.
	workflow string
	// isShared is true if there are several workflows.
	isShared bool
	// isSuspect is true if any of the runs is that of a suspect.
	isSuspect bool
}

// tenancyOf returns the tenancy of a worker.
func tenancyOf(x *stateIndex, worker string) (n tenancy) {
	for _, t := range x.placedByWorker[worker] {
		n = n.withRun(t.Workflow, x.isSuspect(t))
	}
	return n
}

// isSuspect reports whether a placed task, or a member of its gang, is a suspect.
func (x *stateIndex) isSuspect(t workflow.PlacedTask) bool {
	w, ok := x.withSuspects[t.Workflow]
	if !ok {
		return false
	}
	r := w.Occurrences[t.Occurrence].Steps[t.Step]
	return r.Tasks[t.Index].IsSuspect() || t.StepSpec.IsGang && r.HasSuspect()
}

// withRun returns n with a further run.
func (n tenancy) withRun(workflow string, isSuspect bool) tenancy {
	n.isShared = n.isShared || n.workflow != "" && n.workflow != workflow
	n.isSuspect = n.isSuspect || isSuspect
	n.workflow = workflow
	return n
}

// isolationWait is how long a suspect waits for a worker of its own. Source: the
// platform's rules, by which a task that could run may wait for 3 s.
const isolationWait = 2 * time.Second

// admits reports whether a task group may use a node with this tenancy.
func (n tenancy) admits(g taskGroup) bool {
	return n.isOwnedBy(g) || !n.isSuspect && !g.isExclusive
}

// isOwnedBy reports whether no other workflow than that of g has runs on the node.
func (n tenancy) isOwnedBy(g taskGroup) bool {
	return !n.isShared && (n.workflow == "" || n.workflow == g.wf.Spec.ID)
}
