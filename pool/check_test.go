package pool_test

import (
	"math"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
)

var _ = Describe("The announcement of a worker", func() {
	newAnnouncement := func() pool.Worker {
		return pool.Worker{
			ID:          "w",
			Incarnation: 1_700_000_000_000,
			Pool:        "pool",
			Address:     "10.0.0.9:80",
			DataCentre:  "a",
			Labels: []string{
				"kind",
				"rack",
			},
			Capacity: pool.ResourceVector{
				MilliCores:   512_000,
				MemoryMB:     16_000_000,
				Accelerators: 256,
			},
		}
	}

	It("has no fault", func() {
		Expect(newAnnouncement().Check()).To(BeNil())
	})

	DescribeTable("has a fault", func(field string, change func(w *pool.Worker)) {
		w := newAnnouncement()
		change(&w)
		Expect(w.Check()).To(HaveField("Field", field))
	},
		Entry("without an identifier", "id", func(w *pool.Worker) { w.ID = "" }),
		Entry("with a long identifier", "id", func(w *pool.Worker) { w.ID = strings.Repeat("w", 257) }),
		Entry("without a pool", "pool", func(w *pool.Worker) { w.Pool = "" }),
		Entry("without a data centre", "data-centre", func(w *pool.Worker) { w.DataCentre = "" }),
		Entry("with a long address", "address", func(w *pool.Worker) { w.Address = strings.Repeat("w", 257) }),
		Entry("without an incarnation", "born", func(w *pool.Worker) { w.Incarnation = 0 }),
		Entry("with an incarnation after the year 9999", "born", func(w *pool.Worker) { w.Incarnation = math.MaxInt64 }),
		Entry("with a negative capacity", "capacity", func(w *pool.Worker) { w.Capacity.MemoryMB = -1 }),
		Entry("with a capacity whose sums overflow", "capacity", func(w *pool.Worker) { w.Capacity.Accelerators = math.MaxInt64 }),
		Entry("with many labels", "labels", func(w *pool.Worker) { w.Labels = make([]string, 65) }),
		Entry("with a long label", "labels", func(w *pool.Worker) { w.Labels[0] = strings.Repeat("w", 257) }),
	)
})
