package replay_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/replay"
)

var _ = Describe("Workers whose capacities shrink and grow", func() {
	// Seeds 43 and 241: a late announcement set the bound of inherited leases. Seeds
	// 227 and 236: a run was started after it had counted as lost. Seeds 69 and 239:
	// a new leader accepted a late announcement.
	for _, seed := range append([]uint64{43, 241, 227, 236, 69, 239}, capacitySeeds()...) {
		It(fmt.Sprintf("get no start in excess of them under random faults, seed %d", seed), func() {
			sim, ids := randomShrinkingSimulation(seed)
			sim.Run(90 * time.Second)
			Expect(sim.Violations()).To(BeEmpty())
			for _, id := range ids {
				Expect(sim.Record(id).End).To(BeNumerically(">=", 0), id)
			}
		})
	}
})

// capacitySeeds returns as many seeds as the environment variable CAPACITY_SEEDS
// says, or 10.
func capacitySeeds() []uint64 {
	n, err := strconv.ParseUint(os.Getenv("CAPACITY_SEEDS"), 10, 64)
	if err != nil {
		return firstSeeds(10)
	}
	return firstSeeds(n)
}

// randomShrinkingSimulation returns a fleet under random faults in which also the
// capacities of most workers shrink and grow again, commits stall and announcements
// are late.
func randomShrinkingSimulation(seed uint64) (sim *replay.Simulation, ids []string) {
	sim, ids = randomSimulation(seed, 9)
	rng := rand.New(rand.NewPCG(seed, 11))
	queues := []string{"urgent", "normal", "batch"}
	for i := range 60 {
		step := independentTasks(1+rng.IntN(16), time.Duration(300+rng.IntN(4000))*time.Millisecond)
		if rng.IntN(2) == 0 {
			step = withoutAccelerators(step)
		}
		id := fmt.Sprintf("s-%02d", i)
		sim.Submit(id, newArrival(2*time.Second+time.Duration(rng.IntN(25_000))*time.Millisecond, queues[rng.IntN(3)], step))
		ids = append(ids, id)
	}
	for _, id := range sim.Workers() {
		at := 3 * time.Second
		for range rng.IntN(4) {
			at += time.Duration(rng.IntN(6000)) * time.Millisecond
			f := replay.Fault{
				From:     at,
				Until:    at + time.Duration(500+rng.IntN(12_000))*time.Millisecond,
				Capacity: randomCapacity(rng),
			}
			sim.InjectFault(id, f)
			at = f.Until + time.Millisecond
		}
		if rng.IntN(4) == 0 {
			sim.InjectFault(id, replay.Fault{
				From:                 3 * time.Second,
				Until:                30 * time.Second,
				DelayedAnnouncements: 0.3,
			})
		}
	}
	if rng.IntN(2) == 0 {
		from := 3*time.Second + time.Duration(rng.IntN(15_000))*time.Millisecond
		sim.StallCommits(from, from+time.Duration(rng.IntN(9000))*time.Millisecond)
	}
	return sim, ids
}

// randomCapacity returns a part of the workers' capacity, reduced in one component
// or in all.
func randomCapacity(rng *rand.Rand) pool.ResourceVector {
	full := newConfig(0).Capacity
	c := full
	kind := rng.IntN(4)
	if kind == 0 || kind == 3 {
		c.Accelerators = rng.IntN(full.Accelerators)
	}
	if kind == 1 || kind == 3 {
		c.MilliCores = rng.IntN(full.MilliCores)
	}
	if kind == 2 || kind == 3 {
		c.MemoryMB = rng.IntN(12_000)
	}
	return c
}
