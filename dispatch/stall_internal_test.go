package dispatch

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A run without progress", func() {
	// backoffOf returns how long a worker gets no new tasks.
	backoffOf := func(c *cluster, worker string) time.Duration {
		v, _ := c.dispatcher.workerView(worker)
		return max(v.backoffUntil.Sub(c.now), 0)
	}

	It("is stopped later each time from the third on, and only two of them count against the workers", func() {
		c := newCluster(newWorkers("w1", "w2", "w3", "w4"), newWorkflow("a", 1, newStep(1, 1, time.Second)))
		c.isHanging = true
		var took []time.Duration
		blamed := map[string]bool{}
		for run := range 4 {
			from := c.now
			c.stepUntilEnds(run + 1)
			Expect(c.ends[run].IsStalled).To(BeTrue())
			took = append(took, c.now.Sub(from))
			for _, id := range []string{"w1", "w2", "w3", "w4"} {
				blamed[id] = blamed[id] || backoffOf(c, id) > 0
			}
		}
		Expect(slices.Collect(maps.Values(blamed))).To(ConsistOf(true, true, false, false))
		Expect(took[0]).To(BeNumerically(">=", stallTimeout))
		Expect(took[1]).To(BeNumerically("<", 2*stallTimeout))
		Expect(took[2]).To(BeNumerically(">=", 2*stallTimeout))
		Expect(took[3]).To(BeNumerically(">=", 4*stallTimeout))
	})

	It("has the time that its own pace suggests", func() {
		r := runState{
			progressedAt: epoch,
		}
		r = r.withProgressAt(epoch.Add(36*time.Second), 2)
		Expect(r.pace).To(Equal(30 * time.Minute))
	})

	It("is remembered by its task", func() {
		w := withRun(newSound("a"), "w")
		w = w.WithRunEnd(epoch, workflow.RunEnd{
			RunKey:    w.PlacedTasks()[0].RunKey,
			EndReason: workflow.EndedStopped,
			IsStalled: true,
		})
		t, _ := w.Task(workflow.TaskKey{
			Workflow: "a",
		})
		Expect(t.Stalls).To(Equal(1))
	})
})
