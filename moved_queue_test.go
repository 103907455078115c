package plantainladder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/configuration"
)

// Accepted workflows stayed in the pool that their queue named when they were accepted,
// and never ran if no worker was left there.
var _ = Describe("An accepted workflow", func() {
	var r *replica

	// configure names the pool of the queue in a new version of the configuration. An
	// empty name removes the queue.
	configure := func(name string) {
		c := newConfiguration()
		c.Document.Version = r.state.Configuration().Version + 1
		c.Document.Pools = append(c.Document.Pools, configuration.Pool{
			Name: "other",
		})
		c.Document.Queues[0].Pool = name
		if name == "" {
			c.Document.Queues = nil
		}
		Expect(r.apply("", c).IsAccepted()).To(BeTrue())
	}

	poolOf := func(s plantainladder.State) string {
		w, ok := s.Workflow("f")
		Expect(ok).To(BeTrue())
		return w.QueueSettings.Pool
	}

	BeforeEach(func() {
		r = newReplica()
		configure("pool")
		Expect(r.apply("", newSubmission()).IsAccepted()).To(BeTrue())
	})

	It("moves with its queue to another pool and back", func() {
		configure("other")
		Expect(poolOf(r.state)).To(Equal("other"))
		configure("pool")
		Expect(poolOf(r.state)).To(Equal("pool"))
	})

	It("stays in the last pool of its queue after the queue was removed", func() {
		configure("other")
		configure("")
		Expect(poolOf(r.state)).To(Equal("other"))
	})

	It("does not move once it is finished", func() {
		Expect(r.apply("", plantainladder.CancelWorkflow{
			ID:    "f",
			Queue: "queue",
			Token: "token",
		}).IsAccepted()).To(BeTrue())
		configure("other")
		Expect(poolOf(r.state)).To(Equal("pool"))
	})

	It("is in the pool of its queue after a snapshot of a version that did not move it", func() {
		records := r.state.Records()
		records.Configuration.Queues[0].Pool = "other"
		Expect(poolOf(plantainladder.NewStateFromRecords(records))).To(Equal("other"))
	})
})
