// Package day simulates generated days of jobs to measure scheduling policies.
// Run times are heavy-tailed and declared inaccurately, jobs arrive in bursts,
// and one data centre is out of service for some hours. The simulation calls the
// policy as a pure function; it runs no process and models no protocol.
package day

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/shape"
)

// A Deployment is the fleet and the load of one installation.
type Deployment struct {
	// Name identifies the deployment in tables of results.
	Name string
	// DataCentres, Workers and WorkersPerRack describe the layout of the fleet.
	DataCentres, Workers, WorkersPerRack int
	// Capacity is the capacity of each worker.
	Capacity shape.Resources
	// LargeGangShare is the share of jobs that are gangs of 2 to 8 whole workers.
	LargeGangShare float64
	// OfferedLoad is the accelerator time of all jobs as a share of the fleet's,
	// over the three quarters of the day in which jobs arrive.
	OfferedLoad float64
}

// Deployments returns the deployments that exist today.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name:           "imanzi",
			DataCentres:    4,
			Workers:        50,
			WorkersPerRack: 6,
			Capacity: shape.Resources{
				Accelerators: 8,
				Cores:        60,
				MemoryMB:     250_000,
			},
			LargeGangShare: 0.10,
			OfferedLoad:    0.9,
		},
		{
			Name:           "cascade",
			DataCentres:    3,
			Workers:        50,
			WorkersPerRack: 8,
			Capacity: shape.Resources{
				Accelerators: 8,
				Cores:        30,
				MemoryMB:     130_000,
			},
			LargeGangShare: 0.03,
			OfferedLoad:    0.9,
		},
	}
}

const (
	dayLength     = 24 * time.Hour
	organisations = 4
	meanRunTime   = 30 * time.Minute
	maxRunTime    = 8 * time.Hour
	runTimeSigma  = 1.2
	declaredSigma = 1.0
	batchDeadline = 10 * time.Hour
	burstShare    = 0.3
	burstSize     = 25
)

// Epoch is the start of every generated day.
var Epoch = time.Unix(1_700_000_000, 0).UTC()

// Fleet returns the deployment's workers with all their capacity free.
func (d Deployment) Fleet() []schedule.Node {
	list := make([]schedule.Node, d.Workers)
	for i := range list {
		list[i] = schedule.Node{
			Worker:     fmt.Sprintf("w%03d", i),
			DataCentre: fmt.Sprintf("dc%d", i*d.DataCentres/d.Workers),
			Rack:       fmt.Sprintf("r%d", i/d.WorkersPerRack),
			Capacity:   d.Capacity,
			Free:       d.Capacity,
		}
	}
	return list
}

// Contracts returns a contract for each organisation. The first two guarantee
// twice as many workers as the others.
func (d Deployment) Contracts() []contract.Contract {
	list := make([]contract.Contract, organisations)
	for i := range list {
		count := 4
		if i < 2 {
			count = 8
		}
		list[i] = contract.Contract{
			Organisation:        fmt.Sprintf("o%d", i),
			CeilingAccelerators: d.Workers * d.Capacity.Accelerators,
			Classes:             contract.Classes(),
			Guarantee: []contract.Block{
				{
					Count: count,
					Shape: shape.Shape{
						Tasks:         1,
						AdjacencyName: "worker",
						PerTask: shape.Resources{
							Accelerators: d.Capacity.Accelerators,
						},
					},
				},
			},
		}
	}
	return list
}

// An Arrival is the submission of a job, with its actual run time.
type Arrival struct {
	// At is the time of submission.
	At time.Time
	// Spec is the submitted job; its declared run time is inaccurate.
	Spec job.Spec
	// RunTime is the actual run time.
	RunTime time.Duration
}

// Generate returns the arrivals of one day in order of time. The same seed gives
// the same day.
func (d Deployment) Generate(seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	budget := d.OfferedLoad * float64(d.Workers*d.Capacity.Accelerators) * dayLength.Hours() * 0.75
	var list []Arrival
	for budget > 0 {
		n := 1
		at := Epoch.Add(time.Duration(r.Float64() * 0.75 * float64(dayLength)))
		if r.Float64() < burstShare/burstSize {
			n = burstSize
		}
		for range n {
			a := d.generateArrival(r, len(list), at)
			budget -= float64(a.Spec.Shape.Total().Accelerators) * a.RunTime.Hours()
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b Arrival) int {
		return a.At.Compare(b.At)
	})
	return list
}

func (d Deployment) generateArrival(r *rand.Rand, n int, at time.Time) Arrival {
	runTime := min(maxRunTime, time.Duration(float64(meanRunTime)*math.Exp(r.NormFloat64()*runTimeSigma)/2))
	spec := job.Spec{
		ID:            fmt.Sprintf("j%05d", n),
		Organisation:  fmt.Sprintf("o%d", r.IntN(organisations)),
		Class:         "normal",
		Shape:         d.generateShape(r),
		DeclaredRunMS: int64(float64(runTime.Milliseconds()) * math.Exp(r.NormFloat64()*declaredSigma)),
	}
	switch p := r.Float64(); {
	case p < 0.1:
		spec.Class = "urgent"
		runTime = min(runTime, 20*time.Minute)
	case p < 0.45:
		spec.Class = "batch"
		spec.DeadlineMS = batchDeadline.Milliseconds()
	}
	switch p := r.Float64(); {
	case p < 0.6:
		spec.Checkpointable = true
	case p < 0.9:
		spec.Idempotent = true
	}
	return Arrival{
		At:      at,
		Spec:    spec,
		RunTime: runTime,
	}
}

func (d Deployment) generateShape(r *rand.Rand) shape.Shape {
	if r.Float64() < d.LargeGangShare {
		return shape.Shape{
			Tasks:         2 + r.IntN(7),
			AdjacencyName: "data-centre",
			PerTask: shape.Resources{
				Accelerators: d.Capacity.Accelerators,
				Cores:        8,
			},
		}
	}
	return shape.Shape{
		Tasks:         1,
		AdjacencyName: "worker",
		PerTask: shape.Resources{
			Accelerators: []int{1, 1, 1, 2, 2, 4, 8}[r.IntN(7)],
			Cores:        2,
		},
	}
}
