package requests_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/prove/cluster"
)

// Today's sizes, as in docs/CAPACITY.md.
const (
	todayGateways    = 9
	todayMinions     = 50
	todaySlots       = 8
	todayDataCentres = 4
)

var _ = Describe("A cluster of today's full size", func() {
	It("never gives a minion more requests or connections than it announced while gateways and the leader are killed", func() {
		centres := make([]string, todayMinions)
		for i := range centres {
			centres[i] = cluster.Names("dc", todayDataCentres)[i%todayDataCentres]
		}
		c := startCluster(clusterSpec{
			gateways: todayGateways,
			minions:  centres,
		})
		slots := todayMinions * todaySlots
		for _, organisation := range []string{"twice", "once"} {
			Expect(c.PutContract(cluster.Contract(organisation, 0, 0, slots/2, slots))).To(Succeed())
		}
		names := cluster.Names("g", todayGateways)
		start := func(organisation string) *load {
			// More callers than slots, so that every slot is in use.
			return startLoad(c, slots*5/8, &load{
				call: cluster.Call{
					Organisation: organisation,
					Class:        "normal",
					Deadline:     4 * time.Second,
					Once:         organisation == "once",
					Work:         work(400 * time.Millisecond),
				},
				gateways: fixedGateways(names...),
				resend:   true,
			})
		}
		idempotent, once := start("twice"), start("once")
		idempotent.waitFor(slots)
		for _, name := range names[:2] {
			c.Process(name).Kill()
			idempotent.waitFor(slots)
			Expect(c.Restart(name)).To(Succeed())
		}
		killed, err := c.Leader(context.Background(), names[0])
		Expect(err).NotTo(HaveOccurred())
		c.Process(killed).Kill()
		idempotent.waitFor(2 * slots)
		Expect(idempotent.stopAndCollect()).NotTo(HaveKey(HavePrefix("wrong-answer")))
		Expect(once.stopAndCollect()).NotTo(HaveKey(HavePrefix("wrong-answer")))
		once.checkRuns()
		over, ran, err := c.CapacityViolations()
		Expect(err).NotTo(HaveOccurred())
		Expect(ran).To(BeNumerically(">", 4*slots))
		Expect(over).To(BeEmpty())
	})
})
