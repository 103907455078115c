package replay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/replay"
	"github.com/plantainladder/plantainladder/workflow"
)

// restartsSoon is the usual way back of a worker after a crash.
var restartsSoon = replay.NextIncarnation{
	After: 3 * time.Second,
}

// newDeadlyArrival returns a workflow with tasks that crash their worker.
func newDeadlyArrival(at time.Duration, queue string, step workflow.Step, d replay.Deadly) replay.Arrival {
	a := newArrival(at, queue, step)
	a.Deadly = d
	return a
}

// submitSound submits workflows without deadly tasks at intervals. Each task takes
// one of eight slots of a worker.
func submitSound(sim *replay.Simulation, until, interval time.Duration, tasks int) (ids []string) {
	for at := 3 * time.Second; at < until; at += interval {
		id := fmt.Sprintf("sound-%03d", len(ids))
		runTime := time.Duration(1500+100*(len(ids)%20)) * time.Millisecond
		sim.Submit(id, newArrival(at, "batch", independentTasks(tasks, runTime)))
		ids = append(ids, id)
	}
	return ids
}

// expectGivenUp expects that the workflows with deadly tasks have failed and that
// the others have completed, without a violation. It reports the harm done.
func expectGivenUp(sim *replay.Simulation, deadly, sound []string) {
	GinkgoHelper()
	AddReportEntry("harm", fmt.Sprintf("%d workers crashed, %d runs of other workflows lost", len(sim.Crashes()), sim.NeighbourRuns()))
	Expect(sim.Violations()).To(BeEmpty())
	for _, id := range deadly {
		Expect(sim.Record(id).Status).To(Equal(workflow.StatusFailed), id)
	}
	for _, id := range sound {
		Expect(sim.Record(id).Status).To(Equal(workflow.StatusCompleted), id)
	}
}

