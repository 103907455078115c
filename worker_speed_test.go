package plantainladder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/wire"
)

var _ = Describe("The learned speed of a worker", func() {
	announced := pool.Worker{
		ID:          "w",
		Incarnation: 5,
		Pool:        "p",
		Sequence:    1,
	}
	learned := func(incarnation int64) plantainladder.Round {
		return plantainladder.Round{
			ID: 1,
			Speeds: []plantainladder.WorkerSpeed{
				{
					Worker:      "w",
					Incarnation: incarnation,
					LogSpeed:    -0.5,
					Precision:   40,
				},
			},
		}
	}
	announce := func(r *replica, w pool.Worker) {
		GinkgoHelper()
		Expect(r.apply("", plantainladder.Announce{
			Worker: w,
		}).IsAccepted()).To(BeTrue())
	}
	newLearned := func() *replica {
		r := newReplica()
		announce(r, announced)
		r.apply("", learned(5))
		return r
	}
	speedIn := func(s plantainladder.State) float64 {
		w, _ := s.PoolWorker("w")
		return w.LogSpeed
	}

	It("is kept with its incarnation, through later announcements and a snapshot", func() {
		r := newLearned()
		Expect(speedIn(r.state)).To(Equal(-0.5))
		changed := announced
		changed.Sequence, changed.Leaving = 2, true
		announce(r, changed)
		Expect(speedIn(r.state)).To(Equal(-0.5))
		b, err := wire.MarshalState(r.state)
		Expect(err).NotTo(HaveOccurred())
		restored, err := wire.UnmarshalState(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(speedIn(restored)).To(Equal(-0.5))
	})

	// Another kind of machine may be back under the identifier.
	It("is forgotten with the next incarnation, and none is accepted for an earlier one", func() {
		r := newLearned()
		next := announced
		next.Incarnation = 6
		announce(r, next)
		Expect(speedIn(r.state)).To(BeZero())
		r.apply("", learned(5))
		Expect(speedIn(r.state)).To(BeZero())
	})

	It("does not make an announcement with the same content a new one", func() {
		known, _ := newLearned().state.PoolWorker("w")
		Expect(announced.Supersedes(known)).To(BeFalse())
	})
})
