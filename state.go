// Package plantainladder defines the replicated state of the scheduler:
// one immutable value that holds all aggregates, and the commands that change
// it. The aggregates and their rules are defined in the packages below. Neither
// depends on an encoding, a clock or the network.
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

// Limits of the tables of a State.
const (
	// MaxContracts is the maximum number of contracts, dropped ones included.
	MaxContracts = 1_000
	// MaxDataCentres is the maximum number of data centres that were edited.
	MaxDataCentres = 256
	// MaxWorkers is the maximum number of registered workers.
	MaxWorkers = 10_000
	// MaxJobs is the maximum number of jobs, including ended ones that are still
	// retained.
	MaxJobs = 20_000
	// MaxOutcomes is the maximum number of outcomes retained for resent commands.
	MaxOutcomes = 20_000
	// OutcomeRetention is how long an outcome is retained for resent commands.
	OutcomeRetention = 24 * time.Hour
	// JobRetention is how long a job is retained after its end.
	JobRetention = 24 * time.Hour
)

// A Versioned value is a record with the log index of its last change.
type Versioned[T any] struct {
	// Value is the record.
	Value T `json:"value"`
	// Index is the log index of the command that wrote it.
	Index uint64 `json:"index"`
	// Dropped is true if the record was removed. It is kept so that gateways
	// learn of the removal.
	Dropped bool `json:"dropped"`
}

// retainedOutcome is an outcome with the time of its command.
type retainedOutcome struct {
	at      time.Time
	outcome Outcome
}

// A State is the whole replicated state at one index of the replicated log. It is
// immutable: Apply returns a new one.
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
	expiries         table[Expiry]
	estimates        table[schedule.Estimate]

	configuration     configuration.Document
	poolWorkers       table[pool.Worker]
	workflows         table[workflow.Workflow]
	activeWorkflowIDs table[string]
	lastRound         uint64
}

// NewState returns the empty replicated state.
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
		expiries:          newTable[Expiry](),
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

// Now returns the time of the last command that was applied, by the clock of the
// leader that proposed it.
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

// DataCentre returns a data centre. It reports false if the data centre was
// never edited.
func (s State) DataCentre(name string) (datacentre.DataCentre, bool) {
	v, ok := s.dataCentres.get(name)
	return v.Value, ok
}

// DataCentres returns all data centres that were edited or have a worker, in the
// order of their names.
func (s State) DataCentres() []datacentre.DataCentre {
	merged := newTable[datacentre.DataCentre]()
	for _, w := range s.workers.all() {
		merged = merged.with(w.DataCentre, datacentre.DataCentre{
			Name: w.DataCentre,
		})
	}
	for _, v := range s.dataCentres.all() {
		merged = merged.with(v.Value.Name, v.Value)
	}
	return merged.all()
}

// IsOutOfService reports whether a data centre is out of service. One that was
// never edited is in service.
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

// Claims returns the claims that are in the given state at the given time.
func (s State) Claims(now time.Time, state claim.State) []claim.Claim {
	var list []claim.Claim
	for _, c := range s.claims.all() {
		if c = c.At(now); c.State == state {
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

// Estimates returns the run time estimates by schedule.EstimateKey.
func (s State) Estimates() map[string]schedule.Estimate {
	m := make(map[string]schedule.Estimate, s.estimates.len())
	for k, v := range s.estimates.entries() {
		m[k] = v
	}
	return m
}

// Counts are the sizes of a State's tables.
type Counts struct {
	// Contracts and Jobs include dropped and ended records. Active counts the
	// jobs that have not ended, ActiveWorkflows those that ActiveWorkflows of State
	// returns.
	Contracts, DataCentres, Workers, Claims, Jobs, Active, Outcomes, Workflows, ActiveWorkflows, PoolWorkers int
}

// Counts returns the sizes of the tables.
func (s State) Counts() Counts {
	return Counts{
		Contracts:       s.contracts.len(),
		DataCentres:     s.dataCentres.len(),
		Workers:         s.workers.len(),
		Claims:          s.claims.len(),
		Jobs:            s.jobs.len(),
		Active:          s.activeJobIDs.len(),
		Outcomes:        s.outcomes.len(),
		Workflows:       s.workflows.len(),
		ActiveWorkflows: s.activeWorkflowIDs.len(),
		PoolWorkers:     s.poolWorkers.len(),
	}
}

// currentValues returns the records of a table that were not dropped.
func currentValues[T any](t table[Versioned[T]]) []T {
	list := make([]T, 0, t.len())
	for _, v := range t.all() {
		if !v.Dropped {
			list = append(list, v.Value)
		}
	}
	return list
}
