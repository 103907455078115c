package lease_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainladder/plantainladder/lease"
)

// A fixed seed makes the random schedules the same in each run.
const (
	rapidSeed   = "7759673971481096069"
	rapidChecks = "2000"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	for name, value := range map[string]string{
		"rapid.seed":       rapidSeed,
		"rapid.checks":     rapidChecks,
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "lease")
}

var epoch = time.Unix(1_700_000_000, 0)

var _ = Describe("Lease", func() {
	It("counts from the time of the request and never expires earlier after an extension", func() {
		l := lease.Lease{}.WithExtension(epoch, time.Second)
		Expect(l.IsValid(epoch.Add(999 * time.Millisecond))).To(BeTrue())
		Expect(l.IsValid(epoch.Add(time.Second))).To(BeFalse())
		Expect(l.WithExtension(epoch.Add(-time.Second), time.Second)).To(Equal(l))
		Expect(l.Remaining(epoch.Add(2 * time.Second))).To(BeZero())
	})
})

// gatewayModel models a gateway: its last grant, what it uses, and the end of its
// lease.
type gatewayModel struct {
	appliedGrant uint64
	held         map[lease.Resource]int
	inUse        int
	leaseExpiry  time.Time
}

var _ = Describe("Allocations", func() {
	const slots = 8
	res := lease.MinionSlots("m1")
	capacity := map[lease.Resource]int{
		res: slots,
	}

	It("gives a gateway with more demand the units that others do not need", func() {
		s := lease.NewAllocations(epoch, 1)
		now := epoch.Add(time.Minute)
		var g lease.Grant
		for round := range 6 {
			for i := range 2 {
				s, g = s.WithRequest(now.Add(time.Duration(round)*lease.PollInterval), lease.RenewalRequest{
					Gateway:      fmt.Sprint("g", i),
					AppliedGrant: 1 << 60,
					Held: map[lease.Resource]int{
						res: 1,
					},
					Demand: map[lease.Resource]int{
						res: 1 + 9*i,
					},
				}, capacity)
			}
		}
		Expect(g.Units[res]).To(Equal(slots - 1))
	})

	It("never grants more than the capacity, whichever replies are lost", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := epoch
			term := uint64(1)
			s := lease.NewAllocations(now, term)
			gateways := map[string]*gatewayModel{}
			for range rapid.IntRange(10, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "ms")) * time.Millisecond)
				if rapid.IntRange(0, 30).Draw(t, "new leader") == 0 {
					term++
					s = lease.NewAllocations(now, term)
				}
				name := rapid.SampledFrom([]string{"g1", "g2", "g3"}).Draw(t, "gateway")
				h, ok := gateways[name]
				if !ok {
					h = &gatewayModel{
						held: map[lease.Resource]int{},
					}
					gateways[name] = h
				}
				h.use(t, now, res)
				sent := now
				ask := lease.RenewalRequest{
					Gateway:      name,
					AppliedGrant: h.appliedGrant,
					Held: map[lease.Resource]int{
						res: max(h.held[res], h.inUse),
					},
					Demand: map[lease.Resource]int{
						res: rapid.IntRange(0, 12).Draw(t, "wanted"),
					},
				}
				if now.Before(h.leaseExpiry) {
					ask.Granted = h.held
				} else {
					// Without a valid lease a gateway holds only the units in use.
					ask.Held[res] = h.inUse
				}
				var g lease.Grant
				s, g = s.WithRequest(now, ask, capacity)
				if rapid.Bool().Draw(t, "arrives") {
					h.appliedGrant, h.held, h.leaseExpiry = g.Sequence, g.Units, sent.Add(lease.ViewDuration)
				}
				checkTotal(t, now, gateways, res, slots)
			}
		})
	})
})

// use draws how many units the gateway has in use. It may start to use more only
// under a valid lease.
func (h *gatewayModel) use(t *rapid.T, now time.Time, res lease.Resource) {
	most := h.inUse
	if now.Before(h.leaseExpiry) {
		most = max(most, h.held[res])
	}
	h.inUse = rapid.IntRange(0, most).Draw(t, "in use")
}

// checkTotal fails if gateways with valid leases may use more units than there
// are slots. Units still in use after a lease has expired are not counted: the
// minion itself refuses requests beyond its slots.
func checkTotal(t *rapid.T, now time.Time, gateways map[string]*gatewayModel, res lease.Resource, slots int) {
	sum := 0
	for _, h := range gateways {
		if now.Before(h.leaseExpiry) {
			sum += h.held[res]
		}
	}
	if sum > slots {
		t.Fatalf("gateways may use %d of %d slots", sum, slots)
	}
}
