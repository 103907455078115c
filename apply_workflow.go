package plantainladder

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// PutConfiguration replaces the whole configuration if the version of the new one
// is higher. Otherwise it is accepted without effect.
type PutConfiguration struct {
	// Document is the new configuration.
	Document configuration.Document `json:"document"`
}

// Confirm changes nothing. Leaders no longer propose it; logs of earlier versions hold it.
type Confirm struct{}

// SubmitWorkflow adds a workflow.
type SubmitWorkflow struct {
	// Spec is the specification of the workflow. Its organisation is set to the
	// one that the token belongs to.
	Spec workflow.Spec `json:"spec"`
	// Token is the token that the caller sent. It may be empty for a public queue.
	Token string `json:"token"`
	// LimitOverage is the share by which the leader lets a gang exceed the limit of its
	// organisation. Commands of earlier versions lack it.
	LimitOverage float64 `json:"limit-overage,omitempty"`
}

// CancelWorkflow cancels a workflow that is accessible to the organisation that the token
// belongs to.
type CancelWorkflow struct {
	// ID is the workflow's identifier.
	ID string `json:"id"`
	// Queue is the name of the queue to which the caller sent the request.
	Queue string `json:"queue"`
	// Token is the token that the caller sent. It may be empty for a public queue.
	Token string `json:"token"`
}

// Announce records the announcement of a worker, unless a later one is known. It is
// refused if AcceptsAnnouncement of State is false for it.
type Announce struct {
	// Worker is the worker as it announced itself.
	Worker pool.Worker `json:"worker"`
}

// A Round holds everything that a leader observed and decided about workflows
// since its last round, so that it is committed together. Run ends are applied
// before placements.
type Round struct {
	// ID identifies the round, so that the leader can tell whether the state
	// includes it.
	ID uint64 `json:"id"`
	// RemovedWorkers lists the identifiers of workers whose announcements are
	// removed.
	RemovedWorkers []string `json:"forgotten,omitempty"`
	// RunEnds lists the runs that ended.
	RunEnds []workflow.RunEnd `json:"ends,omitempty"`
	// LossVerdicts lists what became of the workers of runs that ended as lost. They are
	// applied after the run ends.
	LossVerdicts []workflow.LossVerdict `json:"verdicts,omitempty"`
	// Placements lists the tasks that are placed. Those of one step follow each
	// other, since they are accepted or ignored together.
	Placements []workflow.Placement `json:"placements,omitempty"`
	// Speeds lists what was learned of the speeds of workers.
	Speeds []WorkerSpeed `json:"speeds,omitempty"`
}

// A WorkerSpeed is the speed of an incarnation of a worker; see pool.Worker.
type WorkerSpeed struct {
	Worker      string  `json:"worker"`
	Incarnation int64   `json:"born"`
	LogSpeed    float64 `json:"log-speed"`
	Precision   float64 `json:"precision"`
}

func (PutConfiguration) command() {}
func (Confirm) command()          {}
func (SubmitWorkflow) command()   {}
func (CancelWorkflow) command()   {}
func (Announce) command()         {}
func (Round) command()            {}

// IsEmpty reports whether r contains neither an end, a verdict, a placement nor a
// removal. Speeds alone are not worth a round.
func (r Round) IsEmpty() bool {
	return len(r.RemovedWorkers)+len(r.RunEnds)+len(r.LossVerdicts)+len(r.Placements) == 0
}

