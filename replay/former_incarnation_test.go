package replay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/replay"
)

// Orders for a worker's former incarnation reached the next one seconds later. With times
// on the clock of the former, they granted the longest lease once more, so that runs went
// on after they had been started again elsewhere.
var _ = Describe("An order that reaches the next incarnation of its worker", func() {
	const restartedAt = 4 * time.Second

	// newSimulation returns a simulation in which half of the workers restart while orders
	// are on their way to them, get new tasks, and are cut off.
	newSimulation := func(seed uint64, cutAfter time.Duration) *replay.Simulation {
		sim := replay.NewSimulation(newConfig(seed))
		sim.Submit("a", newArrival(time.Second, "normal", independentTasks(48, 25*time.Second)))
		sim.Submit("b", newArrival(restartedAt+300*time.Millisecond, "normal", independentTasks(48, 25*time.Second)))
		for i, id := range sim.Workers() {
			if i%2 == 1 {
				continue
			}
			sim.InjectFault(id, replay.Fault{
				From:         restartedAt - 2*time.Second,
				Until:        restartedAt,
				DelayedShare: 1,
				Restarts:     true,
			})
			sim.InjectFault(id, replay.Fault{
				From:        restartedAt + cutAfter,
				Until:       restartedAt + cutAfter + 20*time.Second,
				Partitioned: true,
			})
		}
		return sim
	}

	for seed := range uint64(5) {
		for _, cutAfter := range []time.Duration{2500 * time.Millisecond, 3 * time.Second} {
			It(fmt.Sprintf("does not let a run outlive its loss, cut off after %v, seed %d", cutAfter, seed), func() {
				sim := newSimulation(seed, cutAfter)
				sim.Run(40 * time.Second)
				Expect(sim.Violations()).To(BeEmpty())
			})

			It(fmt.Sprintf("does not let a run outlive its loss to a new leader, cut off after %v, seed %d", cutAfter, seed), func() {
				sim := newSimulation(seed, cutAfter)
				sim.ChangeLeader(restartedAt + cutAfter - 200*time.Millisecond)
				sim.Run(40 * time.Second)
				Expect(sim.Violations()).To(BeEmpty())
			})
		}
	}
})
