package schedule

import (
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
)

// A Decision is what the scheduler wants for one job: Place, Stop, Park or
// Wait.
type Decision interface {
	decision()
}

// Place puts a queued job on workers.
type Place struct {
	// ID is the job's identifier.
	ID string
	// Attempt is the attempt that the placement opens.
	Attempt int
	// Parts holds the place of each task.
	Parts []job.Part
	// Borrowed is true if the placement exceeds the guarantee.
	Borrowed bool
}

// Stop ends the present attempt of a job.
type Stop struct {
	// ID is the job's identifier.
	ID string
	// Attempt is the attempt to stop.
	Attempt int
	// Reason says why.
	Reason job.StopReason
}

// Park takes a job that can never run out of the queue.
type Park struct {
	// ID is the job's identifier.
	ID string
	// Reason is a short sentence.
	Reason string
}

// Wait leaves a job in the queue.
type Wait struct {
	// ID is the job's identifier.
	ID string
	// Reason says what it waits for.
	Reason WaitReason
}

func (Place) decision() {}
func (Stop) decision()  {}
func (Park) decision()  {}
func (Wait) decision()  {}

// A WaitReason is why a job stays queued.
type WaitReason string

// Reasons to wait.
const (
	WaitNoContract  WaitReason = "no-contract"
	WaitCeiling     WaitReason = "ceiling-reached"
	WaitNoRoom      WaitReason = "no-room"
	WaitReservation WaitReason = "behind-reservation"
	WaitReclaim     WaitReason = "capacity-being-reclaimed"
	WaitGuarantees  WaitReason = "would-break-a-guarantee"
	WaitNextRound   WaitReason = "next-round"
)

// An Estimate is what was learned of the run times of an organisation's jobs
// of one class.
type Estimate struct {
	// Ratio is the moving average of real over declared run time.
	Ratio float64 `json:"ratio"`
	// MeanMS is the moving average of the run time, in milliseconds.
	MeanMS float64 `json:"mean-ms"`
	// Samples counts the jobs seen.
	Samples int `json:"samples"`
}

const (
	smoothingFactor = 0.2
	defaultRunTime  = 10 * time.Minute
)

// WithSample returns e after a job that declared and ran as given, in
// milliseconds.
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

// Expect returns the run time to expect of a job that declared as given.
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

// EstimateKey returns the key of a job's estimate.
func EstimateKey(s job.Spec) string {
	return s.Organisation + "/" + s.Class
}

// An Input is all that a plan depends on.
type Input struct {
	// Fleet holds the workers that new tasks may go to, less what tasks hold.
	Fleet Fleet
	// AllWorkers holds all registered workers, empty, for what can ever run.
	AllWorkers Fleet
	// Jobs holds the jobs that have not ended, in the order of submission.
	Jobs []job.Job
	// Contracts holds all contracts.
	Contracts []contract.Contract
	// Estimates holds what was learned, by EstimateKey.
	Estimates map[string]Estimate
	// OutOfService holds the names of the data centres that are out of service.
	OutOfService map[string]bool
	// MaxPlacements bounds the placements of one plan.
	MaxPlacements int
	// Policy is the order and the fit to use.
	Policy Policy
}

// A Policy is how queued jobs are ordered and fitted: Guaranteed or FirstFit.
type Policy interface {
	policy()
}

// Guaranteed is the policy of this project.
type Guaranteed struct{}

// FirstFit is the baseline for comparisons: first in, first out, on the first
// workers with room, with no reservation and no reclaim.
type FirstFit struct{}

func (Guaranteed) policy() {}
func (FirstFit) policy()   {}
