package replay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/replay"
	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A worker that has more ended runs than it lists at a time", func() {
	// Guards against runs that are taken for lost, and start again, since their ends
	// are not among the first that the worker lists after a network partition.
	DescribeTable("completes each task once", func(changesLeader bool) {
		cfg := newConfig(1)
		cfg.DataCentres, cfg.Racks, cfg.WorkersPerRack = 1, 1, 1
		sim := replay.NewSimulation(cfg)
		var ids []string
		for i := range 16 {
			id := fmt.Sprint("small-", i)
			ids = append(ids, id)
			sim.Submit(id, newArrival(5*time.Second, "normal", workflow.Step{
				Tasks: 40,
				PerTask: pool.ResourceVector{
					MilliCores: 10,
					MemoryMB:   10,
				},
				DeclaredRunTime: time.Second,
			}))
		}
		sim.Run(5500 * time.Millisecond)
		placed := 0
		for _, id := range ids {
			placed += sim.PlacedTaskCount(id)
		}
		Expect(placed).To(Equal(640))
		for _, id := range sim.Workers() {
			sim.InjectFault(id, replay.Fault{
				From:        5500 * time.Millisecond,
				Until:       10 * time.Second,
				Partitioned: true,
			})
		}
		// The ends that are listed first are acknowledged only after a while.
		sim.StallCommits(9500*time.Millisecond, 12*time.Second)
		if changesLeader {
			sim.ChangeLeader(9 * time.Second)
		}
		sim.Run(40 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		for _, id := range ids {
			Expect(sim.Record(id).Status).To(Equal(workflow.StatusCompleted), id)
			for i := range 40 {
				Expect(sim.LastRun(id, i)).To(Equal(1), "%s, task %d", id, i)
			}
		}
	},
		Entry("for the same leader", false),
		Entry("for a new leader", true),
	)
})
