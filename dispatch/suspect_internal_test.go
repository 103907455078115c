package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

// suspectCrashes is the number of crashes from which on a task is a suspect.
const suspectCrashes = 2

// isolationPeriod is how long a suspect is kept apart from other workflows.
const isolationPeriod = 2 * time.Second

// newSuspect returns a workflow with a suspect of one core, under which a worker
// crashed at the epoch.
func newSuspect(priority int, runTime time.Duration) workflow.Workflow {
	return withCrashes(newWorkflow("suspect", priority, newStep(1, 1, runTime)), suspectCrashes)
}

// newLoad returns a workflow with a run of 10 min on a worker.
func newLoad(worker string, cores int) workflow.Workflow {
	return withRun(newWorkflow("load-"+worker, 1, newStep(1, cores, 10*time.Minute)), worker)
}

// beAt matches the workers that a workflow is placed on.
func beAt(workers ...string) OmegaMatcher {
	return Equal(workers)
}

var _ = Describe("A suspect", func() {
	It("is placed at once on an empty worker, and beside its own workflow", func() {
		w := withCrashes(newWorkflow("suspect", 1, newStep(2, 1, time.Minute)), suspectCrashes, 0)
		c := newCluster(newWorkers("w1", "w2"), newLoad("w1", 1), withRun(w, "w2", 1))
		c.step()
		Expect(c.placedAt("suspect")).To(beAt("w2", "w2"))
	})

	It("waits 2 s for a worker of its own, then gets the emptiest one", func() {
		c := newCluster(newWorkers("w1", "w2", "w3"), newLoad("w1", 2), newLoad("w2", 1), newLoad("w3", 2), newSuspect(1, time.Minute))
		c.stepFor(isolationPeriod - stepInterval)
		Expect(c.placedAt("suspect")).To(BeEmpty())
		c.step()
		Expect(c.placedAt("suspect")).To(beAt("w2"))
	})

	It("gets no other workflow beside it for 2 s after the crash", func() {
		c := newCluster(newWorkers("w1", "w2"), newLoad("w1", 7), newSuspect(1, time.Hour))
		c.step()
		c.submit(newWorkflow("fits-w2", 1, newStep(1, 2, time.Minute)))
		c.submit(newWorkflow("fits-both", 1, newStep(1, 1, time.Minute)))
		c.stepFor(isolationPeriod - 2*stepInterval)
		Expect(c.placedAt("suspect")).To(beAt("w2"))
		Expect(c.placedAt("fits-w2")).To(BeEmpty())
		Expect(c.placedAt("fits-both")).To(beAt("w1"))
		c.step()
		Expect(c.placedAt("suspect")).To(beAt("w2"))
		Expect(c.placedAt("fits-w2")).To(beAt("w2"))
	})

	// Suspects that ran for hours each held a worker, and small work waited beside idle
	// ones until they ended.
	It("does not keep all workers from other work while suspects run on them", func() {
		c := newCluster(newWorkers("w1", "w2"))
		for _, worker := range []string{"w1", "w2"} {
			c.submit(withRun(withCrashes(newWorkflow("suspect-"+worker, 1, newStep(1, 1, time.Hour)), suspectCrashes), worker))
		}
		c.submit(newWorkflow("small", 1, newStep(1, 1, time.Second)))
		c.stepFor(isolationPeriod)
		Expect(c.placedAt("small")).NotTo(BeEmpty())
	})

	It("is placed beside suspects of other workflows that run on all workers", func() {
		c := newCluster(newWorkers("w1"),
			withRun(withCrashes(newWorkflow("other", 1, newStep(1, 1, time.Hour)), suspectCrashes), "w1"), newSuspect(1, time.Minute))
		c.stepFor(isolationPeriod - stepInterval)
		Expect(c.placedAt("suspect")).To(BeEmpty())
		c.step()
		Expect(c.placedAt("suspect")).To(beAt("w1"))
	})

	DescribeTable("completes beside short work of a higher priority that arrives all the time", func(priority int) {
		c := newCluster(newWorkers("w1", "w2"), newSuspect(2, time.Second))
		for i := range 60 {
			id := fmt.Sprint("short-", i)
			c.submit(newWorkflow(id, priority, newStep(1, 1, 300*time.Millisecond)))
			c.step()
			Expect(c.placedAt(id)).NotTo(BeEmpty())
		}
		Expect(c.state.Workflows).NotTo(ContainElement(HaveField("Spec.ID", "suspect")))
		Expect(c.preempted()).To(BeEmpty())
	},
		Entry("urgent work", 0),
		Entry("other work", 1),
	)

	It("is placed after the wait on the only worker, although work of a higher priority arrives there all the time", func() {
		c := newCluster(newWorkers("w1"), newSuspect(2, time.Minute), withRun(newWorkflow("first", 1, newStep(1, 1, 300*time.Millisecond)), "w1"))
		for i := range 20 {
			Expect(c.placedAt("suspect")).To(BeEmpty())
			c.submit(newWorkflow(fmt.Sprint("short-", i), 1, newStep(1, 1, 300*time.Millisecond)))
			c.step()
		}
		Expect(c.placedAt("suspect")).To(beAt("w1"))
	})

	It("is placed one at a time with the others of its step", func() {
		w := withCrashes(newWorkflow("suspect", 1, newStep(3, 1, time.Second)), suspectCrashes)
		c := newCluster(newWorkers("w1", "w2", "w3"), w)
		most := 0
		for range 60 {
			c.step()
			n := len(c.placedAt("suspect"))
			Expect(n).To(BeNumerically("<=", 1))
			most = max(most, n)
		}
		Expect(most).To(Equal(1))
		Expect(c.state.Workflows).To(BeEmpty(), "all have succeeded, one after the other")
	})

	It("holds the others of its step back for 2 s", func() {
		w := withCrashes(newWorkflow("suspect", 1, newStep(3, 1, time.Hour)), suspectCrashes)
		c := newCluster(newWorkers("w1", "w2", "w3"), w)
		for placed := 1; placed <= 3; placed++ {
			c.step()
			Expect(c.placedAt("suspect")).To(HaveLen(placed))
			c.stepFor(isolationPeriod - stepInterval)
			Expect(c.placedAt("suspect")).To(HaveLen(placed))
		}
	})

	It("is placed beside its own workflow although another suspect waits for a worker", func() {
		w := withCrashes(newWorkflow("beside-own", 1, newStep(2, 1, time.Minute)), suspectCrashes, 0)
		c := newCluster(newWorkers("w1"), newSuspect(1, time.Minute), withRun(w, "w1", 1))
		c.step()
		Expect(c.placedAt("suspect")).To(BeEmpty())
		Expect(c.placedAt("beside-own")).To(beAt("w1", "w1"))
	})

	It("does not hold back a later step with the same needs", func() {
		s := newStep(1, 1, time.Minute)
		s.MaxPerWorker = 1
		w := withCrashes(newWorkflow("suspect", 1, s, s), suspectCrashes)
		c := newCluster(newWorkers("w1"), newLoad("w1", 1), w)
		c.step()
		Expect(c.placedAt("suspect")).To(beAt("w1"))
	})

	It("does not hold back the sound tasks of its step", func() {
		w := withCrashes(newWorkflow("suspect", 1, newStep(3, 1, time.Minute)), suspectCrashes, 0)
		c := newCluster(newWorkers("w1"), newLoad("w1", 1), w)
		c.step()
		Expect(c.placedAt("suspect")).To(beAt("w1", "w1"))
	})
})

