package pool_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
)

// A limit that overflows, or one of 0 that is taken for none left, would stop all work of
// an organisation or let it have everything.
var _ = Describe("A limit", func() {
	newVector := func(milliCores, memoryMB, accelerators int) pool.ResourceVector {
		return pool.ResourceVector{
			MilliCores:   milliCores,
			MemoryMB:     memoryMB,
			Accelerators: accelerators,
		}
	}

	DescribeTable("admits tasks", func(limit, used pool.ResourceVector, tasks int) {
		Expect(newVector(1000, 10, 1).FitCount(limit.Room(used), 100)).To(Equal(tasks))
	},
		Entry("without a bound if it is zero", newVector(0, 0, 0), newVector(9000, 90, 9), 100),
		Entry("by the one resource that it bounds", newVector(0, 0, 8), newVector(9000, 90, 5), 3),
		Entry("by the scarcest resource", newVector(20_000, 35, 8), newVector(0, 0, 0), 3),
		Entry("not if more is used already", newVector(0, 35, 8), newVector(0, 36, 0), 0),
		Entry("up to its largest amount", newVector(0, 0, pool.MaxLimitAmount), newVector(0, 0, 5), 100),
	)

	// Work without accelerators was held up while more accelerators were in use than allowed.
	It("bounds only work that needs the resource", func() {
		limit, used := newVector(4000, 0, 4), newVector(1000, 50, 8)
		Expect(newVector(1000, 10, 0).FitCount(limit.RoomFor(newVector(1000, 10, 0), used), 100)).To(Equal(3))
		Expect(newVector(1000, 10, 1).FitCount(limit.RoomFor(newVector(1000, 10, 1), used), 100)).To(BeZero())
	})

	DescribeTable("is raised by a share of itself", func(share float64, accelerators int) {
		Expect(newVector(0, 0, 25).WithOverage(share)).To(Equal(newVector(0, 0, accelerators)))
	},
		Entry("rounded down", 0.1, 27),
		Entry("not by nothing", 0.0, 25),
		Entry("not by a negative share", -1.0, 25),
		Entry("not by what is no number", math.NaN(), 25),
		Entry("by a bounded share, on all processors alike", math.Inf(1), 275),
	)
})
