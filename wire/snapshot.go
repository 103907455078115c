package wire

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/datacentre"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/worker"
	"github.com/plantainladder/plantainladder/workflow"
)

var phases = codec.NewUnion(
	codec.Of[job.Phase, job.Queued](),
	codec.Of[job.Phase, job.Preparing](),
	codec.Of[job.Phase, job.Running](),
	codec.Of[job.Phase, job.Stopping](),
	codec.Of[job.Phase, job.Parked](),
	codec.Of[job.Phase, job.Ended](),
)

// jobRecord is the encoded form of a job.
type jobRecord struct {
	Spec         job.Spec            `json:"spec"`
	Submitted    time.Time           `json:"submitted"`
	Attempt      int                 `json:"attempt"`
	Failures     int                 `json:"failures"`
	EarlyLosses  int                 `json:"early-losses,omitempty"`
	Phase        []byte              `json:"phase"`
	Parts        []job.TaskPlacement `json:"parts"`
	Borrowed     bool                `json:"borrowed"`
	LeaseGraceMS int64               `json:"hold-ms,omitempty"`
	SavedMS      int64               `json:"saved-ms"`
	History      []job.HistoryEntry  `json:"decisions"`
}

// snapshot is the encoded form of plantainladder.Records.
type snapshot struct {
	Index       uint64                                            `json:"index"`
	Now         time.Time                                         `json:"now"`
	Contracts   []plantainladder.Versioned[contract.Contract]     `json:"contracts"`
	DataCentres []plantainladder.Versioned[datacentre.DataCentre] `json:"data-centres"`
	Workers     []worker.Worker                                   `json:"workers"`
	Claims      []claim.Claim                                     `json:"claims"`
	Jobs        []jobRecord                                       `json:"jobs"`
	Outcomes    []plantainladder.OutcomeRecord                    `json:"outcomes"`
	Estimates   map[string]schedule.Estimate                      `json:"estimates"`

	Configuration configuration.Document `json:"configuration"`
	PoolWorkers   []pool.Worker          `json:"pool-workers"`
	Workflows     []workflowRecord       `json:"workflows"`
	LastRound     uint64                 `json:"last-round"`

	Expiries []plantainladder.Expiry `json:"expiries"`
}

// MarshalState returns a state in the format of snapshots.
func MarshalState(s plantainladder.State) (b []byte, err error) {
	r := s.Records()
	out := snapshot{
		Index:       r.Index,
		Now:         r.Now,
		Contracts:   r.Contracts,
		DataCentres: r.DataCentres,
		Workers:     r.Workers,
		Claims:      r.Claims,
		Jobs:        make([]jobRecord, len(r.Jobs)),
		Outcomes:    r.Outcomes,
		Estimates:   r.Estimates,

		Configuration: r.Configuration,
		PoolWorkers:   r.PoolWorkers,
		Workflows:     make([]workflowRecord, len(r.Workflows)),
		LastRound:     r.LastRound,
		Expiries:      r.Expiries,
	}
	for i, j := range r.Jobs {
		if out.Jobs[i], err = fromJob(j); err != nil {
			return nil, err
		}
	}
	for i, w := range r.Workflows {
		if out.Workflows[i], err = fromWorkflow(w); err != nil {
			return nil, err
		}
	}
	return codec.Marshal(out)
}

// UnmarshalState returns the state that b encodes.
func UnmarshalState(b []byte) (s plantainladder.State, err error) {
	in, err := codec.Unmarshal[snapshot](b)
	if err != nil {
		return s, err
	}
	r := plantainladder.Records{
		Index:       in.Index,
		Now:         in.Now,
		Contracts:   in.Contracts,
		DataCentres: in.DataCentres,
		Workers:     in.Workers,
		Claims:      in.Claims,
		Jobs:        make([]job.Job, len(in.Jobs)),
		Outcomes:    in.Outcomes,
		Estimates:   in.Estimates,

		Configuration: in.Configuration,
		PoolWorkers:   in.PoolWorkers,
		Workflows:     make([]workflow.Workflow, len(in.Workflows)),
		LastRound:     in.LastRound,
		Expiries:      in.Expiries,
	}
	for i, j := range in.Jobs {
		if r.Jobs[i], err = j.toJob(); err != nil {
			return s, err
		}
	}
	for i, w := range in.Workflows {
		if r.Workflows[i], err = w.toWorkflow(); err != nil {
			return s, err
		}
	}
	return plantainladder.NewStateFromRecords(r), nil
}

func fromJob(j job.Job) (r jobRecord, err error) {
	phase, err := phases.Marshal(j.Phase)
	return jobRecord{
		Spec:         j.Spec,
		Submitted:    j.Submitted,
		Attempt:      j.Attempt,
		Failures:     j.Failures,
		EarlyLosses:  j.EarlyLosses,
		Phase:        phase,
		Parts:        j.TaskPlacements,
		Borrowed:     j.Borrowed,
		LeaseGraceMS: j.LeaseGraceMS,
		SavedMS:      j.SavedMS,
		History:      j.History,
	}, err
}

func (r jobRecord) toJob() (j job.Job, err error) {
	phase, err := phases.Unmarshal(r.Phase)
	return job.Job{
		Spec:           r.Spec,
		Submitted:      r.Submitted,
		Attempt:        r.Attempt,
		Failures:       r.Failures,
		EarlyLosses:    r.EarlyLosses,
		Phase:          phase,
		TaskPlacements: r.Parts,
		Borrowed:       r.Borrowed,
		LeaseGraceMS:   r.LeaseGraceMS,
		SavedMS:        r.SavedMS,
		History:        r.History,
	}, err
}
