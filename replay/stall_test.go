package replay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/replay"
)

var _ = Describe("A long run on a queue of short ones", func() {
	const longRun, submittedAt = 30 * time.Minute, 20 * time.Second

	// newBusyQueue returns a fleet that has run 20 tasks of 1 s of the queue.
	newBusyQueue := func() *replay.Simulation {
		sim := replay.NewSimulation(newConfig(3))
		for i := range 20 {
			sim.Submit(fmt.Sprint("short-", i), newArrival(time.Duration(3000+500*i)*time.Millisecond, "normal", independentTasks(1, time.Second)))
		}
		return sim
	}

	newLong := func(declared time.Duration) replay.Arrival {
		a := newArrival(submittedAt, "normal", independentTasks(1, declared))
		a.Work[0] = longRun
		return a
	}

	// Guards against a sound run that is stopped again and again, since its progress
	// changes more seldom than that of the short ones.
	It("is not stopped if its run time was declared", func() {
		sim := newBusyQueue()
		sim.Submit("long", newLong(longRun))
		sim.Run(submittedAt + 4*time.Minute)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.PlacedTaskCount("long")).To(Equal(1))
		Expect(sim.LastRun("long", 0)).To(Equal(1))
	})

	It("goes on after a few runs if a second was declared", func() {
		sim := newBusyQueue()
		sim.Submit("long", newLong(time.Second))
		sim.Run(submittedAt + 4*time.Minute)
		Expect(sim.Violations()).To(BeEmpty())
		runs := sim.LastRun("long", 0)
		AddReportEntry("runs", runs)
		Expect(runs).To(BeNumerically("<=", 6))
		sim.Run(submittedAt + 10*time.Minute)
		Expect(sim.PlacedTaskCount("long")).To(Equal(1))
		Expect(sim.LastRun("long", 0)).To(Equal(runs))
	})

	DescribeTable("is found to be stuck within a tenth of its declared run time, or 1.8 s", func(declared, within time.Duration) {
		sim := newBusyQueue()
		sim.Submit("long", newLong(declared))
		const hangsAt = submittedAt + time.Second
		sim.Run(hangsAt)
		for _, id := range sim.Workers() {
			if sim.AllocatedOn(id).Accelerators > 0 {
				sim.InjectFault(id, replay.Fault{
					From:  hangsAt,
					Until: time.Hour,
					Hangs: true,
				})
			}
		}
		now := hangsAt
		for ; sim.LastRun("long", 0) == 1 && now < hangsAt+time.Minute; now += 100 * time.Millisecond {
			sim.Run(now)
		}
		AddReportEntry("found after", (now - hangsAt).String())
		// A listing takes up to 2 s, and a stop up to 1 s.
		Expect(now - hangsAt).To(BeNumerically("<=", within+3*time.Second))
	},
		Entry("1 s", time.Second, 1800*time.Millisecond),
		Entry("60 s", time.Minute, 6*time.Second),
		Entry("300 s", 5*time.Minute, 30*time.Second),
	)
})