var _ = Describe("Guaranteed urgent work", func() {
	urgent := newWorkflow("urgent", 0, newStep(1, 8, time.Minute))

	DescribeTable("preempts a run", func(crashes int) {
		w := withCrashes(newWorkflow("less-urgent", 2, newStep(1, 1, time.Minute)), crashes)
		c := newCluster(newWorkers("w1"), withRun(w, "w1"))
		c.submit(urgent)
		c.step()
		Expect(c.preempted()).To(Equal([]string{"less-urgent"}))
		c.stepFor(time.Second)
		Expect(c.placedAt("urgent")).To(beAt("w1"))
	},
		Entry("of a sound task", 0),
		Entry("of a suspect", suspectCrashes),
	)

	It("preempts a suspect and not the run beside it, which would lose less", func() {
		c := newCluster(newWorkers("w1"),
			withRun(withCrashes(newWorkflow("suspect", 1, newStep(1, 4, time.Minute)), suspectCrashes), "w1"),
			withRun(newWorkflow("beside", 1, newStep(1, 2, time.Minute)), "w1"))
		c.submit(newWorkflow("urgent", 0, newStep(1, 2, time.Second)))
		c.step()
		Expect(c.preempted()).To(Equal([]string{"suspect"}))
	})

	It("preempts nothing beside an urgent suspect for 2 s after the crash", func() {
		c := newCluster(newWorkers("w1"), withRun(newSuspect(0, time.Minute), "w1"), newLoad("w1", 7))
		c.submit(newWorkflow("urgent", 0, newStep(1, 1, time.Second)))
		c.stepFor(isolationPeriod - stepInterval)
		Expect(c.preempted()).To(BeEmpty())
		Expect(c.placedAt("urgent")).To(BeEmpty())
		c.step()
		Expect(c.preempted()).To(Equal([]string{"load-w1"}))
	})

	It("does not count on the worker of an urgent suspect that is placed in the same pass", func() {
		c := newCluster(newWorkers("w1", "w2"), newSuspect(0, time.Minute), newLoad("w2", 8))
		c.submit(newWorkflow("urgent", 0, newStep(1, 4, time.Second)))
		c.step()
		Expect(c.placedAt("suspect")).To(beAt("w1"))
		Expect(c.preempted()).To(Equal([]string{"load-w2"}))
	})

	It("waits for a suspect that is being stopped, and preempts nothing else", func() {
		c := newCluster(newWorkers("w1", "w2"),
			withRun(withCrashes(newWorkflow("suspect", 1, newStep(1, 4, time.Minute)), suspectCrashes), "w1"),
			newLoad("w2", 8))
		c.answer = func(o Order) Result {
			if _, isStop := o.(Stop); isStop {
				return unanswered(o)
			}
			return Acknowledged{}
		}
		c.submit(newWorkflow("urgent", 0, newStep(1, 8, time.Second)))
		c.stepFor(500 * time.Millisecond)
		Expect(c.preempted()).To(Equal([]string{"suspect"}))
	})

	It("preempts runs for a gang that also uses the worker of a suspect of its own workflow", func() {
		w := withCrashes(newWorkflow("urgent", 0, newStep(1, 1, time.Minute), newGang(2, 7)), suspectCrashes)
		c := newCluster(newWorkers("w1", "w2"), withRun(w, "w1"), newLoad("w2", 8))
		c.stepFor(time.Second)
		Expect(c.preempted()).To(Equal([]string{"load-w2"}))
		Expect(c.placedAt("urgent")).To(beAt("w1", "w1", "w2"))
	})

	It("preempts nothing for a suspect that still waits for a worker of its own", func() {
		c := newCluster(newWorkers("w1"), newLoad("w1", 8), newSuspect(0, time.Second))
		c.stepFor(isolationPeriod - stepInterval)
		Expect(c.preempted()).To(BeEmpty())
		c.step()
		Expect(c.preempted()).To(Equal([]string{"load-w1"}))
	})
})

