package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A workflow whose queue was moved to another pool", func() {
	It("leaves its runs where they are and places further ones in the new pool", func() {
		next := newStep(1, 1, time.Minute)
		next.Dependencies = []int{0}
		w := withRun(newWorkflow("moved", 1, newStep(1, 1, 2*time.Second), next), "old")
		machines := newWorkers("old", "new")
		machines[1].Pool = "new-pool"
		c := newCluster(machines, w.WithPool("new-pool"))
		c.stepFor(time.Second)
		Expect(c.placedAt("moved")).To(beAt("old"))
		c.stepFor(2 * time.Second)
		Expect(c.placedAt("moved")).To(beAt("new"))
	})

	It("is logged while the pool has no worker", func() {
		c := newCluster(newWorkers("old"), newWorkflow("moved", 1, newStep(1, 1, time.Second)).WithPool("new-pool"))
		c.stepFor(waitReportAge + stepInterval)
		Expect(c.records).To(ContainElement(And(
			HaveField("Reason", "no-worker"),
			HaveField("Text", "Tasks wait, since their pool has no worker in service."),
		)))
	})
})
