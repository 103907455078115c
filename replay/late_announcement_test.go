package replay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/replay"
)

var _ = Describe("An announcement that arrives late", func() {
	It("does not make a new leader take the leases of an earlier one for expired", func() {
		const changedAt = 10 * time.Second
		for seed := range uint64(20) {
			sim := replay.NewSimulation(newConfig(seed))
			sim.Submit("a", newArrival(2*time.Second, "normal", independentTasks(32, 15*time.Second)))
			for _, id := range sim.Workers() {
				sim.InjectFault(id, replay.Fault{
					From:                 time.Second,
					Until:                changedAt,
					DelayedAnnouncements: 1,
				})
				sim.InjectFault(id, replay.Fault{
					From:        changedAt,
					Until:       changedAt + time.Second,
					LosesOrders: true,
				})
			}
			sim.ChangeLeader(changedAt)
			sim.Run(25 * time.Second)
			Expect(sim.Violations()).To(BeEmpty(), "%d", seed)
			for i := range 32 {
				Expect(sim.LastRun("a", i)).To(Equal(1), "%d", seed)
			}
		}
	})
})
