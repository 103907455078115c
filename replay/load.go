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

// A Kind is a kind of workflow in a load.
type Kind struct {
	// Queue is its queue.
	Queue configuration.Queue
	// PerSecond is the mean rate of arrivals.
	PerSecond float64
	// Tasks is the mean number of tasks of a step; WorkSeconds is their mean run
	// time. Both vary log-normally by their spreads.
	Tasks, TasksSigma      float64
	WorkSeconds, WorkSigma float64
	// MaxTasks and MaxWorkSeconds cut what is drawn.
	MaxTasks       int
	MaxWorkSeconds float64
	// PerTask is what a task needs, but for accelerators, of which one of
	// Accelerators is drawn.
	PerTask      pool.ResourceVector
	Accelerators []int
	// GangShare, RackSensitiveShare and Checkpointable are the parts of the workflows that are
	// so, from 0 to 1.
	GangShare, RackSensitiveShare, Checkpointable float64
	// EstimateError is how far estimates are off, as a part of the run time.
	EstimateError float64
	// FailingShare and CancelledShare are the parts that can never be done and that are
	// given up.
	FailingShare, CancelledShare float64
	// Worth is what one of mean work that completes in time is worth; LateWorth
	// what one is worth that completes within three times its allowance.
	Worth, LateWorth float64
}

// A Burst multiplies the rate of a kind for a while.
type Burst struct {
	// Queue names the kind.
	Queue string
	// From and Until bound it.
	From, Until time.Duration
	// RateFactor multiplies the rate.
	RateFactor float64
}

// A Load is what is handed in.
type Load struct {
	// Kinds holds the kinds of workflows.
	Kinds []Kind
	// Bursts holds the bursts.
	Bursts []Burst
	// From and Until bound the arrivals.
	From, Until time.Duration
	// Organisations names the organisations, each with an equal part.
	Organisations []string
}

// Submit draws a load from a seed and hands it in. It returns the identifiers
// in the order of their arrival in each kind.
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
	times := 1.0
	for _, b := range l.Bursts {
		if b.Queue == queue && at >= b.From && at < b.Until {
			times *= b.RateFactor
		}
	}
	return times
}

// drawArrival returns one workflow of a kind.
func (k Kind) drawArrival(rng *rand.Rand, at time.Duration, organisation string) Arrival {
	tasks := max(1, min(k.MaxTasks, int(math.Round(logNormal(rng, k.Tasks, k.TasksSigma)))))
	work := min(k.MaxWorkSeconds, logNormal(rng, k.WorkSeconds, k.WorkSigma))
	off := 1 + k.EstimateError*(2*rng.Float64()-1)
	s := workflow.Step{
		Tasks:           tasks,
		PerTask:         k.PerTask,
		DeclaredRunTime: time.Duration(work * off * float64(time.Second)),
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

// logNormal draws a number with a mean and a spread of its logarithm.
func logNormal(rng *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(rng.NormFloat64()*spread-spread*spread/2)
}
