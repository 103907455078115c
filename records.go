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

// Records are a State as plain lists, for a snapshot.
type Records struct {
	// Index and Now are the state's index and time.
	Index uint64
	Now   time.Time
	// Contracts and DataCentres hold the edited records, dropped ones included.
	Contracts   []Versioned[contract.Contract]
	DataCentres []Versioned[datacentre.DataCentre]
	// Workers, Claims and Jobs hold the tables of these names.
	Workers []worker.Worker
	Claims  []claim.Claim
	Jobs    []job.Job
	// Outcomes holds the outcomes kept for resent commands.
	Outcomes []OutcomeRecord
	// Estimates holds what was learned of run times.
	Estimates map[string]schedule.Estimate
	// Configuration is the configuration in force.
	Configuration configuration.Document
	// PoolWorkers and Workflows hold the tables of these names.
	PoolWorkers []pool.Worker
	Workflows   []workflow.Workflow
	// LastRound is the identifier of the last round.
	LastRound uint64
}

// A OutcomeRecord is the outcome of a command, kept for a resend.
type OutcomeRecord struct {
	// ID is the command's identifier.
	ID string `json:"id"`
	// At is the time of the command.
	At time.Time `json:"at"`
	// Outcome is what became of it.
	Outcome Outcome `json:"outcome"`
}

// Records returns the state as plain lists.
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
	}
	for id, kept := range s.outcomes.entries() {
		r.Outcomes = append(r.Outcomes, OutcomeRecord{
			ID:      id,
			At:      kept.at,
			Outcome: kept.outcome,
		})
	}
	return r
}

// NewStateFromRecords returns the state that the records describe.
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
	return s
}

func (s State) withRestoredClaim(c claim.Claim) State {
	s.claims = s.claims.with(c.Key.String(), c)
	s.claimAnswerBytes += len(c.Answer.Body)
	return s.withExpiry(expiry{
		Kind: expireClaim,
		Key:  c.Key.String(),
		At:   c.Expires,
	})
}

func (s State) withRestoredJob(j job.Job) State {
	s.jobs = s.jobs.with(j.Spec.ID, j)
	if end, ok := j.Phase.(job.Ended); ok {
		return s.withExpiry(expiry{
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
