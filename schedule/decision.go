package schedule

import (
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
)

// A Decision is the outcome of a plan for one job: Place, Stop, Park or Wait.
type Decision interface {
	decision()
}

// Place starts an attempt of a queued job on the given workers.
type Place struct {
	// ID is the job's identifier.
	ID string
	// Attempt is the number of the attempt that the placement starts.
	Attempt int
	// TaskPlacements holds the worker of each task.
	TaskPlacements []job.TaskPlacement
	// Borrowed is true if the placement exceeds the organisation's guarantee.
	Borrowed bool
}

// Stop ends the current attempt of a job.
type Stop struct {
	// ID is the job's identifier.
	ID string
	// Attempt is the attempt to stop.
	Attempt int
	// Reason is why the attempt is stopped.
	Reason job.StopReason
}

// Park removes a job that can never run from the queue until an operator
// releases it.
type Park struct {
	// ID is the job's identifier.
	ID string
	// Reason is a sentence for the job's history.
	Reason string
}

// Wait leaves a job in the queue.
type Wait struct {
	// ID is the job's identifier.
	ID string
	// Reason is what the job waits for.
	Reason WaitReason
}

func (Place) decision() {}
func (Stop) decision()  {}
func (Park) decision()  {}
func (Wait) decision()  {}

// A WaitReason is why a job stays in the queue.
type WaitReason string

// Reasons to wait.
const (
	WaitNoContract  WaitReason = "no-contract"
	WaitCeiling     WaitReason = "ceiling-reached"
	WaitNoRoom      WaitReason = "no-room"
	WaitReservation WaitReason = "behind-reservation"
	WaitReclaim     WaitReason = "capacity-being-reclaimed"
	WaitGuarantees  WaitReason = "would-break-a-guarantee"
	WaitNextPlan    WaitReason = "next-round"
)

// An Estimate predicts run times from the completed jobs of one organisation
// and class, as exponential moving averages.
type Estimate struct {
	// Ratio is the moving average of actual over declared run time.
	Ratio float64 `json:"ratio"`
	// MeanMS is the moving average of the run time, in milliseconds.
	MeanMS float64 `json:"mean-ms"`
	// Samples is the number of completed jobs that were averaged.
	Samples int `json:"samples"`
}

const (
	// smoothingFactor is the weight of a new sample in the moving averages.
	smoothingFactor = 0.2
	defaultRunTime  = 10 * time.Minute
)

// WithSample returns e updated with a completed job's declared and actual run
// time in milliseconds. A declared time of zero leaves Ratio unchanged.
func (e Estimate) WithSample(declaredMS, ranMS int64) Estimate {
	ratio := e.Ratio
	if declaredMS > 0 {
		ratio = float64(ranMS) / float64(declaredMS)
	}
	if e.Samples == 0 {
		e.Ratio, e.MeanMS = ratio, float64(ranMS)
	}
	e.Ratio += smoothingFactor * (ratio - e.Ratio)
	e.MeanMS += smoothingFactor * (float64(ranMS) - e.MeanMS)
	e.Samples++
	return e
}

// Expect predicts the run time of a job from its declared run time in
// milliseconds, zero if it declared none. Without samples the declared time is
// used, and without either a default.
func (e Estimate) Expect(declaredMS int64) time.Duration {
	switch {
	case e.Samples > 0 && declaredMS > 0:
		return time.Duration(float64(declaredMS)*e.Ratio) * time.Millisecond
	case e.Samples > 0:
		return time.Duration(e.MeanMS) * time.Millisecond
	case declaredMS > 0:
		return time.Duration(declaredMS) * time.Millisecond
	}
	return defaultRunTime
}

// EstimateKey returns the key of a job's estimate in Input.Estimates.
func EstimateKey(s job.Spec) string {
	return s.Organisation + "/" + s.Class
}

// An Input is the complete input of Plan, besides the time.
type Input struct {
	// Fleet holds the workers that accept new tasks, with current allocations
	// deducted.
	Fleet Fleet
	// AllWorkers holds all registered workers without allocations; a job that
	// does not fit there can never run.
	AllWorkers Fleet
	// Jobs holds the jobs that have not ended, in order of submission.
	Jobs []job.Job
	// Contracts holds the contracts of all organisations.
	Contracts []contract.Contract
	// Estimates holds the run time estimates by EstimateKey.
	Estimates map[string]Estimate
	// OutOfService is true for the names of data centres that are out of
	// service.
	OutOfService map[string]bool
	// MaxPlacements limits the number of placements in one plan.
	MaxPlacements int
	// Policy selects queue order and placement.
	Policy Policy
}

// A Policy selects how queued jobs are ordered and placed: Guaranteed or
// FirstFit.
type Policy interface {
	policy()
}

// Guaranteed is the production policy. It orders jobs by rank and deadline,
// places them by best fit, lends unused guaranteed capacity to preemptible
// jobs, reclaims it by preemption and reserves capacity for the first job that
// does not fit (backfilling).
type Guaranteed struct{}

// FirstFit is a baseline for comparisons: first in, first out, on the first
// workers with enough free capacity, with no backfilling and no preemption.
type FirstFit struct{}

func (Guaranteed) policy() {}
func (FirstFit) policy()   {}
