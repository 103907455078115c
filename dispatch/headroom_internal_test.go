package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

// recounted returns how many tasks of a group leave enough accelerators free for urgent
// work, counted over all runs.
func recounted(nodes []*node, g taskGroup) int {
	each := g.step.PerTask.Accelerators
	if each == 0 {
		return len(g.waiting)
	}
	all, free, urgent, most := 0, 0, 0, 0
	for _, n := range nodes {
		all += n.worker.Capacity.Accelerators
		free += n.free.Accelerators + n.excess
		for _, alloc := range n.allocations {
			if alloc.priority == 0 {
				urgent += alloc.task.StepSpec.PerTask.Accelerators
			}
		}
	}
	if 2*free > all {
		most = free / 2 / each
	}
	switch {
	case len(g.waiting) <= max(most, (free-urgent)/each):
		return len(g.waiting)
	case g.step.IsGang:
		return 0
	}
	return most
}

// Placements and preemptions of a pass change what is free, but not its runs. Counts that
// were kept for longer than they hold would place too much beside urgent work, or nothing.
var _ = Describe("The headroom for urgent work", func() {
	// Jobs had nothing running for over 3 s beside free workers: urgent runs took many times
	// as long as estimated and held more accelerators than were free.
	DescribeTable("keeps work of other workflows waiting for 2 s only, if there is room for it twice over", func(step workflow.Step, wait time.Duration, want int) {
		var ids []string
		for i := range 10 {
			ids = append(ids, fmt.Sprintf("w%d", i))
		}
		c := newCluster(newWorkers(ids...))
		for i := range c.machines {
			c.machines[i].Capacity.Accelerators = 8
		}
		c.commit()
		c.stepFor(time.Second)
		urgent := newGang(6, 1)
		urgent.PerTask.Accelerators = 8
		c.submit(newWorkflow("urgent", 0, urgent))
		c.stepFor(time.Second)
		step.PerTask.Accelerators = 1
		c.submit(newWorkflow("other", 1, step))
		c.stepFor(wait)
		Expect(c.placedAt("other")).To(HaveLen(want))
	},
		Entry("not before", newStep(4, 1, time.Minute), 1500*time.Millisecond, 0),
		Entry("one task after that", newStep(4, 1, time.Minute), 2500*time.Millisecond, 1),
		Entry("a gang as a whole", newGang(4, 1), 2500*time.Millisecond, 4),
		Entry("not without that room", newGang(20, 1), 2500*time.Millisecond, 0),
	)

	for seed := range uint64(20) {
		It(fmt.Sprintf("is that of all runs while a pass places tasks, seed %d", seed), func() {
			rng := rand.New(rand.NewPCG(seed, 2))
			nodes := busyNodes(rng, 1+rng.IntN(24), 0)
			for _, n := range nodes {
				if rng.IntN(3) > 0 {
					n.allocations, n.free = nil, n.worker.Capacity
				}
				n.excess = rng.IntN(2)
			}
			f := newFleet(nodes)
			for range 20 {
				g := waitingGang(1+rng.IntN(30), rng.IntN(9), 0)
				g.step.IsGang = rng.IntN(2) == 0
				g.waiting = make([]int, g.step.Tasks)
				Expect(f.withinHeadroom(g).waiting).To(HaveLen(recounted(nodes, g)))
				n := nodes[rng.IntN(len(nodes))]
				n.free = n.free.Minus(g.step.PerTask)
			}
		})
	}
})

// BenchmarkWithinHeadroom looks at one waiting task group of the users' fleet after its
// growth.
func BenchmarkWithinHeadroom(b *testing.B) {
	f := newFleet(busyNodes(rand.New(rand.NewPCG(1, 1)), 348, 0))
	g := waitingGang(16, 8, 0)
	g.waiting = make([]int, 16)
	for range b.N {
		f.withinHeadroom(g)
	}
}
