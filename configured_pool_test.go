package plantainladder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
)

// Another program announced itself under a worker's identifier, with a pool that is not
// configured. It was taken for the next incarnation of the worker, whose runs were started
// again elsewhere while they went on.
var _ = Describe("An announcement with a pool that is not configured", func() {
	known := pool.Worker{
		ID:          "w",
		Incarnation: 5,
		Pool:        "pool",
		Address:     "here",
	}
	var r *replica

	// committed returns the worker as its present record has it, without what was added
	// when it was committed.
	committed := func() pool.Worker {
		GinkgoHelper()
		w, ok := r.state.PoolWorker("w")
		Expect(ok).To(BeTrue())
		return w.WithGeneration(0)
	}

	announce := func(w pool.Worker) plantainladder.Outcome {
		return r.apply("", plantainladder.Announce{
			Worker: w,
		})
	}

	// configure sets the pools of the next version of the configuration.
	configure := func(pools ...string) {
		d := configuration.Document{
			Version: r.state.Configuration().Version + 1,
		}
		for _, name := range pools {
			d.Pools = append(d.Pools, configuration.Pool{
				Name: name,
			})
		}
		Expect(r.apply("", plantainladder.PutConfiguration{
			Document: d,
		}).IsAccepted()).To(BeTrue())
	}

	BeforeEach(func() {
		r = newReplica()
	})

	DescribeTable("is refused from another program under the identifier of a known worker", func(change func(w *pool.Worker)) {
		configure("pool")
		announce(known)
		odd := known
		odd.Pool = "telemetry"
		change(&odd)
		Expect(announce(odd).Reason).To(Equal(plantainladder.RefusedNotFound))
		Expect(committed()).To(Equal(known))
	},
		Entry("as a later incarnation", func(w *pool.Worker) { w.Incarnation++ }),
		Entry("as the same incarnation", func(w *pool.Worker) { w.Sequence = 9 }),
		Entry("as one that leaves", func(w *pool.Worker) { w.Leaving = true }),
		Entry("with another address", func(w *pool.Worker) { w.Address, w.Incarnation = "there", 6 }),
	)

	It("is refused from a worker that is not known", func() {
		configure("other")
		Expect(announce(known).IsAccepted()).To(BeFalse())
		Expect(r.state.PoolWorkers()).To(BeEmpty())
	})

	It("is accepted before there is a configuration, which then removes the worker", func() {
		odd := known
		odd.ID, odd.Pool = "odd", "telemetry"
		Expect(announce(known).IsAccepted()).To(BeTrue())
		Expect(announce(odd).IsAccepted()).To(BeTrue())
		configure("pool")
		Expect(r.state.PoolWorkers()).To(HaveLen(1))
		Expect(committed()).To(Equal(known))
	})

	DescribeTable("is accepted from a worker whose pool was removed since", func(change func(w *pool.Worker)) {
		configure("pool")
		announce(known)
		configure("renamed")
		changed := known
		change(&changed)
		Expect(announce(changed).IsAccepted()).To(BeTrue())
		Expect(committed()).To(Equal(changed))
	},
		Entry("that leaves", func(w *pool.Worker) { w.Leaving = true }),
		Entry("that has restarted", func(w *pool.Worker) { w.Incarnation++ }),
	)
})
