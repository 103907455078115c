package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
)

var _ = Describe("Work that needs none of the resource that its organisation has used up", func() {
	limitAccelerators := func(c *cluster, n int) {
		c.state.LimitOf = func(string) pool.ResourceVector {
			return pool.ResourceVector{
				MilliCores:   100 * milliPerCore,
				Accelerators: n,
			}
		}
		c.state.Version++
	}

	// It waited until the runs above the lowered limit had ended.
	It("is placed after the limit of that resource was lowered below its use", func() {
		c := newCluster(newPods("a", "b"))
		limitAccelerators(c, 8)
		c.submit(of("mill", newWorkflow("running", 1, newAccelerated(2, 4))))
		c.stepFor(time.Second)
		limitAccelerators(c, 4)
		c.submit(of("mill", newWorkflow("cpu", 1, newStep(2, 1, time.Minute))))
		c.submit(of("mill", newWorkflow("gpu", 1, newAccelerated(1, 1))))
		c.stepFor(time.Second)
		Expect(c.startsSent["cpu"]).To(Equal(2))
		Expect(c.startsSent["gpu"]).To(BeZero())
		Expect(c.placedAt("running")).To(HaveLen(2))
	})

	// What was reserved exceeded the room of the organisation.
	It("is placed beside the reservation of a gang", func() {
		c := newCluster(newPods("a", "b"))
		limitAccelerators(c, 8)
		c.submit(of("mill", newWorkflow("running", 1, newAccelerated(2, 4))))
		c.stepFor(time.Second)
		gang := newAccelerated(2, 4)
		gang.IsGang = true
		c.submit(of("mill", newWorkflow("gang", 1, gang)))
		c.step()
		c.submit(of("mill", newWorkflow("cpu", 1, newStep(2, 1, 5*time.Minute))))
		c.stepFor(time.Second)
		Expect(c.startsSent["cpu"]).To(Equal(2))
		Expect(c.startsSent["gang"]).To(BeZero())
	})

	// They were stopped, since stopping them made the room for accelerators positive.
	It("is no reason to stop runs that use that resource", func() {
		c := newCluster(newPods("a", "b"))
		limitAccelerators(c, 8)
		c.submit(of("mill", newWorkflow("running", 1, newAccelerated(2, 4))))
		c.stepFor(time.Second)
		limitAccelerators(c, 4)
		c.submit(of("mill", newWorkflow("urgent", 0, newStep(1, 1, time.Minute))))
		c.stepFor(2 * time.Second)
		Expect(c.startsSent["urgent"]).To(Equal(1))
		Expect(c.preempted()).To(BeEmpty())
	})
})

var _ = Describe("A large task at the limit of its organisation", func() {
	// Smaller work that came later took each core that became free; only gangs had room
	// reserved.
	It("is not starved by smaller work", func() {
		c := newCluster(newWorkers("a", "b", "c", "d"))
		c.setLimits(map[string]int{
			"mill": 4,
		})
		for i := range 100 {
			if i == 5 {
				c.submit(of("mill", newWorkflow("large", 1, newStep(1, 4, time.Second))))
			}
			c.submit(of("mill", newWorkflow(fmt.Sprint("small-", i), 1, newStep(1, 1, time.Second))))
			c.stepFor(200 * time.Millisecond)
		}
		Expect(c.startsSent["large"]).To(Equal(1))
	})

	// With one reservation for an organisation, that of a task would take the place of the gang's.
	It("leaves a gang its reservation", func() {
		c := newCluster(newWorkers("a", "b", "c", "d"))
		c.setLimits(map[string]int{
			"mill": 8,
		})
		for i := range 8 {
			c.submit(of("mill", newWorkflow(fmt.Sprint("first-", i), 1, newStep(1, 1, 4*time.Second))))
			c.stepFor(400 * time.Millisecond)
		}
		c.submit(of("mill", newWorkflow("large", 1, newStep(1, 4, time.Second))))
		gang := newGang(4, 2)
		gang.DeclaredRunTime = 2 * time.Second
		c.submit(of("mill", newWorkflow("gang", 1, gang)))
		for i := range 12 {
			c.submit(of("mill", newWorkflow(fmt.Sprint("small-", i), 1, newStep(1, 1, 20*time.Second))))
			c.stepFor(500 * time.Millisecond)
		}
		Expect(c.startsSent["large"]).To(Equal(1))
		Expect(c.startsSent["gang"]).To(Equal(4))
	})
})
