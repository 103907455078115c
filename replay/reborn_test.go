package replay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/replay"
	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A gang that needs every worker", func() {
	// The gang is placed before the failure of a member's worker is known.
	const submittedAt, placedBy = 3 * time.Second, 3100 * time.Millisecond

	newGang := func() (*replay.Simulation, string) {
		sim := replay.NewSimulation(newConfig(1))
		sim.Submit("a", newArrival(submittedAt, "normal", gang(16, 8, 2*time.Second)))
		return sim, sim.Workers()[5]
	}

	It("is stopped at once and completes after another worker took a member's address", func() {
		sim, id := newGang()
		sim.InjectFault(id, replay.Fault{
			From:          2900 * time.Millisecond,
			Until:         2950 * time.Millisecond,
			ReplacedAfter: 1400 * time.Millisecond,
		})
		sim.Run(placedBy)
		Expect(sim.PlacedTaskCount("a")).To(BeNumerically(">", 0))
		sim.Run(3500 * time.Millisecond)
		Expect(sim.PlacedTaskCount("a")).To(BeZero())
		sim.Run(12 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.EndedRuns(workflow.EndedGangIncomplete)).To(BeZero())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	// The start is the first order that meets the other worker, since a worker that has answered
	// an order before needs no other one first.
	It("completes after another worker has answered a member's start", func() {
		sim := replay.NewSimulation(newConfig(1))
		sim.Submit("before", newArrival(500*time.Millisecond, "normal", gang(16, 8, time.Second)))
		sim.Submit("a", newArrival(submittedAt, "normal", gang(16, 8, 2*time.Second)))
		sim.Run(2800 * time.Millisecond)
		Expect(sim.Record("before").Status).To(Equal(workflow.StatusCompleted))
		sim.InjectFault(sim.Workers()[5], replay.Fault{
			From:          2900 * time.Millisecond,
			Until:         2950 * time.Millisecond,
			ReplacedAfter: 1400 * time.Millisecond,
		})
		sim.Run(12 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.EndedRuns(workflow.EndedGangIncomplete)).To(BeZero())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	It("is not left waiting for a member whose worker does not answer", func() {
		sim, id := newGang()
		sim.InjectFault(id, replay.Fault{
			From:        2900 * time.Millisecond,
			Until:       9 * time.Second,
			Partitioned: true,
		})
		sim.Run(30 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.EndedRuns(workflow.EndedGangIncomplete)).To(BeZero())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	It("is placed again on a worker that restarted, before the worker announces itself", func() {
		sim, id := newGang()
		sim.InjectFault(id, replay.Fault{
			From:     2900 * time.Millisecond,
			Until:    2950 * time.Millisecond,
			Restarts: true,
		})
		sim.Run(12 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.EndedRuns(workflow.EndedGangIncomplete)).To(BeZero())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})
})

var _ = Describe("A run on a worker that restarted", func() {
	It("ends although the worker fails for good before it answers again", func() {
		sim := replay.NewSimulation(newConfig(2))
		sim.Submit("a", newArrival(3*time.Second, "normal", independentTasks(1, 20*time.Second)))
		sim.Run(4 * time.Second)
		for _, id := range sim.Workers() {
			if sim.AllocatedOn(id).Accelerators == 0 {
				continue
			}
			// The worker restarts and announces itself, and orders do not reach it.
			sim.InjectFault(id, replay.Fault{
				From:        4 * time.Second,
				Until:       5 * time.Second,
				Restarts:    true,
				LosesOrders: true,
			})
			sim.InjectFault(id, replay.Fault{
				From:        5 * time.Second,
				Until:       time.Hour,
				LosesOrders: true,
			})
		}
		sim.Run(60 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	It("does not keep its gang waiting after the worker has failed for good", func() {
		cfg := newConfig(2)
		cfg.CheckWaitsFrom = 28 * time.Second
		sim := replay.NewSimulation(cfg)
		sim.Submit("a", newArrival(3*time.Second, "normal", gang(4, 8, 20*time.Second)))
		sim.Run(4 * time.Second)
		for _, id := range sim.Workers() {
			if sim.AllocatedOn(id).Accelerators == 0 {
				continue
			}
			sim.InjectFault(id, replay.Fault{
				From:        4 * time.Second,
				Until:       5 * time.Second,
				Restarts:    true,
				LosesOrders: true,
			})
			sim.InjectFault(id, replay.Fault{
				From:        5 * time.Second,
				Until:       7 * time.Second,
				LosesOrders: true,
			})
			sim.InjectFault(id, replay.Fault{
				From:        7 * time.Second,
				Until:       time.Hour,
				Partitioned: true,
			})
			break
		}
		sim.Run(60 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})
})
