package dispatch

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

// The load is that of urgent gangs which come while the workers that are fast enough for them
// are in use, beside slow ones that are free.
var _ = Describe("An urgent gang in a pool of different speeds", func() {
	const maxWait = time.Second

	// newUneven returns 30 workers of the speeds 0.6, 1 and 1.6 in turn, and in three racks,
	// whose speeds an earlier leader has learned.
	newUneven := func() *cluster {
		var ids []string
		for i := range 30 {
			ids = append(ids, fmt.Sprintf("w%02d", i))
		}
		c := newCluster(newWorkers(ids...))
		c.speeds = map[string]float64{}
		for i, id := range ids {
			c.speeds[id] = []float64{0.6, 1, 1.6}[i%3]
			c.machines[i].Labels = []string{id, fmt.Sprintf("rack-%d", i/10)}
			c.machines[i] = c.machines[i].WithSpeed([]float64{-0.5, 0, 0.47}[i%3], 150)
		}
		c.commit()
		c.stepFor(time.Second)
		Expect(c.dispatcher.spreads["pool"].IsUneven()).To(BeTrue())
		return c
	}
	// occupy lets a task run on each selected worker.
	occupy := func(c *cluster, isSelected func(i int) bool) {
		for i := range c.machines {
			if isSelected(i) {
				step := newStep(1, 8, time.Minute)
				step.RequiredLabel = c.machines[i].ID
				c.submit(newWorkflow(fmt.Sprintf("other-%d", i), 2, step))
			}
		}
		c.stepFor(2 * time.Second)
	}
	isSlow := func(i int) bool { return i%3 == 0 }
	submit := func(c *cluster, gang workflow.Step, runTime time.Duration, rest ...workflow.Step) {
		gang.DeclaredRunTime = runTime
		w := newWorkflow("urgent", 0, append([]workflow.Step{gang}, rest...)...)
		w.QueueSettings.Stretch, w.QueueSettings.Slack = 1.5, 250*time.Millisecond
		c.submit(w)
	}
	// waitForPlacement returns how long the gang waits.
	waitForPlacement := func(c *cluster) time.Duration {
		GinkgoHelper()
		from := c.now
		for len(c.placedAt("urgent")) == 0 {
			Expect(c.now.Sub(from)).To(BeNumerically("<", 20*time.Second), "is not placed")
			c.step()
		}
		return c.now.Sub(from)
	}

	// It waited for 12.7 s for free workers of other racks, which it never uses.
	It("of one rack does not wait for fast workers outside of it", func() {
		c := newUneven()
		gang := newGang(8, 8)
		gang.IsRackSensitive = true
		submit(c, gang, 20*time.Second)
		Expect(waitForPlacement(c)).To(BeNumerically("<", maxWait))
	})

	// It waited for 5.9 s, since free slow workers seemed fast enough.
	It("before another step does not wait for what is free already", func() {
		c := newUneven()
		next := newStep(1, 1, 8*time.Second)
		next.Dependencies = []int{0}
		submit(c, newGang(25, 8), 8*time.Second, next)
		Expect(waitForPlacement(c)).To(BeNumerically("<", maxWait))
	})

	// It waited for as long as the stops took, and stopped other runs in each pass.
	It("takes slow workers if the fast ones do not become free within the time of a stop", func() {
		c := newUneven()
		occupy(c, func(i int) bool { return !isSlow(i) })
		c.withholds = func(o Order) bool {
			_, isStop := o.(Stop)
			return isStop
		}
		submit(c, newGang(5, 8), 20*time.Second)
		bound := c.dispatcher.cfg.MaxStopDuration + speedWaitMargin + 2*stepInterval
		Expect(waitForPlacement(c)).To(BeNumerically("<=", bound))
		Expect(len(c.preempted())).To(BeNumerically("<=", 5))
	})

	// It stopped five runs, two of them on slow workers, and then two more on fast ones.
	It("stops runs on fast workers only, if all are in use", func() {
		c := newUneven()
		occupy(c, func(int) bool { return true })
		submit(c, newGang(5, 8), 20*time.Second)
		Expect(waitForPlacement(c)).To(BeNumerically("<", 2*maxWait))
		Expect(c.preempted()).To(HaveLen(5))
		for _, id := range c.placedAt("urgent") {
			Expect(c.speeds[id]).To(BeNumerically(">=", 1))
		}
	})

	It("that is late on each of them takes the fastest", func() {
		c := newUneven()
		submit(c, newGang(5, 8), 4*time.Second)
		w := c.state.Workflows[len(c.state.Workflows)-1]
		w.Submitted = c.now.Add(-7 * time.Second)
		c.state.Workflows = append(slices.Clone(c.state.Workflows[:len(c.state.Workflows)-1]), w)
		waitForPlacement(c)
		for _, id := range c.placedAt("urgent") {
			Expect(c.speeds[id]).To(Equal(1.6))
		}
	})
})