var _ = Describe("A task that crashes its workers", func() {
	const submittedAt, simulated = 5 * time.Second, 60 * time.Second

	// newBusyFleet returns a fleet with half of its slots in use.
	newBusyFleet := func(hasInventory bool) (*replay.Simulation, []string) {
		cfg := newConfig(1)
		cfg.HasInventory = hasInventory
		sim := replay.NewSimulation(cfg)
		return sim, submitSound(sim, 25*time.Second, 500*time.Millisecond, 12)
	}

	DescribeTable("is given up however its workers come back, and the others complete",
		func(hasInventory bool, after time.Duration, r replay.Return) {
			sim, sound := newBusyFleet(hasInventory)
			sim.Submit("deadly", newDeadlyArrival(submittedAt, "normal", independentTasks(1, 2*time.Second), replay.Deadly{
				Indices: []int{0},
				After:   after,
				Return:  r,
			}))
			sim.Run(simulated)
			expectGivenUp(sim, []string{"deadly"}, sound)
		},
		Entry("as the next incarnation, crash at once", false, time.Duration(0), restartsSoon),
		Entry("as the next incarnation, crash after 1 s", false, time.Second, restartsSoon),
		Entry("as the next incarnation within a moment", false, time.Duration(0), replay.NextIncarnation{
			After: 100 * time.Millisecond,
		}),
		Entry("as the next incarnation, with an inventory", true, time.Duration(0), restartsSoon),
		Entry("as the next incarnation, with an inventory, crash after 1 s", true, time.Second, restartsSoon),
		Entry("as the next incarnation after its lease, crash at once", false, time.Duration(0), replay.NextIncarnation{
			After: 15 * time.Second,
		}),
		Entry("as the next incarnation after its lease, crash after 1 s", false, time.Second, replay.NextIncarnation{
			After: 15 * time.Second,
		}),
		Entry("as another worker at the address", false, time.Duration(0), replay.Successor{
			After:         2 * time.Second,
			AnnounceDelay: time.Second,
		}),
		Entry("as another worker at the address, with an inventory, crash after 1 s", true, time.Second, replay.Successor{
			After:         2 * time.Second,
			AnnounceDelay: time.Second,
		}),
		Entry("never, crash at once", true, time.Duration(0), replay.Never{}),
		Entry("never, crash after 1 s", true, time.Second, replay.Never{}),
	)

	DescribeTable("is given up as a member of a gang", func(index int, after time.Duration) {
		sim, sound := newBusyFleet(true)
		sim.Submit("deadly", newDeadlyArrival(submittedAt, "normal", gang(3, 4, 2*time.Second), replay.Deadly{
			Indices: []int{index},
			After:   after,
			Return:  restartsSoon,
		}))
		sim.Run(simulated)
		expectGivenUp(sim, []string{"deadly"}, sound)
	},
		Entry("the first, at once", 0, time.Duration(0)),
		Entry("the last, at once", 2, time.Duration(0)),
		Entry("the second, after 1 s", 1, time.Second),
	)

	DescribeTable("is given up with others like it in one step", func(after time.Duration, indices ...int) {
		sim, sound := newBusyFleet(true)
		sim.Submit("deadly", newDeadlyArrival(submittedAt, "normal", independentTasks(32, 2*time.Second), replay.Deadly{
			Indices: indices,
			After:   after,
			Return:  restartsSoon,
		}))
		sim.Run(simulated)
		expectGivenUp(sim, []string{"deadly"}, sound)
		Expect(len(sim.Crashes())).To(BeNumerically("<=", 5*len(indices)))
	},
		Entry("two, at once", time.Duration(0), 0, 31),
		Entry("six, at once", time.Duration(0), 0, 5, 10, 15, 20, 31),
		Entry("six, after 1 s", time.Second, 0, 5, 10, 15, 20, 31),
	)

	It("is given up in a later step", func() {
		sim, sound := newBusyFleet(true)
		a := newDeadlyArrival(submittedAt, "normal", independentTasks(4, time.Second), replay.Deadly{
			Step:    1,
			Indices: []int{2},
			Return:  restartsSoon,
		})
		second := independentTasks(4, time.Second)
		second.Dependencies = []int{0}
		a.Spec.Steps = append(a.Spec.Steps, second)
		a.Work = append(a.Work, time.Second)
		sim.Submit("deadly", a)
		sim.Run(simulated)
		expectGivenUp(sim, []string{"deadly"}, sound)
	})

	DescribeTable("is given up if it is urgent and the fleet is full", func(step workflow.Step) {
		cfg := newConfig(4)
		cfg.HasInventory = true
		sim := replay.NewSimulation(cfg)
		sound := submitSound(sim, 25*time.Second, 500*time.Millisecond, 24)
		sim.Submit("deadly", newDeadlyArrival(8*time.Second, "urgent", step, replay.Deadly{
			Indices: []int{0},
			Return:  restartsSoon,
		}))
		sim.Run(90 * time.Second)
		expectGivenUp(sim, []string{"deadly"}, sound)
		r := sim.Record("deadly")
		Expect(r.End - r.Arrival.At).To(BeNumerically("<", 30*time.Second))
	},
		Entry("a single task", independentTasks(1, time.Second)),
		Entry("a gang", gang(4, 8, time.Second)),
	)

	for _, delay := range []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, time.Second, 2900 * time.Millisecond, 3200 * time.Millisecond} {
		for _, hasInventory := range []bool{false, true} {
			It(fmt.Sprintf("is given up if the leader changes %v after each crash, inventory %t", delay, hasInventory), func() {
				sim, sound := newBusyFleet(hasInventory)
				sim.Submit("deadly", newDeadlyArrival(submittedAt, "normal", independentTasks(1, 2*time.Second), replay.Deadly{
					Indices: []int{0},
					Return:  restartsSoon,
				}))
				changes := 0
				for at := submittedAt; at < 90*time.Second; at += 10 * time.Millisecond {
					sim.Run(at)
					if n := len(sim.Crashes()); n > changes {
						sim.ChangeLeader(at + delay)
						changes = n
					}
				}
				expectGivenUp(sim, []string{"deadly"}, sound)
			})
		}
	}

	It("is given up in a fleet without an empty worker, and the others are still placed", func() {
		cfg := newConfig(5)
		cfg.HasInventory = true
		sim := replay.NewSimulation(cfg)
		// 128 slots, and 40 tasks of 3.4 s a second on average.
		sound := submitSound(sim, 33*time.Second, 200*time.Millisecond, 8)
		var deadly []string
		for i, queue := range []string{"urgent", "normal", "batch"} {
			deadly = append(deadly, "deadly-"+queue)
			sim.Submit(deadly[i], newDeadlyArrival(10*time.Second, queue, independentTasks(1, 2*time.Second), replay.Deadly{
				Indices: []int{0},
				Return:  restartsSoon,
			}))
		}
		sim.Run(80 * time.Second)
		expectGivenUp(sim, deadly, sound)
		for _, id := range deadly {
			r := sim.Record(id)
			AddReportEntry(id, (r.End - r.Arrival.At).String())
			Expect(r.End-r.Arrival.At).To(BeNumerically("<", 40*time.Second), id)
		}
		for _, id := range sound {
			r := sim.Record(id)
			Expect(r.End-r.Arrival.At).To(BeNumerically("<", 30*time.Second), id)
		}
	})

	for _, after := range []time.Duration{0, 400 * time.Millisecond} {
		It(fmt.Sprintf("is given up among many like it, %v after their starts, and the others complete", after), func() {
			sim, sound := newBusyFleet(true)
			var deadly []string
			for i := range 12 {
				id := fmt.Sprintf("deadly-%02d", i)
				deadly = append(deadly, id)
				sim.Submit(id, newDeadlyArrival(submittedAt+time.Duration(i)*800*time.Millisecond, "normal",
					independentTasks(1+i%3, 2*time.Second), replay.Deadly{
						Indices: []int{0, 1, 2},
						After:   after,
						Return:  restartsSoon,
					}))
			}
			sim.Run(100 * time.Second)
			expectGivenUp(sim, deadly, sound)
		})
	}
})
