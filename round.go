package plantainladder

import (
	"time"

	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// PutConfiguration replaces the whole configuration, if its version is higher.
type PutConfiguration struct {
	// Document is the new configuration.
	Document configuration.Document `json:"document"`
}

// Confirm changes nothing. Once it is committed, its proposer knows that the
// state holds everything that was committed before.
type Confirm struct{}

// SubmitWorkflow accepts a workflow.
type SubmitWorkflow struct {
	// Spec is the workflow. Its organisation is the holder of the token.
	Spec workflow.Spec `json:"spec"`
	// Token is what the caller showed.
	Token string `json:"token"`
}

// CancelWorkflow gives a workflow up.
type CancelWorkflow struct {
	// ID is the workflow's identifier.
	ID string `json:"id"`
	// Queue and Token are what the caller named.
	Queue string `json:"queue"`
	Token string `json:"token"`
}

// Announce keeps a worker's announcement that brings something new.
type Announce struct {
	// Worker is the announcement.
	Worker pool.Worker `json:"worker"`
}

// A Round is all that a leader found out and decided about workflows since its
// last round. Ends are applied before placements.
type Round struct {
	// ID names the round to its leader.
	ID uint64 `json:"id"`
	// RemovedWorkers lists workers that are gone.
	RemovedWorkers []string `json:"forgotten,omitempty"`
	// RunEnds holds the ends of runs.
	RunEnds []workflow.RunEnd `json:"ends,omitempty"`
	// Placements holds new places, those of a gang one after another.
	Placements []workflow.Placement `json:"placements,omitempty"`
}

func (PutConfiguration) command() {}
func (Confirm) command()          {}
func (SubmitWorkflow) command()   {}
func (CancelWorkflow) command()   {}
func (Announce) command()         {}
func (Round) command()            {}

// IsEmpty reports whether r holds nothing.
func (r Round) IsEmpty() bool {
	return len(r.RemovedWorkers)+len(r.RunEnds)+len(r.Placements) == 0
}

// Bounds of the tables of workflows.
const (
	// MaxWorkflows is the largest number of workflows, those that ended lately
	// included.
	MaxWorkflows = 200_000
	// WorkflowRetention is how long a workflow can be read after its end. Callers
	// ask for 120 s; the rest covers changes of the leader and its clock.
	WorkflowRetention = 150 * time.Second
)

// Configuration returns the configuration in force.
func (s State) Configuration() configuration.Document {
	return s.configuration
}

// Workflow returns a workflow.
func (s State) Workflow(id string) (workflow.Workflow, bool) {
	return s.workflows.get(id)
}

// ActiveWorkflows returns the workflows that are open or whose tasks still
// have places, in the order of submission.
func (s State) ActiveWorkflows() []workflow.Workflow {
	list := make([]workflow.Workflow, 0, s.activeWorkflowIDs.len())
	for _, id := range s.activeWorkflowIDs.all() {
		if w, ok := s.workflows.get(id); ok {
			list = append(list, w)
		}
	}
	return list
}

// CountPendingWorkflows counts the open workflows of a queue of which no task has
// begun.
func (s State) CountPendingWorkflows(queue string) int {
	n := 0
	for _, w := range s.ActiveWorkflows() {
		if w.Spec.Queue == queue && w.Status() == workflow.StatusPending {
			n++
		}
	}
	return n
}

// PoolWorkers returns the workers of all pools in the order of their
// identifiers.
func (s State) PoolWorkers() []pool.Worker {
	return s.poolWorkers.all()
}

// PoolWorker returns the last announcement of a worker.
func (s State) PoolWorker(id string) (pool.Worker, bool) {
	return s.poolWorkers.get(id)
}

// LastRound returns the identifier of the last round.
func (s State) LastRound() uint64 {
	return s.lastRound
}

func (s State) applyPutConfiguration(c PutConfiguration) (State, Outcome) {
	if err := c.Document.Check(); err != nil {
		return s, refuseField(err)
	}
	if c.Document.Version > s.configuration.Version {
		s.configuration = c.Document
	}
	return s, Outcome{
		Revision: s.configuration.Version,
	}
}

func (s State) applySubmitWorkflow(now time.Time, c SubmitWorkflow) (State, Outcome) {
	q, ok := s.configuration.Queue(c.Spec.Queue)
	if !ok {
		return s, refuse(RefusedNotFound, "queue", "there is no such queue")
	}
	holder, known := s.configuration.OrganisationByToken(c.Token)
	if !known && !q.Public {
		return s, refuse(RefusedUnknownOrganisation, "token", "no organisation holds this token")
	}
	if w, taken := s.workflows.get(c.Spec.ID); taken {
		return s, resubmissionOutcome(w, holder.Name)
	}
	if err := c.Spec.Check(); err != nil {
		return s, refuseField(err)
	}
	if s.workflows.len() >= MaxWorkflows {
		return s, refuse(RefusedTableFull, "queue", "too many workflows")
	}
	c.Spec.Organisation = holder.Name
	return s.withWorkflow(workflow.New(now, c.Spec, workflow.QueueSettings{
		Pool:        q.Pool,
		Priority:    q.Priority,
		MaxAttempts: max(q.MaxAttempts, 1),
		Stretch:     q.Stretch,
		Slack:       q.Slack,
	})), Outcome{}
}

// resubmissionOutcome answers a submission under an identifier that is known: a resend
// by the owner was accepted before.
func resubmissionOutcome(w workflow.Workflow, organisation string) Outcome {
	if w.Spec.Organisation != organisation {
		return refuse(RefusedNotOwner, "id", "the identifier belongs to another organisation's workflow")
	}
	return Outcome{}
}

func (s State) applyCancelWorkflow(now time.Time, c CancelWorkflow) (State, Outcome) {
	q, ok := s.configuration.Queue(c.Queue)
	if !ok {
		return s, refuse(RefusedNotFound, "queue", "there is no such queue")
	}
	holder, known := s.configuration.OrganisationByToken(c.Token)
	if !known && !q.Public {
		return s, refuse(RefusedUnknownOrganisation, "token", "no organisation holds this token")
	}
	w, ok := s.workflows.get(c.ID)
	if !ok || w.Spec.Organisation != holder.Name {
		return s, refuse(RefusedNotFound, "id", "there is no such workflow")
	}
	return s.withWorkflow(w.WithCancelled(now)), Outcome{}
}

func (s State) applyAnnounce(c Announce) (State, Outcome) {
	known, ok := s.poolWorkers.get(c.Worker.ID)
	if !ok || c.Worker.Supersedes(known) {
		s.poolWorkers = s.poolWorkers.with(c.Worker.ID, c.Worker)
	}
	return s, Outcome{}
}

func (s State) applyRound(now time.Time, r Round) (State, Outcome) {
	s.lastRound = r.ID
	for _, id := range r.RemovedWorkers {
		s.poolWorkers = s.poolWorkers.without(id)
	}
	for _, e := range r.RunEnds {
		if w, ok := s.workflows.get(e.Workflow); ok {
			s = s.withWorkflow(w.WithRunEnd(now, e))
		}
	}
	for _, list := range groupByStep(r.Placements) {
		if w, ok := s.workflows.get(list[0].Workflow); ok {
			w, _ = w.WithPlacements(now, list)
			s = s.withWorkflow(w)
		}
	}
	return s, Outcome{}
}

// groupByStep cuts placements into runs of those of the same step.
func groupByStep(list []workflow.Placement) (parts [][]workflow.Placement) {
	from := 0
	for i := range list {
		if i+1 < len(list) && isSameStep(list[i].TaskKey, list[i+1].TaskKey) {
			continue
		}
		parts = append(parts, list[from:i+1])
		from = i + 1
	}
	return parts
}

func isSameStep(a, b workflow.TaskKey) bool {
	return a.Workflow == b.Workflow && a.Occurrence == b.Occurrence && a.Step == b.Step
}

// WithRound returns the state as it will be once a round is committed, for
// decisions that build on it.
func (s State) WithRound(now time.Time, r Round) State {
	s, _ = s.applyRound(now, r)
	return s
}

// withWorkflow returns s with a workflow written, its index included.
func (s State) withWorkflow(w workflow.Workflow) State {
	id := w.Spec.ID
	before, existed := s.workflows.get(id)
	s.workflows = s.workflows.with(id, w)
	key := timeKey(w.Submitted, id)
	switch {
	case !w.IsInactive():
		s.activeWorkflowIDs = s.activeWorkflowIDs.with(key, id)
	case existed && !before.IsInactive():
		s.activeWorkflowIDs = s.activeWorkflowIDs.without(key)
		s = s.withExpiry(expiry{
			Kind: expireWorkflow,
			Key:  id,
			At:   s.now.Add(WorkflowRetention),
		})
	}
	return s
}

// withRestoredWorkflow is withWorkflow for a workflow of a snapshot.
func (s State) withRestoredWorkflow(w workflow.Workflow) State {
	s = s.withWorkflow(w)
	if w.IsInactive() {
		s = s.withExpiry(expiry{
			Kind: expireWorkflow,
			Key:  w.Spec.ID,
			At:   w.FinishedAt().Add(WorkflowRetention),
		})
	}
	return s
}
