package replay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/replay"
	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("With an inventory of machines", func() {
	const submittedAt, failedAt = 3 * time.Second, 6 * time.Second

	// newRun returns a fleet with one running gang, and the workers that it runs on.
	newRun := func(prepare func(sim *replay.Simulation)) (sim *replay.Simulation, ids []string) {
		cfg := newConfig(3)
		cfg.HasInventory = true
		sim = replay.NewSimulation(cfg)
		prepare(sim)
		sim.Submit("a", newArrival(submittedAt, "normal", gang(3, 8, 8*time.Second)))
		sim.Run(failedAt)
		for _, id := range sim.Workers() {
			if sim.AllocatedOn(id).Accelerators > 0 {
				ids = append(ids, id)
			}
		}
		Expect(ids).To(HaveLen(3))
		return sim, ids
	}

	asListed := func(*replay.Simulation) {}

	It("places a gang again at once if workers have failed for good", func() {
		sim, ids := newRun(asListed)
		for _, id := range ids[:2] {
			sim.InjectFault(id, replay.Fault{
				From:          failedAt,
				Until:         time.Hour,
				ReplacedAfter: time.Second,
			})
		}
		sim.Run(failedAt + 2*time.Second)
		Expect(sim.LastRun("a", 0)).To(Equal(2))
		sim.Run(25 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	It("keeps the runs of workers that are only cut off", func() {
		sim, ids := newRun(asListed)
		for _, id := range ids[:2] {
			sim.InjectFault(id, replay.Fault{
				From:        failedAt,
				Until:       failedAt + 4*time.Second,
				Partitioned: true,
			})
		}
		sim.Run(25 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
		Expect(sim.LastRun("a", 0)).To(Equal(1))
	})

	It("keeps the runs of a silent worker that the inventory has never listed", func() {
		sim, ids := newRun(func(sim *replay.Simulation) {
			for _, id := range sim.Workers() {
				sim.HideFromInventory(id)
			}
		})
		sim.InjectFault(ids[0], replay.Fault{
			From:        failedAt,
			Until:       failedAt + 4*time.Second,
			Partitioned: true,
		})
		sim.Run(25 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.LastRun("a", 0)).To(Equal(1))
	})
})
