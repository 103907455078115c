package pool_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pool")
}

var _ = Describe("A worker's announcement", func() {
	known := pool.Worker{
		ID:          "w",
		Incarnation: 5,
		Pool:        "p",
		Labels:      []string{"a", "r1"},
	}

	It("supersedes one of the same incarnation only if its content differs", func() {
		Expect(known.Supersedes(known)).To(BeFalse())
		Expect(known.WithLeaving().Supersedes(known)).To(BeTrue())
	})

	It("supersedes one of the same incarnation only if it is not an earlier one", func() {
		shrunk := known
		shrunk.Capacity.Accelerators, shrunk.Sequence = 1, 7
		late := known
		late.Sequence = 6
		Expect(shrunk.Supersedes(late)).To(BeTrue())
		Expect(late.Supersedes(shrunk)).To(BeFalse())
	})

	It("does not withdraw an announced shutdown within an incarnation", func() {
		Expect(known.Supersedes(known.WithLeaving())).To(BeFalse())
	})

	It("of a later incarnation supersedes any, and of an earlier one none", func() {
		next := known
		next.Incarnation = 6
		Expect(next.Supersedes(known.WithLeaving())).To(BeTrue())
		Expect(known.Supersedes(next)).To(BeFalse())
	})

	It("treats a worker without a rack label as a rack of its own", func() {
		Expect(known.Rack()).To(Equal("r1"))
		alone := known
		alone.Labels = []string{"a"}
		Expect(alone.Rack()).To(Equal("w"))
	})
})

var _ = Describe("A resource vector", func() {
	It("fits as often as its scarcest component allows", func() {
		each := pool.ResourceVector{
			MilliCores:   3000,
			MemoryMB:     10,
			Accelerators: 1,
		}
		free := pool.ResourceVector{
			MilliCores:   10_000,
			MemoryMB:     100,
			Accelerators: 8,
		}
		Expect(each.FitCount(free, 9)).To(Equal(3))
		Expect(each.Times(3).FitsIn(free)).To(BeTrue())
		Expect(free.Minus(each.Times(4)).IsNegative()).To(BeTrue())
		Expect(each.WeightedCores()).To(BeNumerically("~", 11))
	})

	It("fits nowhere while any component of the free capacity is negative", func() {
		free := pool.ResourceVector{
			MilliCores:   10_000,
			MemoryMB:     100,
			Accelerators: -1,
		}
		each := pool.ResourceVector{
			MilliCores: 1000,
		}
		Expect(each.FitCount(free, 9)).To(BeZero())
	})
})
