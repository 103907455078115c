package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A Kind describes the distribution of one kind of workflow in a load.
type Kind struct {
	// Queue is the queue that the workflows are submitted to.
	Queue configuration.Queue
	// PerSecond is the mean arrival rate of the Poisson process.
	PerSecond float64
	// Tasks is the mean number of tasks of a step, WorkSeconds their mean run
	// time. Both are log-normally distributed; the sigmas are the standard
	// deviations of their logarithms.
	Tasks, TasksSigma      float64
	WorkSeconds, WorkSigma float64
	// MaxTasks and MaxWorkSeconds are upper limits of the drawn values.
	MaxTasks       int
	MaxWorkSeconds float64
	// PerTask is the processor time and memory that a task needs. Its number of
	// accelerators is drawn from Accelerators.
	PerTask      pool.ResourceVector
	Accelerators []int
	// GangShare is the share of workflows whose tasks form a gang,
	// RackSensitiveShare the share of those that are sensitive to racks, and
	// Checkpointable the share that saves checkpoints, each from 0 to 1.
	GangShare, RackSensitiveShare, Checkpointable float64
	// EstimateError is the largest error of estimates, as a fraction of the run
	// time.
	EstimateError float64
	// FailingShare is the share of workflows that always fail, CancelledShare
	// the share that is cancelled, each from 0 to 1.
	FailingShare, CancelledShare float64
	// Score is the score of a workflow of mean size that completes within its
	// target turnaround, LateScore that of one that completes within three times
	// its target turnaround.
	Score, LateScore float64
}

// A Burst changes the arrival rate of one kind of workflow for a time.
type Burst struct {
	// Queue is the name of the kind's queue.
	Queue string
	// From and Until are when the burst begins and ends, in simulated time.
	From, Until time.Duration
	// RateFactor multiplies the arrival rate.
	RateFactor float64
}

// A Load describes the workflows that are submitted to a simulation.
type Load struct {
	// Kinds holds the kinds of workflows.
	Kinds []Kind
	// Bursts holds the changes of the arrival rates.
	Bursts []Burst
	// From and Until bound the arrivals, in simulated time.
	From, Until time.Duration
	// Organisations holds the names of the organisations. Each submits an equal
	// share.
	Organisations []string
}

// Submit draws workflows from a seed and submits them to a simulation. It
// returns their identifiers by kind, in order of arrival.
func (l Load) Submit(sim *Simulation, seed uint64) (ids []string) {
	rng := rand.New(rand.NewPCG(seed, seed^math.MaxUint32))
	for _, k := range l.Kinds {
		for at := l.From; ; {
			gap := rng.ExpFloat64() / (k.PerSecond * l.rateFactor(k.Queue.Name, at))
			at += time.Duration(gap * float64(time.Second))
			if at >= l.Until {
				break
			}
			id := fmt.Sprintf("%s-%04d", k.Queue.Name, len(ids))
			sim.Submit(id, k.drawArrival(rng, at, l.Organisations[rng.IntN(len(l.Organisations))]))
			ids = append(ids, id)
		}
	}
	return ids
}

func (l Load) rateFactor(queue string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		if b.Queue == queue && at >= b.From && at < b.Until {
			factor *= b.RateFactor
		}
	}
	return factor
}

// drawArrival draws one workflow that arrives at the given time.
func (k Kind) drawArrival(rng *rand.Rand, at time.Duration, organisation string) Arrival {
	tasks := max(1, min(k.MaxTasks, int(math.Round(logNormal(rng, k.Tasks, k.TasksSigma)))))
	work := min(k.MaxWorkSeconds, logNormal(rng, k.WorkSeconds, k.WorkSigma))
	errorFactor := 1 + k.EstimateError*(2*rng.Float64()-1)
	s := workflow.Step{
		Tasks:           tasks,
		PerTask:         k.PerTask,
		DeclaredRunTime: time.Duration(work * errorFactor * float64(time.Second)),
		IsGang:          rng.Float64() < k.GangShare,
		Checkpointable:  rng.Float64() < k.Checkpointable,
	}
	s.PerTask.Accelerators = k.Accelerators[rng.IntN(len(k.Accelerators))]
	s.IsRackSensitive = s.IsGang && rng.Float64() < k.RackSensitiveShare
	a := Arrival{
		At:           at,
		Queue:        k.Queue.Name,
		Organisation: organisation,
		Spec: workflow.Spec{
			Steps: []workflow.Step{
				s,
			},
		},
		Work: []time.Duration{
			time.Duration(work * float64(time.Second)),
		},
		AlwaysFails: rng.Float64() < k.FailingShare,
	}
	if rng.Float64() < k.CancelledShare {
		a.CancelAfter = time.Duration((0.2 + rng.Float64()) * work * float64(time.Second))
	}
	return a
}

// logNormal draws a log-normally distributed number with the given mean and
// standard deviation of the logarithm.
func logNormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2)
}