// Limits of the table of workflows.
const (
	// MaxWorkflows is the maximum number of workflows, including inactive ones that
	// are still retained.
	MaxWorkflows = 200_000
	// WorkflowRetention is how long a workflow can be read after it became
	// inactive. Callers require 120 s; the rest allows for changes of the leader
	// and for differences between the leaders' clocks.
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

// ActiveWorkflows returns the workflows that are open or have tasks that are still
// placed, in the order of submission.
func (s State) ActiveWorkflows() []workflow.Workflow {
	list := make([]workflow.Workflow, 0, s.activeWorkflowIDs.len())
	for _, id := range s.activeWorkflowIDs.all() {
		if w, ok := s.workflows.get(id); ok {
			list = append(list, w)
		}
	}
	return list
}

// CountPendingWorkflows returns the number of open workflows of a queue of which
// no task was placed yet.
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

// PoolWorker returns a worker as it last announced itself.
func (s State) PoolWorker(id string) (pool.Worker, bool) {
	return s.poolWorkers.get(id)
}

// AcceptsAnnouncement reports whether an announcement names a worker to use. Another
// program may announce itself under a worker's identifier, with a pool that is not
// configured. Such an announcement is accepted only if the known worker is in this pool,
// which was removed since, and before there is a configuration.
func (s State) AcceptsAnnouncement(w pool.Worker) bool {
	if s.configuration.IsZero() || s.configuration.HasPool(w.Pool) {
		return true
	}
	known, ok := s.poolWorkers.get(w.ID)
	return ok && w.Pool == known.Pool
}

// LastRound returns the identifier of the last round that was applied.
func (s State) LastRound() uint64 {
	return s.lastRound
}

func (s State) applyPutConfiguration(c PutConfiguration) (State, Outcome) {
	if err := c.Document.Check(); err != nil {
		return s, refuseField(err)
	}
	if c.Document.Version > s.configuration.Version {
		isFirst := s.configuration.IsZero()
		s.configuration = c.Document
		s = s.withConfiguredPools()
		if isFirst {
			s = s.withoutUnconfiguredWorkers()
		}
	}
	return s, Outcome{
		Revision: s.configuration.Version,
	}
}

// withConfiguredPools returns s with each open workflow in the pool that the
// configuration names for its queue. If its queue was removed, it stays where it is.
func (s State) withConfiguredPools() State {
	pools := map[string]string{}
	for _, q := range slices.Backward(s.configuration.Queues) {
		pools[q.Name] = q.Pool
	}
	for _, w := range s.ActiveWorkflows() {
		if name, ok := pools[w.Spec.Queue]; ok && w.IsOpen() && name != w.QueueSettings.Pool {
			s = s.withWorkflow(w.WithPool(name))
		}
	}
	return s
}

// Settled returns the outcome of a command that changes nothing, whatever other commands
// follow; ok is false for all others.
func (s State) Settled(c Command) (o Outcome, ok bool) {
	put, isPut := c.(PutConfiguration)
	if !isPut {
		return o, false
	}
	_, o = s.applyPutConfiguration(put)
	o.Index = s.index
	return o, !o.IsAccepted() || put.Document.Version <= s.configuration.Version
}

// HasAccepted reports whether a call has submitted the workflow with the identifier. If
// the call sends its submission again since the answer was lost, that is accepted without
// effect, whatever was withdrawn since.
func (s State) HasAccepted(id, call string) bool {
	w, ok := s.workflows.get(id)
	return ok && call != "" && w.Spec.Call == call
}

func (s State) applySubmitWorkflow(now time.Time, c SubmitWorkflow) (State, Outcome) {
	if s.HasAccepted(c.Spec.ID, c.Spec.Call) {
		return s, Outcome{}
	}
	q, ok := s.configuration.Queue(c.Spec.Queue)
	if !ok {
		return s, refuse(RefusedNotFound, "queue", "there is no such queue")
	}
	owner, known := s.configuration.OrganisationByToken(c.Token)
	if !known && !q.Public {
		return s, refuse(RefusedUnknownOrganisation, "token", "no organisation holds this token")
	}
	if w, taken := s.workflows.get(c.Spec.ID); taken {
		return s, resubmissionOutcome(w, q.Name, owner.Name)
	}
	if err := c.Spec.Check(); err != nil {
		return s, refuseField(err)
	}
	if o, exceeds := checkLimit(owner, c.Spec, c.LimitOverage); exceeds {
		return s, o
	}
	if s.workflows.len() >= MaxWorkflows {
		return s, refuse(RefusedTableFull, "queue", "too many workflows")
	}
	c.Spec.Organisation = owner.Name
	return s.withWorkflow(workflow.New(now, c.Spec, workflow.QueueSettings{
		Pool:        q.Pool,
		Priority:    q.Priority,
		MaxAttempts: max(q.MaxAttempts, 1),
		Stretch:     q.Stretch,
		Slack:       q.Slack,
	})), Outcome{}
}

// resubmissionOutcome returns the outcome of a submission whose identifier is
// already in use. A submission by a caller to whom the workflow is accessible is taken
// to be sent again and is accepted without effect.
func resubmissionOutcome(w workflow.Workflow, queue, organisation string) Outcome {
	if !w.IsAccessible(queue, organisation) {
		return refuse(RefusedNotOwner, "id", "the identifier belongs to another organisation's workflow")
	}
	return Outcome{}
}

func (s State) applyCancelWorkflow(now time.Time, c CancelWorkflow) (State, Outcome) {
	q, ok := s.configuration.Queue(c.Queue)
	if !ok {
		return s, refuse(RefusedNotFound, "queue", "there is no such queue")
	}
	owner, known := s.configuration.OrganisationByToken(c.Token)
	if !known && !q.Public {
		return s, refuse(RefusedUnknownOrganisation, "token", "no organisation holds this token")
	}
	w, ok := s.workflows.get(c.ID)
	if !ok || !w.IsAccessible(q.Name, owner.Name) {
		return s, refuse(RefusedNotFound, "id", "there is no such workflow")
	}
	return s.withWorkflow(w.WithCancelled(now)), Outcome{}
}

// withoutUnconfiguredWorkers returns s without the workers of pools that are not
// configured. Before the first configuration any announcement was accepted.
func (s State) withoutUnconfiguredWorkers() State {
	for _, w := range s.PoolWorkers() {
		if !s.configuration.HasPool(w.Pool) {
			s.poolWorkers = s.poolWorkers.without(w.ID)
		}
	}
	return s
}

func (s State) applyAnnounce(c Announce) (State, Outcome) {
	if !s.AcceptsAnnouncement(c.Worker) {
		return s, refuse(RefusedNotFound, "pool", "there is no such pool")
	}
	current, ok := s.poolWorkers.get(c.Worker.ID)
	if ok && !c.Worker.Supersedes(current) {
		return s, Outcome{}
	}
	next := c.Worker.WithGeneration(current.Generation).WithSpeed(current.LogSpeed, current.SpeedPrecision)
	if !ok || c.Worker.Incarnation != current.Incarnation {
		// Log indexes rise, also while the worker is not known.
		next = c.Worker.WithGeneration(s.index).WithSpeed(0, 0)
	}
	s.poolWorkers = s.poolWorkers.with(c.Worker.ID, next)
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
	for _, v := range r.LossVerdicts {
		if w, ok := s.workflows.get(v.Workflow); ok {
			s = s.withWorkflow(w.WithLossVerdict(now, v))
		}
	}
	for _, list := range groupByStep(r.Placements) {
		if w, ok := s.workflows.get(list[0].Workflow); ok {
			w, _ = w.WithPlacements(now, list)
			s = s.withWorkflow(w)
		}
	}
	for _, learned := range r.Speeds {
		if w, ok := s.poolWorkers.get(learned.Worker); ok && w.Incarnation == learned.Incarnation {
			s.poolWorkers = s.poolWorkers.with(w.ID, w.WithSpeed(learned.LogSpeed, learned.Precision))
		}
	}
	return s, Outcome{}
}

// groupByStep splits placements into groups of consecutive ones of the same step.
func groupByStep(list []workflow.Placement) (groups [][]workflow.Placement) {
	from := 0
	for i := range list {
		if i+1 < len(list) && isSameStep(list[i].TaskKey, list[i+1].TaskKey) {
			continue
		}
		groups = append(groups, list[from:i+1])
		from = i + 1
	}
	return groups
}

func isSameStep(a, b workflow.TaskKey) bool {
	return a.Workflow == b.Workflow && a.Occurrence == b.Occurrence && a.Step == b.Step
}

// WithRound returns the state as it will be once the round is committed, for
// decisions that the leader makes before that.
func (s State) WithRound(now time.Time, r Round) State {
	s, _ = s.applyRound(now, r)
	return s
}

// withWorkflow returns s with a workflow added or replaced and the index of active
// workflows updated.
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
		s = s.withExpiry(Expiry{
			Kind: expireWorkflow,
			Key:  id,
			At:   s.now.Add(WorkflowRetention),
		})
	}
	return s
}

// withRestoredWorkflow is withWorkflow for a workflow from a snapshot. An inactive
// one expires counting from its finish, since the snapshot does not hold the time
// at which it became inactive.
func (s State) withRestoredWorkflow(w workflow.Workflow) State {
	s = s.withWorkflow(w)
	if w.IsInactive() {
		s = s.withExpiry(Expiry{
			Kind: expireWorkflow,
			Key:  w.Spec.ID,
			At:   w.FinishedAt().Add(WorkflowRetention),
		})
	}
	return s
}
