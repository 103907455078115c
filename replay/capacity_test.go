package replay_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/replay"
	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A worker whose capacity shrinks", func() {
	const shrunkAt = 4 * time.Second

	newFleet := func(seed uint64, workers int) (sim *replay.Simulation, id string) {
		cfg := newConfig(seed)
		cfg.Racks, cfg.WorkersPerRack, cfg.DataCentres = 1, workers, 1
		sim = replay.NewSimulation(cfg)
		return sim, sim.Workers()[0]
	}
	withAccelerators := func(n int) pool.ResourceVector {
		c := newConfig(0).Capacity
		c.Accelerators = n
		return c
	}

	It("gets no start of a round that was committed late", func() {
		sim, id := newFleet(1, 1)
		sim.StallCommits(shrunkAt-time.Second, shrunkAt+6*time.Second)
		sim.InjectFault(id, replay.Fault{
			From:     shrunkAt,
			Until:    20 * time.Second,
			Capacity: withAccelerators(3),
		})
		for i := range 8 {
			sim.Submit(strconv.Itoa(i), newArrival(shrunkAt-500*time.Millisecond, "normal", independentTasks(1, time.Second)))
		}
		sim.Run(18 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		for i := range 8 {
			Expect(sim.Record(strconv.Itoa(i)).Status).To(Equal(workflow.StatusCompleted))
		}
	})

	It("gets no start while its runs exceed another component of its capacity", func() {
		sim, id := newFleet(2, 2)
		sim.Submit("a", newArrival(2*time.Second, "normal", independentTasks(8, 10*time.Second)))
		sim.InjectFault(id, replay.Fault{
			From:     shrunkAt,
			Until:    30 * time.Second,
			Capacity: withAccelerators(4),
		})
		sim.Submit("b", newArrival(shrunkAt+5*time.Second, "normal", withoutAccelerators(independentTasks(2, time.Second))))
		sim.Run(20 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("b").Status).To(Equal(workflow.StatusCompleted))
		Expect(sim.LastRun("a", 0)).To(Equal(1))
	})

	It("gets no start for a capacity from an announcement that arrives late", func() {
		for seed := range uint64(20) {
			sim, id := newFleet(seed, 1)
			sim.InjectFault(id, replay.Fault{
				From:                 2 * time.Second,
				Until:                20 * time.Second,
				DelayedAnnouncements: 0.5,
			})
			sim.InjectFault(id, replay.Fault{
				From:     shrunkAt,
				Until:    30 * time.Second,
				Capacity: withAccelerators(1),
			})
			for i := range 60 {
				at := 8*time.Second + time.Duration(i)*200*time.Millisecond
				sim.Submit(fmt.Sprintf("a-%02d", i), newArrival(at, "normal", independentTasks(1, 400*time.Millisecond)))
			}
			sim.Run(30 * time.Second)
			Expect(sim.Violations()).To(BeEmpty(), "%d", seed)
		}
	})

	DescribeTable("gets no new tasks while its announcements are lost",
		func(leaderChange time.Duration) {
			sim, id := newFleet(5, 1)
			sim.Submit("a", newArrival(2*time.Second, "normal", independentTasks(1, 30*time.Second)))
			sim.Run(3 * time.Second)
			sim.InjectFault(id, replay.Fault{
				From:               shrunkAt,
				Until:              shrunkAt + 12*time.Second,
				LosesAnnouncements: true,
			})
			sim.InjectFault(id, replay.Fault{
				From:     shrunkAt,
				Until:    40 * time.Second,
				Capacity: withAccelerators(1),
			})
			sim.ChangeLeader(leaderChange)
			sim.Submit("b", newArrival(shrunkAt+5*time.Second, "normal", independentTasks(1, time.Second)))
			sim.Run(50 * time.Second)
			Expect(sim.Violations()).To(BeEmpty())
			Expect(sim.Record("b").Status).To(Equal(workflow.StatusCompleted))
		},
		Entry("the leader stays", time.Hour),
		Entry("the leader changes", shrunkAt+4*time.Second),
	)

	It("leaves the free capacity of other workers usable", func() {
		sim, id := newFleet(4, 3)
		sim.Submit("urgent", newArrival(2*time.Second, "urgent", gang(1, 8, 10*time.Second)))
		sim.Run(3 * time.Second)
		Expect(sim.AllocatedOn(id).Accelerators).To(Equal(8))
		sim.InjectFault(id, replay.Fault{
			From:     shrunkAt,
			Until:    30 * time.Second,
			Capacity: withAccelerators(1),
		})
		sim.Submit("a", newArrival(shrunkAt+2*time.Second, "normal", gang(1, 8, time.Second)))
		sim.Run(10 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	// The next incarnation answers an order before it announces itself, and numbers its
	// announcements from 1.
	DescribeTable("gets tasks for its full capacity after a restart", func(restartAt time.Duration) {
		sim, id := newFleet(3, 1)
		sim.Submit("a", newArrival(2*time.Second, "normal", independentTasks(1, 60*time.Second)))
		sim.InjectFault(id, replay.Fault{
			From:     27 * time.Second,
			Until:    restartAt,
			Capacity: withAccelerators(2),
		})
		sim.InjectFault(id, replay.Fault{
			From:     restartAt,
			Until:    restartAt,
			Restarts: true,
		})
		sim.Submit("b", newArrival(restartAt+5*time.Second, "normal", gang(1, 5, time.Second)))
		sim.Run(restartAt + 10*time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("b").Status).To(Equal(workflow.StatusCompleted))
	},
		Entry("at 30 s", 30*time.Second),
		Entry("at 30.2 s", 30200*time.Millisecond),
		Entry("at 30.7 s", 30700*time.Millisecond),
		Entry("at 31.1 s", 31100*time.Millisecond),
	)

	It("gets no start of a round that was committed late while its announcements were lost", func() {
		sim, id := newFleet(5, 1)
		sim.StallCommits(3*time.Second, 10*time.Second)
		sim.InjectFault(id, replay.Fault{
			From:               shrunkAt,
			Until:              16 * time.Second,
			LosesAnnouncements: true,
		})
		sim.InjectFault(id, replay.Fault{
			From:     shrunkAt,
			Until:    40 * time.Second,
			Capacity: withAccelerators(1),
		})
		for i := range 6 {
			sim.Submit(strconv.Itoa(i), newArrival(3500*time.Millisecond, "normal", independentTasks(1, time.Second)))
		}
		sim.Run(50 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		for i := range 6 {
			Expect(sim.Record(strconv.Itoa(i)).Status).To(Equal(workflow.StatusCompleted))
		}
	})

	It("gets tasks again once the capacity has grown", func() {
		sim, id := newFleet(3, 1)
		sim.InjectFault(id, replay.Fault{
			From:     2 * time.Second,
			Until:    10 * time.Second,
			Capacity: withAccelerators(3),
		})
		sim.Submit("a", newArrival(6*time.Second, "normal", gang(2, 4, time.Second)))
		sim.Run(9 * time.Second)
		Expect(sim.PlacedTaskCount("a")).To(BeZero())
		sim.Run(14 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})
})

func withoutAccelerators(step workflow.Step) workflow.Step {
	step.PerTask.Accelerators, step.PerTask.MilliCores = 0, 3000
	return step
}
