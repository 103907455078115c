package replay_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/replay"
	"github.com/plantainladder/plantainladder/workflow"
)

// A start that a worker leaves for later may be carried out by its next incarnation, after the
// inventory showed that the former had ended and the task was started elsewhere.
var _ = Describe("A start that meets the next incarnation of its worker", func() {
	for _, changesLeader := range []bool{false, true} {
		for _, seed := range firstSeeds(20) {
			It(fmt.Sprintf("makes no task run twice, leader changes %t, seed %d", changesLeader, seed), func() {
				rng := rand.New(rand.NewPCG(seed, 62))
				millis := func(from, n int) time.Duration {
					return time.Duration(from+rng.IntN(n)) * time.Millisecond
				}
				cfg := newConfig(seed)
				cfg.HasInventory = true
				sim := replay.NewSimulation(cfg)
				var ids []string
				for i := range 12 {
					ids = append(ids, fmt.Sprintf("w-%d", i))
					sim.Submit(ids[i], newArrival(millis(3000, 800), "normal", independentTasks(8, 15*time.Second)))
				}
				for _, id := range sim.Workers() {
					crashAt := millis(3500, 1000)
					sim.InjectFault(id, replay.Fault{
						From:         2900 * time.Millisecond,
						Until:        crashAt,
						DelayedShare: 0.3,
					})
					sim.InjectFault(id, replay.Fault{
						From:    crashAt,
						Until:   crashAt + millis(500, 6000),
						Crashes: true,
					})
				}
				if changesLeader {
					sim.ChangeLeader(millis(3500, 4000))
				}
				sim.Run(90 * time.Second)
				Expect(sim.Violations()).To(BeEmpty())
				for _, id := range ids {
					Expect(sim.Record(id).Status).To(Equal(workflow.StatusCompleted), id)
				}
			})
		}
	}
})