var _ = Describe("A gang", func() {
	hour := newWorkflow("hour", 2, newStep(1, 2, time.Hour))

	DescribeTable("that does not fit keeps its reservation while a run ends on a node that it needs", func(crashes int) {
		w := withCrashes(newWorkflow("needed", 1, newStep(1, 1, time.Minute)), crashes)
		c := newCluster(newWorkers("w1", "w2"), withRun(w, "w1"), newWorkflow("gang", 1, newGang(2, 8)), hour)
		c.stepFor(time.Second)
		Expect(c.placedAt("hour")).To(BeEmpty())
	},
		Entry("of a sound task", 0),
		Entry("of a suspect", suspectCrashes),
	)

	DescribeTable("that does not fit reserves the node that it can use first, not one with an isolated suspect", func(isPlaced bool) {
		suspect := newSuspect(1, time.Minute)
		if isPlaced {
			suspect = withRun(suspect, "w1")
		}
		c := newCluster(newWorkers("w1", "w2"), suspect,
			withRun(newWorkflow("ends-first", 1, newStep(1, 4, 10*time.Second)), "w2"),
			newWorkflow("gang", 1, newGang(3, 2)), hour)
		c.stepFor(isolationPeriod - stepInterval)
		Expect(c.placedAt("suspect")).To(beAt("w1"))
		Expect(c.placedAt("hour")).To(BeEmpty())
		Expect(c.placedAt("gang")).To(BeEmpty())
		c.step()
		Expect(c.placedAt("gang")).To(beAt("w1", "w2", "w2"))
	},
		Entry("that runs", true),
		Entry("that is placed in the same pass", false),
	)

	It("with a suspect gets no other workflow beside any member", func() {
		g := newGang(2, 1)
		g.MaxPerWorker = 1
		gang := withCrashes(newWorkflow("gang", 1, g), suspectCrashes, 0)
		c := newCluster(newWorkers("w1", "w2"), gang)
		c.step()
		Expect(c.placedAt("gang")).To(beAt("w1", "w2"))
		c.submit(newWorkflow("later", 1, newStep(1, 1, time.Second)))
		c.stepFor(time.Second)
		Expect(c.placedAt("later")).To(BeEmpty())
	})

	// A reservation of whole workers would hold back the others although the gang may
	// share a worker soon.
	It("gets no reservation while it is a suspect that waits for workers of its own", func() {
		g := newGang(2, 7)
		g.MaxPerWorker = 1
		gang := withCrashes(newWorkflow("gang", 1, g), suspectCrashes)
		load := withRun(newWorkflow("load", 1, newStep(1, 1, time.Minute)), "w1")
		c := newCluster(newWorkers("w1", "w2"), load, newLoad("w2", 2), gang)
		c.submit(hour)
		c.step()
		Expect(c.placedAt("hour")).NotTo(BeEmpty())

		c = newCluster(newWorkers("w1", "w2"), load, newLoad("w2", 2), gang)
		c.stepFor(isolationPeriod)
		c.submit(hour)
		c.stepFor(time.Second)
		Expect(c.placedAt("hour")).To(BeEmpty())
	})

	It("is placed on shared workers, one member on each, once it has waited 2 s as a suspect", func() {
		g := newGang(2, 1)
		g.MaxPerWorker = 1
		gang := withCrashes(newWorkflow("gang", 1, g), suspectCrashes)
		c := newCluster(newWorkers("w1", "w2"), newLoad("w1", 1), newLoad("w2", 1), gang)
		c.stepFor(isolationPeriod - stepInterval)
		Expect(c.placedAt("gang")).To(BeEmpty())
		c.step()
		Expect(c.placedAt("gang")).To(beAt("w1", "w2"))
	})
})
