package gateway_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/wire"
)

// The leader took such an announcement for the next incarnation of the worker, and ignored
// those of the worker itself from then on.
var _ = Describe("An announcement of another program under a worker's identifier", func() {
	It("has no effect on the worker", func() {
		g := newGroup()
		g.submit(document(1, []string{"t1"}, "q"))
		c := g.serve(g.leader())
		announce := func(w pool.Worker) wire.ResultKind {
			r := call[wire.WorkerAnnouncement, wire.Result](c, wire.MethodAnnounceWorker, wire.WorkerAnnouncement{
				Worker:   w,
				Sequence: 1,
			})
			Expect(r.Leader).To(BeTrue())
			return r.Body.Kind
		}
		known := pool.Worker{
			ID:          "w",
			Incarnation: 5,
			Pool:        "p",
			Sequence:    1,
		}
		Expect(announce(known)).To(Equal(wire.ResultDone))
		odd := known
		odd.Pool, odd.Incarnation, odd.Address = "telemetry", 6, "there"
		syncs := g.syncs
		Expect(announce(odd)).To(Equal(wire.ResultNoPool))
		Expect(g.syncs).To(Equal(syncs), "nothing is written")
		w, ok := g.leader().core.State().PoolWorker("w")
		Expect(ok).To(BeTrue())
		Expect(w.WithGeneration(0)).To(Equal(known))
	})
})
