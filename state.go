// Package plantainladder is the control state of the scheduler: one immutable
// value that holds every aggregate and changes by applying commands. The
// packages below it are the aggregates with their own rules; none of them
// knows an encoding, a clock or a network.
package plantainladder

import (
	"time"

	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/datacentre"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/worker"
	"github.com/plantainladder/plantainladder/workflow"
)

// Bounds of the tables of a State.
const (
	// MaxContracts is the largest number of contracts.
	MaxContracts = 1_000
	// MaxDataCentres is the largest number of data centres.
	MaxDataCentres = 256
	// MaxWorkers is the largest number of workers.
	MaxWorkers = 10_000
	// MaxJobs is the largest number of jobs, those that ended lately included.
	MaxJobs = 20_000
	// MaxOutcomes is the largest number of outcomes kept for resent commands.
	MaxOutcomes = 20_000
	// OutcomeRetention is how long an outcome is kept for resent commands.
	OutcomeRetention = 24 * time.Hour
	// JobRetention is how long a job is kept after its end.
	JobRetention = 24 * time.Hour
)

// A Versioned value knows the log index of its last change.
type Versioned[T any] struct {
	// Value is the record.
	Value T `json:"value"`
	// Index is the log index of the command that wrote it.
	Index uint64 `json:"index"`
	// Dropped is true for a record that was removed.
	Dropped bool `json:"dropped"`
}

// retainedOutcome is an outcome and the time of its command.
type retainedOutcome struct {
	at      time.Time
	outcome Outcome
}

// A State is the whole control state at one index of the replicated log.
type State struct {
	index            uint64
	now              time.Time
	contracts        table[Versioned[contract.Contract]]
	dataCentres      table[Versioned[datacentre.DataCentre]]
	workers          table[worker.Worker]
	claims           table[claim.Claim]
	claimAnswerBytes int
	jobs             table[job.Job]
	activeJobIDs     table[string]
	activeJobCounts  table[int]
	outcomes         table[retainedOutcome]
	expiries         table[expiry]
	estimates        table[schedule.Estimate]

	configuration     configuration.Document
	poolWorkers       table[pool.Worker]
	workflows         table[workflow.Workflow]
	activeWorkflowIDs table[string]
	lastRound         uint64
}

// NewState returns the empty control state.
func NewState() State {
	return State{
		contracts:         newTable[Versioned[contract.Contract]](),
		dataCentres:       newTable[Versioned[datacentre.DataCentre]](),
		workers:           newTable[worker.Worker](),
		claims:            newTable[claim.Claim](),
		jobs:              newTable[job.Job](),
		activeJobIDs:      newTable[string](),
		activeJobCounts:   newTable[int](),
		outcomes:          newTable[retainedOutcome](),
		expiries:          newTable[expiry](),
		estimates:         newTable[schedule.Estimate](),
		poolWorkers:       newTable[pool.Worker](),
		workflows:         newTable[workflow.Workflow](),
		activeWorkflowIDs: newTable[string](),
	}
}

// Index returns the log index of the last command that was applied.
func (s State) Index() uint64 {
	return s.index
}

// Now returns the time of the last command that was applied.
func (s State) Now() time.Time {
	return s.now
}

// Contract returns an organisation's contract.
func (s State) Contract(organisation string) (contract.Contract, bool) {
	v, ok := s.contracts.get(organisation)
	return v.Value, ok && !v.Dropped
}

// Contracts returns all contracts in the order of their names.
func (s State) Contracts() []contract.Contract {
	return currentValues(s.contracts)
}

// DataCentre returns a data centre that was ever edited.
func (s State) DataCentre(name string) (datacentre.DataCentre, bool) {
	v, ok := s.dataCentres.get(name)
	return v.Value, ok
}

// DataCentres returns every data centre that was edited or has a worker.
func (s State) DataCentres() []datacentre.DataCentre {
	known := newTable[datacentre.DataCentre]()
	for _, w := range s.workers.all() {
		known = known.with(w.DataCentre, datacentre.DataCentre{
			Name: w.DataCentre,
		})
	}
	for _, v := range s.dataCentres.all() {
		known = known.with(v.Value.Name, v.Value)
	}
	return known.all()
}

// IsOutOfService reports whether a data centre is out of service.
func (s State) IsOutOfService(name string) bool {
	v, ok := s.dataCentres.get(name)
	return ok && v.Value.OutOfService
}

// Worker returns a registered worker.
func (s State) Worker(name string) (worker.Worker, bool) {
	return s.workers.get(name)
}

// Workers returns all registered workers in the order of their names.
func (s State) Workers() []worker.Worker {
	return s.workers.all()
}

// Claim returns a claim as it is at the given time.
func (s State) Claim(now time.Time, k claim.Key) (claim.Claim, bool) {
	c, ok := s.claims.get(k.String())
	return c.At(now), ok
}

// Claims returns the claims in a state at the given time.
func (s State) Claims(now time.Time, in claim.State) []claim.Claim {
	var list []claim.Claim
	for _, c := range s.claims.all() {
		if c = c.At(now); c.State == in {
			list = append(list, c)
		}
	}
	return list
}

// Job returns a job.
func (s State) Job(id string) (job.Job, bool) {
	return s.jobs.get(id)
}

// Jobs returns all jobs in the order of their identifiers.
func (s State) Jobs() []job.Job {
	return s.jobs.all()
}

// ActiveJobs returns the jobs that have not ended, in the order of submission.
func (s State) ActiveJobs() []job.Job {
	list := make([]job.Job, 0, s.activeJobIDs.len())
	for _, id := range s.activeJobIDs.all() {
		if j, ok := s.jobs.get(id); ok {
			list = append(list, j)
		}
	}
	return list
}

// Estimates returns what was learned of run times, by schedule.EstimateKey.
func (s State) Estimates() map[string]schedule.Estimate {
	m := make(map[string]schedule.Estimate, s.estimates.len())
	for k, v := range s.estimates.entries() {
		m[k] = v
	}
	return m
}

// Counts are the sizes of a State's tables.
type Counts struct {
	// Contracts, DataCentres, Workers, Claims, Jobs, ActiveJobs, Outcomes,
	// Workflows, ActiveWorkflows and PoolWorkers count the records of each table.
	Contracts, DataCentres, Workers, Claims, Jobs, ActiveJobs, Outcomes, Workflows, ActiveWorkflows, PoolWorkers int
}

// Counts returns the sizes of the tables.
func (s State) Counts() Counts {
	return Counts{
		Contracts:       s.contracts.len(),
		DataCentres:     s.dataCentres.len(),
		Workers:         s.workers.len(),
		Claims:          s.claims.len(),
		Jobs:            s.jobs.len(),
		ActiveJobs:      s.activeJobIDs.len(),
		Outcomes:        s.outcomes.len(),
		Workflows:       s.workflows.len(),
		ActiveWorkflows: s.activeWorkflowIDs.len(),
		PoolWorkers:     s.poolWorkers.len(),
	}
}

func currentValues[T any](t table[Versioned[T]]) []T {
	list := make([]T, 0, t.len())
	for _, v := range t.all() {
		if !v.Dropped {
			list = append(list, v.Value)
		}
	}
	return list
}
