package replay

import (
	"time"

	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
)

// A Scenario is a simulated fleet with its load.
type Scenario struct {
	// Fleet describes the fleet.
	Fleet Config
	// Load describes the workflows that are submitted.
	Load Load
}

func newQueue(name string, priority, attempts int, stretch float64, slack time.Duration) configuration.Queue {
	return configuration.Queue{
		Name:        name,
		Host:        "replay.example",
		Prefix:      "/" + name + "/",
		Pool:        poolName,
		Priority:    priority,
		MaxAttempts: attempts,
		Stretch:     stretch,
		Slack:       slack,
		Timeout:     3 * time.Second,
	}
}

// NewScenario returns a fleet with the users' worker sizes and a load of their
// three kinds of workflows: urgent checks, long simulations in gangs, and
// batches. The arrival rates of the load are multiplied by rateFactor.
func NewScenario(seed uint64, racks, workersPerRack int, rateFactor float64) Scenario {
	kinds := []Kind{
		{
			Queue:          newQueue("urgent", 0, 3, 1.5, 300*time.Millisecond),
			PerSecond:      9.3 * rateFactor,
			Tasks:          5,
			TasksSigma:     0.8,
			MaxTasks:       30,
			WorkSeconds:    2.5,
			WorkSigma:      0.5,
			MaxWorkSeconds: 8,
			PerTask: pool.ResourceVector{
				MilliCores: 3_700,
				MemoryMB:   5_500,
			},
			Accelerators: []int{
				1, 2, 4, 8, 8,
			},
			GangShare:          1,
			RackSensitiveShare: 0.8,
			EstimateError:      0.5,
			Score:              4,
			LateScore:          0.8,
		},
		{
			Queue:          newQueue("normal", 1, 3, 3, time.Second),
			PerSecond:      3.1 * rateFactor,
			Tasks:          10,
			TasksSigma:     0.8,
			MaxTasks:       60,
			WorkSeconds:    6.8,
			WorkSigma:      0.3,
			MaxWorkSeconds: 11,
			PerTask: pool.ResourceVector{
				MilliCores: 13_000,
				MemoryMB:   26_000,
			},
			Accelerators: []int{
				1, 2, 4, 8, 8,
			},
			GangShare:          1,
			RackSensitiveShare: 0.6,
			Checkpointable:     0.45,
			EstimateError:      0.9,
			FailingShare:       0.01,
			CancelledShare:     0.05,
			Score:              3,
			LateScore:          0.9,
		},
		{
			Queue:          newQueue("batch", 2, 4, 3, 3*time.Second),
			PerSecond:      2 * rateFactor,
			Tasks:          30,
			TasksSigma:     0.8,
			MaxTasks:       180,
			WorkSeconds:    9.5,
			WorkSigma:      0.3,
			MaxWorkSeconds: 11,
			PerTask: pool.ResourceVector{
				MilliCores: 2_800,
				MemoryMB:   7_500,
			},
			Accelerators: []int{
				1,
			},
			Checkpointable: 0.45,
			EstimateError:  0.2,
			CancelledShare: 0.15,
			Score:          1,
			LateScore:      0.3,
		},
	}
	d := Scenario{
		Fleet: Config{
			Seed:           seed,
			DataCentres:    4,
			Racks:          racks,
			WorkersPerRack: workersPerRack,
			Capacity: pool.ResourceVector{
				MilliCores:   32_000,
				MemoryMB:     64_000,
				Accelerators: 8,
			},
			MaxStopDuration: 900 * time.Millisecond,
			CrossRackFactor: 3,
		},
		Load: Load{
			Kinds: kinds,
			From:  3 * time.Second,
			Until: 37 * time.Second,
		},
	}
	for _, name := range []string{"apples", "berries", "cherries", "damsons"} {
		d.Load.Organisations = append(d.Load.Organisations, name)
		d.Fleet.Organisations = append(d.Fleet.Organisations, configuration.Organisation{
			Name: name,
			Tokens: []string{
				name,
			},
			GuaranteedAccelerators: racks * workersPerRack * 8 / 6,
		})
	}
	for _, k := range kinds {
		d.Fleet.Queues = append(d.Fleet.Queues, k.Queue)
	}
	return d
}
