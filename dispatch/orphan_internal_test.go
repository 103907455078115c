package dispatch

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A worker that carries out a start late lists a run that is not placed there. A start went
// out together with the stop of that run, and brought the worker over its capacity.
var _ = Describe("A run that a worker lists and that is not placed there", func() {
	isStop := func(o Order) bool {
		_, ok := o.(Stop)
		return ok
	}
	stray := func(id string) workflow.RunKey {
		return workflow.RunKey{
			TaskKey: workflow.TaskKey{
				Workflow: id,
			},
			Run: 1,
		}
	}
	// newStrayCluster returns a cluster in which w lists run 1 of stray, whose stop gets no
	// answer.
	newStrayCluster := func(workers []pool.Worker, list ...workflow.Workflow) *cluster {
		c := newCluster(workers, list...)
		c.strays["w"] = []workflow.RunKey{
			stray("stray"),
		}
		c.answer = func(o Order) Result {
			if isStop(o) {
				return Unanswered{}
			}
			return Acknowledged{}
		}
		return c
	}
	// expectStartOnlyWithout expects that a workflow is not started while the run is listed, and
	// is soon after.
	expectStartOnlyWithout := func(c *cluster, id string) {
		GinkgoHelper()
		c.stepFor(2 * time.Second)
		Expect(c.startsSent[id]).To(BeZero())
		c.answer = acknowledge
		c.stepFor(2 * time.Second)
		Expect(c.strays["w"]).To(BeEmpty())
		Expect(c.startsSent[id]).To(Equal(1))
	}
	// placedElsewhere returns a workflow that needs a number of cores, whose first run was lost
	// and whose second runs on x.
	placedElsewhere := func(cores int) workflow.Workflow {
		w := withRun(newWorkflow("stray", 1, newStep(1, cores, time.Minute)), "w")
		w = w.WithRunEnd(epoch, workflow.RunEnd{
			RunKey:    stray("stray"),
			EndReason: workflow.EndedLost,
		})
		return withRun(w, "x")
	}

	It("uses its capacity until a listing lacks it, also if its stop gets no answer", func() {
		c := newStrayCluster(newWorkers("w", "x"), placedElsewhere(8), newWorkflow("a", 1, newStep(1, 8, time.Minute)))
		expectStartOnlyWithout(c, "a")
	})

	It("leaves the rest of the worker's capacity to others", func() {
		c := newStrayCluster(newWorkers("w", "x"), placedElsewhere(5), newWorkflow("a", 1, newStep(1, 3, time.Minute)))
		c.stepFor(2 * time.Second)
		Expect(c.startsSent["a"]).To(Equal(1))
	})

	It("uses the whole worker if its workflow is not known", func() {
		c := newStrayCluster(newWorkers("w"), newSound("a"))
		expectStartOnlyWithout(c, "a")
	})

	It("uses its capacity for a new leader too", func() {
		c := newStrayCluster(newWorkers("w", "x"), placedElsewhere(8))
		c.stepFor(time.Second)
		c.submit(newWorkflow("a", 1, newStep(1, 8, time.Minute)))
		c.changeLeader()
		expectStartOnlyWithout(c, "a")
	})

	It("is not preempted for urgent work, which waits for its end", func() {
		c := newStrayCluster(newWorkers("w", "x"), placedElsewhere(8), newWorkflow("a", 0, newStep(1, 8, time.Minute)))
		c.stepFor(2 * time.Second)
		Expect(c.startsSent["a"]).To(BeNumerically("<=", 1))
		Expect(c.placedAt("a")).NotTo(ContainElement("w"))
	})

	It("counts for the limit of its organisation", func() {
		c := newStrayCluster(newWorkers("w", "x", "y"), placedElsewhere(2), newWorkflow("a", 1, newStep(1, 4, time.Minute)))
		c.state.LimitOf = func(string) pool.ResourceVector {
			return newCores(7)
		}
		expectStartOnlyWithout(c, "a")
	})

	It("counts for the most tasks of its step on a worker", func() {
		step := newStep(2, 1, time.Minute)
		step.MaxPerWorker = 1
		c := newStrayCluster(newWorkers("w"), newWorkflow("stray", 1, step))
		c.strays["w"][0].Index = 1
		c.stepFor(2 * time.Second)
		Expect(c.startsSent["stray"]).To(BeZero())
	})

	It("keeps its task from being started elsewhere", func() {
		c := newStrayCluster(newWorkers("w", "x"))
		c.fence("w", "x")
		w := newWorkflow("stray", 1, newStep(1, 8, time.Minute))
		c.submit(withRun(w, "w").WithRunEnd(epoch, workflow.RunEnd{
			RunKey:    stray("stray"),
			EndReason: workflow.EndedLost,
		}))
		expectStartOnlyWithout(c, "stray")
	})

	It("is gone once the lease of the worker is over", func() {
		c := newStrayCluster(newWorkers("w"), newWorkflow("a", 1, newStep(1, 8, time.Minute)))
		c.stepFor(time.Second)
		c.answer = func(Order) Result {
			return Unanswered{}
		}
		c.stepFor(c.dispatcher.cfg.MaxLeaseDuration + 3*time.Second)
		v, _ := c.dispatcher.workerView("w")
		Expect(v.orphans).To(BeEmpty())
	})

	It("is logged once and stopped again and again", func() {
		c := newStrayCluster(newWorkers("w", "x"), placedElsewhere(8))
		stops := 0
		answer := c.answer
		c.answer = func(o Order) Result {
			if isStop(o) {
				stops++
			}
			return answer(o)
		}
		c.stepFor(3 * time.Second)
		Expect(stops).To(BeNumerically(">", 3))
		records := slices.DeleteFunc(slices.Clone(c.records), func(r DecisionRecord) bool {
			return r.Text != "Worker reported a run that is not placed on it."
		})
		Expect(records).To(HaveLen(1))
	})
})
