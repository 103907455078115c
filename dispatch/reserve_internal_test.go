package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// busyNodes returns workers with eight accelerators, of which runs hold most. One in
// suspectIn runs is that of a suspect; zero for none.
func busyNodes(rng *rand.Rand, n, suspectIn int) (nodes []*node) {
	each := pool.ResourceVector{
		MilliCores:   3_700,
		MemoryMB:     5_500,
		Accelerators: 1,
	}
	for i := range n {
		capacity := pool.ResourceVector{
			MilliCores:   32_000,
			MemoryMB:     64_000,
			Accelerators: 8,
		}
		worker := &node{
			worker: pool.Worker{
				ID:       fmt.Sprintf("w-%03d", i),
				Capacity: capacity,
			},
			free: capacity,
		}
		for run := range 4 + rng.IntN(5) {
			worker.free = worker.free.Minus(each)
			worker.allocations = append(worker.allocations, allocation{
				task: workflow.PlacedTask{
					RunKey: workflow.RunKey{
						TaskKey: workflow.TaskKey{
							Workflow: fmt.Sprintf("f-%d", i),
							Index:    run,
						},
						Run: 1,
					},
					StepSpec: workflow.Step{
						PerTask: each,
					},
				},
				priority:   rng.IntN(3),
				endsAt:     epoch.Add(time.Duration(rng.IntN(60)) * time.Second),
				isIsolated: suspectIn > 0 && rng.IntN(suspectIn) == 0,
			})
		}
		if rng.IntN(20) == 0 {
			worker.reservedUntil = epoch.Add(time.Minute)
		}
		worker.hasNewIsolated = suspectIn > 0 && rng.IntN(20) == 0
		nodes = append(nodes, worker)
	}
	return nodes
}

func waitingGang(tasks, accelerators, maxPerWorker int) taskGroup {
	return taskGroup{
		step: workflow.Step{
			Tasks:        tasks,
			IsGang:       true,
			MaxPerWorker: maxPerWorker,
			PerTask: pool.ResourceVector{
				MilliCores:   3_700,
				MemoryMB:     5_500,
				Accelerators: accelerators,
			},
		},
		perWorker: map[string]int{},
	}
}

// searchedFit looks for assignments after each release, in the order of the ends.
func searchedFit(nodes []*node, g taskGroup) ([]assignment, time.Time) {
	type end struct {
		node  *node
		alloc allocation
	}
	var list []end
	for _, n := range nodes {
		for _, alloc := range n.allocations {
			if n.reservedUntil.IsZero() {
				list = append(list, end{
					node:  n,
					alloc: alloc,
				})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b end) int {
		return a.alloc.endsAt.Compare(b.alloc.endsAt)
	})
	for i, e := range list {
		gone := list[:i+1]
		free := func(n *node) pool.ResourceVector {
			if !n.reservedUntil.IsZero() || n.hasNewIsolated {
				return pool.ResourceVector{}
			}
			available, suspects := n.free, 0
			for _, alloc := range n.allocations {
				if alloc.isIsolated {
					suspects++
				}
			}
			for _, other := range gone {
				if other.node != n {
					continue
				}
				available = available.Plus(other.alloc.task.StepSpec.PerTask)
				if other.alloc.isIsolated {
					suspects--
				}
			}
			if suspects > 0 {
				return pool.ResourceVector{}
			}
			return available
		}
		if found := assignments(nodes, g, g.step.Tasks, free); found != nil {
			return found, e.alloc.endsAt
		}
	}
	return nil, time.Time{}
}

// A search that counts only the node of a release must not reserve other nodes, or for
// another time, than one that looks at all nodes after each release.
var _ = Describe("The earliest start of a gang", func() {
	for seed := range uint64(20) {
		It(fmt.Sprintf("is the first release after which it fits, seed %d", seed), func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			nodes := busyNodes(rng, 1+rng.IntN(24), []int{0, 6}[seed%2])
			for range 10 {
				g := waitingGang(1+rng.IntN(40), 1+rng.IntN(8), rng.IntN(4))
				list, at := (&placer{}).earliestFit(nodes, g)
				searched, searchedAt := searchedFit(nodes, g)
				Expect(list).To(Equal(searched))
				Expect(at).To(Equal(searchedAt))
			}
		})
	}
})

// BenchmarkEarliestFit looks for the start of a gang that needs a large part of the
// users' fleet after its growth.
func BenchmarkEarliestFit(b *testing.B) {
	nodes := busyNodes(rand.New(rand.NewPCG(1, 1)), 348, 0)
	g := waitingGang(160, 8, 0)
	for range b.N {
		if list, _ := (&placer{}).earliestFit(nodes, g); list == nil {
			b.Fatal("the gang never fits")
		}
	}
}
