package admission_test

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/contract"
)

// contested returns a gateway with minions of 8 slots each, which are guaranteed to all
// organisations but the first. A request of the first one that may not be revoked needs the
// guarantees of all others.
func contested(minions, organisations int) *gateway {
	slots := map[string]int{}
	for i := range minions {
		slots[fmt.Sprint("m", i)] = 8
	}
	var contracts []plantainladder.Versioned[contract.Contract]
	for i := range organisations {
		contracts = append(contracts, contractOf(fmt.Sprintf("o%02d", i), min(i, 1)*4*minions/organisations))
	}
	return newGateway(pollReply(1, slots, contracts...))
}

// stepContested starts and ends a request that is beyond the guarantee of its
// organisation.
func (g *gateway) stepContested(token uint64) {
	g.effects = nil
	g.step(0, newRequest(token, "o00", admission.Normal{}, false))
	g.step(0, admission.RequestFinished{
		Token:  token,
		Result: admission.Answered{},
	})
}

// An event loop that looks at all minions for each organisation is held up by each
// request on a large site.
var _ = Describe("A request that contests the guarantees of others", func() {
	It("lists all minions as often with many organisations as with few", func() {
		allocated := func(organisations int) uint64 {
			g := contested(400, organisations)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for token := range uint64(20) {
				g.stepContested(token + 1)
				Expect(startedTokens(g.effects)).To(Equal([]uint64{token + 1}))
			}
			runtime.ReadMemStats(&after)
			return after.TotalAlloc - before.TotalAlloc
		}
		Expect(allocated(50)).To(BeNumerically("<", 2*allocated(2)))
	})
})

// BenchmarkContestedRequest has the minions and organisations of the target.
func BenchmarkContestedRequest(b *testing.B) {
	g := contested(2100, 55)
	token := uint64(0)
	for b.Loop() {
		token++
		g.stepContested(token)
	}
}
