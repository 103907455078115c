package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

// placedWorkflows returns n workflows with gangs and single tasks on random workers. Some
// runs have ended, which breaks their gangs, and some workflows are cancelled.
func placedWorkflows(rng *rand.Rand, n, workers int) (list []workflow.Workflow) {
	for i := range n {
		w := workflow.New(epoch, workflow.Spec{
			ID:          fmt.Sprintf("f-%03d", i),
			Repetitions: 2,
			Steps: []workflow.Step{
				{
					Tasks:  1 + rng.IntN(30),
					IsGang: true,
				},
				{
					Tasks: 1 + rng.IntN(10),
				},
			},
		}, workflow.QueueSettings{
			MaxAttempts: 3,
		})
		for occurrence := range w.Spec.OccurrenceCount() {
			for step, s := range w.Spec.Steps {
				w = withRandomRuns(rng, w, workflow.TaskKey{
					Workflow:   w.Spec.ID,
					Occurrence: occurrence,
					Step:       step,
				}, s.Tasks, workers)
			}
		}
		if rng.IntN(10) == 0 {
			w = w.WithCancelled(epoch)
		}
		list = append(list, w)
	}
	return list
}

func withRandomRuns(rng *rand.Rand, w workflow.Workflow, k workflow.TaskKey, tasks, workers int) workflow.Workflow {
	var list []workflow.Placement
	for i := range tasks {
		k.Index = i
		list = append(list, workflow.Placement{
			RunKey: workflow.RunKey{
				TaskKey: k,
				Run:     w.NextRun(k),
			},
			Worker:      fmt.Sprintf("w-%03d", rng.IntN(workers)),
			Incarnation: 1,
		})
	}
	w, _ = w.WithPlacements(epoch, list)
	for _, p := range list {
		if rng.IntN(60) == 0 {
			w = w.WithRunEnd(epoch, workflow.RunEnd{
				RunKey:    p.RunKey,
				EndReason: workflow.EndedStopped,
			})
		}
	}
	return w
}

// A gang that the index takes for whole is not stopped, and a run that it lacks is
// stopped as one that is not placed.
var _ = Describe("The index of a state", func() {
	for seed := range uint64(20) {
		It(fmt.Sprintf("holds each placed task by its worker and its gang, seed %d", seed), func() {
			list := placedWorkflows(rand.New(rand.NewPCG(seed, 3)), 20, 30)
			x := newStateIndex(ClusterState{
				Workflows: list,
			})
			byWorker := map[string][]workflow.PlacedTask{}
			runs, broken := map[workflow.RunKey]bool{}, map[workflow.RunKey]bool{}
			members := map[gangRun][]workflow.PlacedTask{}
			for _, w := range list {
				for _, t := range w.PlacedTasks() {
					byWorker[t.Worker] = append(byWorker[t.Worker], t)
					runs[t.RunKey] = true
					if !t.StepSpec.IsGang {
						continue
					}
					members[gangRunOf(t)] = append(members[gangRunOf(t)], t)
					if w.IsOpen() && isGangBroken(w, t) {
						broken[t.RunKey] = true
					}
				}
			}
			Expect(broken).NotTo(BeEmpty())
			Expect(x.placedByWorker).To(Equal(byWorker))
			Expect(x.placedRuns).To(Equal(runs))
			Expect(x.isGangBroken).To(Equal(broken))
			Expect(x.gangMembers).To(Equal(members))
		})
	}
})

// BenchmarkStateIndex indexes about as many tasks as run on the users' fleet after its
// growth.
func BenchmarkStateIndex(b *testing.B) {
	b.ReportAllocs()
	state := ClusterState{
		Workflows: placedWorkflows(rand.New(rand.NewPCG(1, 1)), 60, 348),
	}
	for range b.N {
		newStateIndex(state)
	}
}
