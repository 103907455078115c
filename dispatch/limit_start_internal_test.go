package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// newFullCluster returns a cluster in which each worker runs single tasks and a member of a
// gang, and most runs of the last two workflows have not been started.
func newFullCluster(workers, tasksPerWorker int) *cluster {
	ids := benchmarkIDs(workers)
	c := newCluster(newWorkers(ids...))
	GinkgoHelper()
	place := func(id string, isGang bool, list ...string) {
		step := newStep(len(list), 1, time.Hour)
		step.PerTask = newCores(1)
		step.IsGang = isGang
		w := of(fmt.Sprint("org-", len(c.state.Workflows)%3), newWorkflow(id, 1, step))
		var placements []workflow.Placement
		for i, worker := range list {
			placements = append(placements, workflow.Placement{
				RunKey: workflow.RunKey{
					TaskKey: workflow.TaskKey{
						Workflow: id,
						Index:    i,
					},
					Run: 1,
				},
				Worker:      worker,
				Incarnation: c.machines[0].Incarnation,
			})
		}
		w, isAllowed := w.WithPlacements(c.now, placements)
		Expect(isAllowed).To(BeTrue())
		c.state.Workflows = append(c.state.Workflows, w)
	}
	for i := range tasksPerWorker {
		place(fmt.Sprint("f-", i), i%5 == 0, ids...)
	}
	c.state.LimitOf = func(string) pool.ResourceVector {
		return newCores(1_000_000)
	}
	c.announce()
	for n, w := range c.state.Workflows {
		for i, t := range w.PlacedTasks() {
			// Some members of the gang have been started.
			isStarted := n < tasksPerWorker-2 || w.Spec.Steps[0].IsGang && i%3 == 0
			c.setOwnPlacement(t, !isStarted)
		}
	}
	return c
}

func (c *cluster) newReconciliation() *reconciliation {
	return &reconciliation{
		dispatcher: c.dispatcher,
		now:        c.now,
		state:      c.state,
		index:      newStateIndex(c.state),
	}
}

var _ = Describe("What organisations may have running", func() {
	// A run that is missing would let a start exceed the limit; one too many would hold it up.
	DescribeTable("is the use of the runs that may hold capacity, gangs as a whole", func(tasksPerWorker int) {
		s := newFullCluster(6, tasksPerWorker).newReconciliation()
		expected := map[string]pool.ResourceVector{}
		counted := map[gangRun]bool{}
		for id, tasks := range s.index.placedByWorker {
			v, ok := s.dispatcher.workerView(id)
			for _, t := range tasks {
				if k := gangRunOf(t); !counted[k] && (!ok || v.mayHoldCapacity(t)) {
					counted[k] = true
					org := s.index.workflows[t.Workflow].Spec.Organisation
					expected[org] = expected[org].Plus(s.gangUse(t))
				}
			}
		}
		got := s.newRunningUse().byOrganisation
		for org := range s.index.used {
			Expect(got[org]).To(Equal(expected[org]), org)
		}
	},
		Entry("with a gang that has started in part", 6),
		Entry("with single tasks only among the last", 5),
	)
})

// BenchmarkRunningUse is the sum that the first start of a Reconcile needs, over 22,400 runs of
// which two on each worker have not been started.
func BenchmarkRunningUse(b *testing.B) {
	RegisterTestingT(b)
	c := newFullCluster(350, 64)
	s := c.newReconciliation()
	for b.Loop() {
		s.newRunningUse()
	}
}

// BenchmarkRunningUseOfFewStarts is BenchmarkRunningUse with one run that has not been started.
func BenchmarkRunningUseOfFewStarts(b *testing.B) {
	RegisterTestingT(b)
	c := newFullCluster(350, 64)
	for i, w := range c.state.Workflows[62:] {
		for _, t := range w.PlacedTasks()[1-i:] {
			c.setOwnPlacement(t, false)
		}
	}
	s := c.newReconciliation()
	for b.Loop() {
		s.newRunningUse()
	}
}

// setOwnPlacement lets the leader know a run that it has placed and not started, or one that
// an earlier leader may have started.
func (c *cluster) setOwnPlacement(t workflow.PlacedTask, isOwn bool) {
	v, _ := c.dispatcher.workerView(t.Worker)
	c.dispatcher = c.dispatcher.withView(v.withRun(t.RunKey, runState{
		isOwnPlacement: isOwn,
	}))
}
