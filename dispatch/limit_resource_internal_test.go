package dispatch

import (
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
