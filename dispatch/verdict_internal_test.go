package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A run that was lost with a worker out of reach", func() {
	var c *cluster

	// task returns the task whose run was lost.
	task := func() workflow.Task {
		GinkgoHelper()
		t, ok := c.state.Workflows[0].Task(workflow.TaskKey{
			Workflow: "a",
		})
		Expect(ok).To(BeTrue())
		return t
	}

	BeforeEach(func() {
		c = newCluster(newWorkers("w"), newSound("a"))
		c.stepFor(time.Second)
		c.isSilent["w"] = true
		c.answer = unanswered
		Expect(c.stepUntilEnds(1)["a"]).To(isLost(true))
		Expect(task().Crashes).To(Equal(1))
		Expect(task().UnresolvedLosses).To(HaveLen(1))
		c.answer = acknowledge
	})

	// Guards against network partitions that are taken for crashes.
	It("counts no more once the worker has answered", func() {
		c.isSilent["w"] = false
		c.stepFor(time.Second)
		Expect(task().Crashes).To(BeZero())
		Expect(task().UnresolvedLosses).To(BeEmpty())
	})

	It("counts no more once the worker has answered a new leader", func() {
		c.changeLeader()
		c.isSilent["w"] = false
		c.stepFor(time.Second)
		Expect(task().Crashes).To(BeZero())
	})

	It("counts no more even if the clock of the leader before was ahead", func() {
		c.now = c.now.Add(-5 * time.Second)
		c.changeLeader()
		c.isSilent["w"] = false
		c.stepFor(time.Second)
		Expect(task().Crashes).To(BeZero())
	})

	It("still counts while only announcements of the worker arrive, which may be late", func() {
		c.isSilent["w"] = false
		c.answer = unanswered
		c.stepFor(5 * time.Second)
		Expect(task().Crashes).To(Equal(1))
		Expect(task().UnresolvedLosses).To(HaveLen(1))
	})

	It("is a confirmed crash once the next incarnation announces itself", func() {
		c.isSilent["w"] = false
		hasRestarted(c, "w")
		c.step()
		Expect(task().Crashes).To(Equal(1))
		Expect(task().UnconfirmedCrashes).To(BeZero())
		Expect(task().SilentLosses).To(BeZero())
	})

	It("is a confirmed crash once the inventory lacks the worker", func() {
		c.readInventory("w")
		c.step()
		Expect(task().UnconfirmedCrashes).To(BeZero())
	})

	It("counts as before if nothing is heard of the worker", func() {
		c.answer = unanswered
		c.stepFor(forgetAfter + time.Second)
		Expect(task().Crashes).To(Equal(1))
		Expect(task().SilentLosses).To(Equal(1))
		Expect(task().UnresolvedLosses).To(BeEmpty())
	})
})

var _ = Describe("A task that awaits a verdict", func() {
	// newHeld returns a workflow whose first task has lost five runs with workers out
	// of reach.
	newHeld := func(s workflow.Step) workflow.Workflow {
		w := newWorkflow("a", 1, s)
		for range 5 {
			w = withRun(w, "lost")
			for _, t := range w.PlacedTasks() {
				e := workflow.RunEnd{
					RunKey:    t.RunKey,
					EndReason: workflow.EndedGangAborted,
				}
				if t.Index == 0 {
					e.EndReason, e.IsUnconfirmed, e.AwaitsVerdict = workflow.EndedLost, true, true
				}
				w = w.WithRunEnd(epoch, e)
			}
		}
		return w
	}

	It("is not placed, unlike the other tasks of its step", func() {
		c := newCluster(newWorkers("w"), newHeld(newStep(3, 1, time.Minute)))
		c.stepFor(time.Second)
		Expect(c.placedAt("a")).To(Equal([]string{"w", "w"}))
	})

	It("holds back its whole gang", func() {
		c := newCluster(newWorkers("w"), newHeld(newGang(3, 1)))
		c.stepFor(time.Second)
		Expect(c.placedAt("a")).To(BeEmpty())
	})

	It("is placed once the worker cannot be heard of any more", func() {
		c := newCluster(newWorkers("w"), newHeld(newStep(1, 1, time.Minute)))
		c.stepFor(forgetAfter - time.Second)
		Expect(c.placedAt("a")).To(BeEmpty())
		c.stepFor(2 * time.Second)
		Expect(c.placedAt("a")).To(Equal([]string{"w"}))
	})
})
