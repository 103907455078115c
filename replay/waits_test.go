package replay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/replay"
	"github.com/plantainladder/plantainladder/workflow"
)

// occupyRacks submits a workflow of a queue for each rack, which takes a whole
// worker there for a time.
func occupyRacks(sim *replay.Simulation, queue string, runTime time.Duration) {
	for rack := range 4 {
		step := gang(1, 8, runTime)
		step.RequiredLabel = fmt.Sprintf("rack-%d", rack)
		sim.Submit("long-"+step.RequiredLabel, newArrival(2*time.Second, queue, step))
	}
}

var _ = Describe("A step of independent tasks", func() {
	newFleet := func() *replay.Simulation {
		cfg := newConfig(1)
		cfg.CheckWaitsFrom = 3 * time.Second
		return replay.NewSimulation(cfg)
	}

	It("starts although the fleet cannot run all of its tasks at once", func() {
		sim := newFleet()
		sim.Submit("a", newArrival(4*time.Second, "normal", independentTasks(200, 2*time.Second)))
		sim.Run(20 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	It("starts although it would not leave headroom for urgent work as a whole", func() {
		sim := newFleet()
		sim.Submit("urgent", newArrival(3*time.Second, "urgent", independentTasks(48, 30*time.Second)))
		sim.Submit("a", newArrival(5*time.Second, "normal", independentTasks(48, 2*time.Second)))
		sim.Run(40 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Start).To(BeNumerically("<", 6*time.Second))
	})

	It("is not held up by another step of its workflow with the same needs", func() {
		sim := newFleet()
		step := independentTasks(16, 10*time.Second)
		step.MaxPerWorker = 1
		a := newArrival(4*time.Second, "normal", step)
		a.Spec.Steps, a.Work = append(a.Spec.Steps, step), append(a.Work, a.Work[0])
		a.Spec.Steps[0].Tasks = 20
		sim.Submit("a", a)
		sim.Run(6 * time.Second)
		Expect(sim.PlacedTaskCount("a")).To(Equal(32))
	})

	It("needs no headroom without accelerators", func() {
		sim := newFleet()
		sim.Submit("urgent", newArrival(3*time.Second, "urgent", independentTasks(66, 30*time.Second)))
		sim.Submit("a", newArrival(5*time.Second, "normal", withoutAccelerators(independentTasks(1, 2*time.Second))))
		sim.Run(8 * time.Second)
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	It("starts beside reservations for gangs that do not fit, while most of the capacity is free", func() {
		sim := newFleet()
		load := independentTasks(16, 60*time.Second)
		load.MaxPerWorker = 1
		sim.Submit("load", newArrival(3*time.Second, "normal", load))
		for i := range 2 {
			g := gang(8, 8, 8*time.Second)
			g.IsRackSensitive = false
			g.PerTask.MemoryMB += i
			sim.Submit(fmt.Sprintf("gang-%d", i), newArrival(4*time.Second, "normal", g))
		}
		sim.Submit("long", newArrival(5*time.Second, "batch", independentTasks(1, 70*time.Second)))
		sim.Run(50 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("long").Start).To(BeNumerically("<", 8*time.Second))
	})
})

var _ = Describe("A gang for which no rack is free", func() {
	newFleet := func() *replay.Simulation {
		cfg := newConfig(1)
		cfg.CheckWaitsFrom = 3 * time.Second
		return replay.NewSimulation(cfg)
	}

	for _, queue := range []string{"urgent", "normal"} {
		It("runs across racks at once if no rack becomes free soon, queue "+queue, func() {
			sim := newFleet()
			occupyRacks(sim, queue, 60*time.Second)
			sim.Submit("a", newArrival(4*time.Second, queue, gang(4, 8, 8*time.Second)))
			sim.Run(50 * time.Second)
			Expect(sim.Violations()).To(BeEmpty())
			Expect(sim.Record("a").Start).To(BeNumerically("<", 5*time.Second))
			Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
		})

		It("waits for a rack that becomes free soon, queue "+queue, func() {
			sim := newFleet()
			occupyRacks(sim, queue, 4*time.Second)
			sim.Submit("a", newArrival(4*time.Second, queue, gang(4, 8, 8*time.Second)))
			sim.Run(20 * time.Second)
			Expect(sim.Violations()).To(BeEmpty())
			Expect(sim.Record("a").Start).To(BeNumerically("~", 6200*time.Millisecond, 300*time.Millisecond))
			Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
		})
	}

	It("waits for a rack no longer than a task may wait while there is capacity", func() {
		cfg := newConfig(1)
		cfg.MaxRackWait = 6 * time.Second
		cfg.CheckWaitsFrom = 10 * time.Second
		sim := replay.NewSimulation(cfg)
		occupyRacks(sim, "normal", 15*time.Second)
		sim.Submit("a", newArrival(4*time.Second, "normal", gang(4, 8, 8*time.Second)))
		sim.Run(50 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Start).To(BeNumerically("~", 10*time.Second, 300*time.Millisecond))
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	It("is not held up by an equal gang that waits for its rack", func() {
		cfg := newConfig(1)
		sim := replay.NewSimulation(cfg)
		occupyRacks(sim, "normal", 20*time.Second)
		sim.Submit("busy", newArrival(3*time.Second, "batch", gang(12, 8, 9*time.Second)))
		// Once it is late, the short gang comes after the long one, for which it is
		// worthwhile to wait for a rack.
		sim.Submit("short", newArrival(4*time.Second, "normal", gang(4, 8, 2*time.Second)))
		sim.Submit("long", newArrival(4*time.Second, "normal", gang(4, 8, 20*time.Second)))
		sim.Run(50 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("short").Start).To(BeNumerically("<", 13*time.Second))
		Expect(sim.Record("long").Start).To(BeNumerically("<", 23*time.Second))
	})
})

var _ = Describe("The log", func() {
	const waitText, heldText = "Tasks wait although workers have capacity for them.", "Tasks wait for the end of their runs on a worker."

	It("tells that a gang waits for its rack, at most every five seconds", func() {
		sim := replay.NewSimulation(newConfig(1))
		occupyRacks(sim, "normal", 11*time.Second)
		sim.Submit("a", newArrival(4*time.Second, "normal", gang(4, 8, 8*time.Second)))
		sim.Run(20 * time.Second)
		Expect(sim.DecisionCount(waitText, "rack")).To(Equal(2))
	})

	It("tells how many workers are not schedulable, and why", func() {
		sim := replay.NewSimulation(newConfig(1))
		occupyRacks(sim, "normal", 11*time.Second)
		for _, id := range sim.Workers()[12:14] {
			sim.InjectFault(id, replay.Fault{
				From:        3 * time.Second,
				Until:       time.Hour,
				Partitioned: true,
			})
		}
		sim.Submit("a", newArrival(9*time.Second, "normal", gang(15, 8, 8*time.Second)))
		sim.Run(20 * time.Second)
		Expect(sim.DecisionCount(waitText, "headroom silent=2")).To(BeNumerically(">", 0))
	})

	It("names a worker that holds runs and does not answer", func() {
		sim := replay.NewSimulation(newConfig(1))
		sim.Submit("a", newArrival(3*time.Second, "normal", gang(16, 8, 8*time.Second)))
		sim.InjectFault(sim.Workers()[5], replay.Fault{
			From:        4 * time.Second,
			Until:       time.Hour,
			Partitioned: true,
		})
		sim.Run(20 * time.Second)
		Expect(sim.DecisionCount(heldText, "unanswered")).To(BeNumerically(">", 0))
	})
})
