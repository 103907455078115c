package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A worker under whose identifier another program had announced itself, with a later start
// time, got no tasks any more.
var _ = Describe("A worker whose announcement was removed from the state", func() {
	It("is known again by its next announcement, as an earlier incarnation too", func() {
		odd := newWorker("w1")
		odd.Incarnation, odd.Pool = 9, "telemetry"
		c := newCluster(newWorkers("w1"))
		c.machines[0] = odd
		c.step()
		c.machines = nil
		c.stepFor(2 * stepInterval)
		c.machines = newWorkers("w1")
		c.submit(newWorkflow("small", 1, newStep(1, 1, time.Minute)))
		c.stepFor(3 * stepInterval)
		Expect(c.placedAt("small")).To(beAt("w1"))
	})
})
