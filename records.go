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

// Records hold the contents of a State as plain lists, for a snapshot.
type Records struct {
	// Index and Now are the log index and the time of the state.
	Index uint64
	Now   time.Time
	// Contracts and DataCentres list the edited records, dropped ones included.
	Contracts   []Versioned[contract.Contract]
	DataCentres []Versioned[datacentre.DataCentre]
	// Workers, Claims and Jobs list the records of the tables of these names.
	Workers []worker.Worker
	Claims  []claim.Claim
	Jobs    []job.Job
	// Outcomes lists the outcomes that are retained for resent commands.
	Outcomes []OutcomeRecord
	// Estimates holds the run time estimates by schedule.EstimateKey.
	Estimates map[string]schedule.Estimate
	// Configuration is the configuration in force.
	Configuration configuration.Document
	// PoolWorkers and Workflows list the records of the tables of these names.
	PoolWorkers []pool.Worker
	Workflows   []workflow.Workflow
	// LastRound is the identifier of the last Round that was applied.
	LastRound uint64
	// Expiries lists the pending expiries of records. It is nil in snapshots of
	// versions that did not store them; they are then derived from the records.
	Expiries []Expiry
}

// An OutcomeRecord is the outcome of a command that is retained in case the
// command is sent again.
type OutcomeRecord struct {
	// ID is the command's identifier.
	ID string `json:"id"`
	// At is the time of the command.
	At time.Time `json:"at"`
	// Outcome is the result of the command.
	Outcome Outcome `json:"outcome"`
}

// Records returns the contents of the state as plain lists.
func (s State) Records() Records {
	r := Records{
		Index:       s.index,
		Now:         s.now,
		Contracts:   s.contracts.all(),
		DataCentres: s.dataCentres.all(),
		Workers:     s.workers.all(),
		Claims:      s.claims.all(),
		Jobs:        s.jobs.all(),
		Estimates:   s.Estimates(),

		Configuration: s.configuration,
		PoolWorkers:   s.poolWorkers.all(),
		Workflows:     s.workflows.all(),
		LastRound:     s.lastRound,
		Expiries:      s.expiries.all(),
	}
	for id, retained := range s.outcomes.entries() {
		r.Outcomes = append(r.Outcomes, OutcomeRecord{
			ID:      id,
			At:      retained.at,
			Outcome: retained.outcome,
		})
	}
	return r
}

// NewStateFromRecords returns the state with the given contents. It rebuilds the
// indexes.
func NewStateFromRecords(r Records) State {
	s := NewState()
	s.index, s.now = r.Index, r.Now
	for _, v := range r.Contracts {
		s.contracts = s.contracts.with(v.Value.Organisation, v)
	}
	for _, v := range r.DataCentres {
		s.dataCentres = s.dataCentres.with(v.Value.Name, v)
	}
	for _, w := range r.Workers {
		s.workers = s.workers.with(w.Name, w)
	}
	for _, c := range r.Claims {
		s = s.withRestoredClaim(c)
	}
	for _, j := range r.Jobs {
		s = s.withRestoredJob(j)
	}
	for _, k := range r.Outcomes {
		s = s.withOutcome(k.At, k.ID, k.Outcome)
	}
	for k, e := range r.Estimates {
		s.estimates = s.estimates.with(k, e)
	}
	s.configuration, s.lastRound = r.Configuration, r.LastRound
	for _, w := range r.PoolWorkers {
		s.poolWorkers = s.poolWorkers.with(w.ID, w)
	}
	for _, w := range r.Workflows {
		s = s.withRestoredWorkflow(w)
	}
	s = s.withConfiguredPools()
	if r.Expiries == nil {
		return s
	}
	s.expiries = newTable[Expiry]()
	for _, e := range r.Expiries {
		s = s.withExpiry(e)
	}
	return s
}

func (s State) withRestoredClaim(c claim.Claim) State {
	s.claims = s.claims.with(c.Key.String(), c)
	s.claimAnswerBytes += len(c.Answer.Body)
	return s.withExpiry(Expiry{
		Kind: expireClaim,
		Key:  c.Key.String(),
		At:   c.Expires,
	})
}

func (s State) withRestoredJob(j job.Job) State {
	s.jobs = s.jobs.with(j.Spec.ID, j)
	if end, ok := j.Phase.(job.Ended); ok {
		return s.withExpiry(Expiry{
			Kind: expireJob,
			Key:  j.Spec.ID,
			At:   end.At.Add(JobRetention),
		})
	}
	s.activeJobIDs = s.activeJobIDs.with(submissionKey(j), j.Spec.ID)
	n, _ := s.activeJobCounts.get(j.Spec.Organisation)
	s.activeJobCounts = s.activeJobCounts.with(j.Spec.Organisation, n+1)
	return s
}
