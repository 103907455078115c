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

// The random schedules are the same in each run.
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
	It("counts from the moment of asking and never ends earlier than before", func() {
		l := lease.Lease{}.WithExtension(epoch, time.Second)
		Expect(l.IsValid(epoch.Add(999 * time.Millisecond))).To(BeTrue())
		Expect(l.IsValid(epoch.Add(time.Second))).To(BeFalse())
		Expect(l.WithExtension(epoch.Add(-time.Second), time.Second)).To(Equal(l))
		Expect(l.Remaining(epoch.Add(2 * time.Second))).To(BeZero())
	})
})

// holder is a gateway of the model: what it may use until its lease ends.
type holder struct {
	seen  uint64
	held  map[lease.Resource]int
	inUse int
	until time.Time
}

var _ = Describe("Shares", func() {
	const slots = 8
	res := lease.MinionSlots("m1")
	capacity := map[lease.Resource]int{
		res: slots,
	}

	It("splits what nobody wants evenly and gives the rest to those who want more", func() {
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

	It("never lets gateways use more than there is, whatever is lost", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := epoch
			term := uint64(1)
			s := lease.NewAllocations(now, term)
			holders := map[string]*holder{}
			for range rapid.IntRange(10, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "ms")) * time.Millisecond)
				if rapid.IntRange(0, 30).Draw(t, "new leader") == 0 {
					term++
					s = lease.NewAllocations(now, term)
				}
				name := rapid.SampledFrom([]string{"g1", "g2", "g3"}).Draw(t, "gateway")
				h, ok := holders[name]
				if !ok {
					h = &holder{
						held: map[lease.Resource]int{},
					}
					holders[name] = h
				}
				h.use(t, now, res)
				sent := now
				ask := lease.RenewalRequest{
					Gateway:      name,
					AppliedGrant: h.seen,
					Held: map[lease.Resource]int{
						res: max(h.held[res], h.inUse),
					},
					Demand: map[lease.Resource]int{
						res: rapid.IntRange(0, 12).Draw(t, "wanted"),
					},
				}
				if now.Before(h.until) {
					ask.Granted = h.held
				} else {
					// Without a lease a gateway holds only what is still running.
					ask.Held[res] = h.inUse
				}
				var g lease.Grant
				s, g = s.WithRequest(now, ask, capacity)
				if rapid.Bool().Draw(t, "arrives") {
					h.seen, h.held, h.until = g.Sequence, g.Units, sent.Add(lease.View)
				}
				checkTotal(t, now, holders, res, slots)
			}
		})
	})
})

// use draws how much of its share a gateway has in use; it may begin more only
// with a live lease.
func (h *holder) use(t *rapid.T, now time.Time, res lease.Resource) {
	most := h.inUse
	if now.Before(h.until) {
		most = max(most, h.held[res])
	}
	h.inUse = rapid.IntRange(0, most).Draw(t, "in use")
}

// checkTotal adds up what all gateways may begin to use now. What runs beyond
// a lapsed lease is not counted: the minion itself refuses what is over.
func checkTotal(t *rapid.T, now time.Time, holders map[string]*holder, res lease.Resource, slots int) {
	sum := 0
	for _, h := range holders {
		if now.Before(h.until) {
			sum += h.held[res]
		}
	}
	if sum > slots {
		t.Fatalf("gateways may use %d of %d", sum, slots)
	}
}
