package plantainladder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/wire"
)

// Orders for a worker's former incarnation were carried out by the next one.
var _ = Describe("The generation of a worker", func() {
	var r *replica

	// announce commits an announcement and returns the generation that the worker has then.
	announce := func(incarnation int64, sequence uint64, isLeaving bool) uint64 {
		GinkgoHelper()
		Expect(r.apply("", plantainladder.Announce{
			Worker: pool.Worker{
				ID:          "w",
				Incarnation: incarnation,
				Pool:        "pool",
				Leaving:     isLeaving,
				Sequence:    sequence,
				Generation:  1_000_000,
			},
		}).IsAccepted()).To(BeTrue())
		w, ok := r.state.PoolWorker("w")
		Expect(ok).To(BeTrue())
		return w.Generation
	}

	BeforeEach(func() {
		r = newReplica()
	})

	It("rises with each incarnation and with nothing else", func() {
		first := announce(5, 1, false)
		Expect(announce(5, 2, true)).To(Equal(first))
		next := announce(6, 1, false)
		Expect(next).To(BeNumerically(">", first))
		Expect(announce(5, 3, false)).To(Equal(next), "an earlier incarnation")
	})

	It("rises when a worker is known again, which may be the same incarnation", func() {
		first := announce(5, 1, false)
		r.apply("", plantainladder.Round{
			ID:             1,
			RemovedWorkers: []string{"w"},
		})
		Expect(announce(5, 2, false)).To(BeNumerically(">", first))
	})

	It("is kept by a snapshot", func() {
		generation := announce(5, 1, false)
		restored, err := wire.UnmarshalState(encode(r.state))
		Expect(err).NotTo(HaveOccurred())
		w, _ := restored.PoolWorker("w")
		Expect(w.Generation).To(Equal(generation))
	})
})
