package requests_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/prove/proxy"
	"github.com/plantainladder/plantainladder/util"
)

var _ = Describe("A planned removal", func() {
	It("of a data centre lets no request start there after 3 s, even at a partitioned and at a frozen gateway", func() {
		c := startCluster(clusterSpec{
			gateways: 4,
			minions:  []string{"a", "a", "b", "b"},
		})
		Expect(c.PutContract(cluster.Contract("drain", 0, 0, 8, 32))).To(Succeed())
		l := startLoad(c, 12, &load{
			call:     idempotent("drain", 3*time.Second, 20*time.Millisecond),
			gateways: fixedGateways("g1", "g2", "g3", "g4"),
		})
		l.waitFor(200)
		// g3 can still reach minions and callers, but no controller.
		for _, name := range cluster.Names("c", 3) {
			c.Network.SetFault(c.IP("g3"), name, proxy.Stall{})
		}
		c.Process("g4").Freeze()
		out, err := c.RunCLIAt(c.Address("g1"), "--wait=false", "data-centres", "out", "a")
		Expect(err).NotTo(HaveOccurred(), out)
		accepted := time.Now()
		l.waitFor(20)
		util.SleepContext(context.Background(), startBound)
		c.Process("g4").Thaw()
		l.waitFor(20)
		util.SleepContext(context.Background(), startBound)
		Expect(startsAfter(c, accepted.Add(startBound), "m1", "m2")).To(BeEmpty())
		Expect(startsAfter(c, accepted.Add(startBound), "m3", "m4")).NotTo(BeEmpty())
		c.Network.Heal()
		out, err = c.RunCLIAt(c.Address("g1"), "data-centres", "in", "a")
		Expect(err).NotTo(HaveOccurred(), out)
		back := time.Now()
		Eventually(func() int { return len(startsAfter(c, back, "m1", "m2")) }).
			WithTimeout(settleLimit).Should(BeNumerically(">", 0))
		l.stopAndCollect()
	})

	It("is reported as in force only when it is in force at every gateway, also a partitioned one", func() {
		c := startCluster(clusterSpec{
			gateways: 3,
			minions:  []string{"a", "b"},
		})
		for _, name := range cluster.Names("c", 3) {
			c.Network.SetFault(c.IP("g3"), name, proxy.Stall{})
		}
		began := time.Now()
		out, err := c.RunCLIAt(c.Address("g1"), "data-centres", "out", "a")
		Expect(err).NotTo(HaveOccurred(), out)
		Expect(out).To(ContainSubstring("in force everywhere"))
		Expect(time.Since(began)).To(BeNumerically("<", startBound+500*time.Millisecond))
		Expect(c.IsReady("g3")).To(BeFalse())
	})

	It("of a minion sends it no new request after 3 s and aborts no running one", func() {
		c := startCluster(clusterSpec{
			gateways: 3,
			minions:  []string{"a", "a", "a"},
		})
		Expect(c.PutContract(cluster.Contract("leave", 0, 0, 8, 24))).To(Succeed())
		l := startLoad(c, 10, &load{
			call:     idempotent("leave", 5*time.Second, 50*time.Millisecond),
			gateways: fixedGateways("g1", "g2", "g3"),
		})
		l.waitFor(100)
		c.Process("m1").Terminate()
		asked := time.Now()
		l.waitFor(100)
		<-c.Process("m1").Done()
		l.waitFor(100)
		Expect(startsAfter(c, asked.Add(startBound), "m1")).To(BeEmpty())
		Expect(l.stopAndCollect()).To(HaveLen(1), "only whole answers")
	})

	It("of each gateway and controller in a rolling restart aborts no request", func() {
		c := startCluster(clusterSpec{
			gateways: 3,
			minions:  []string{"a", "a", "b"},
		})
		Expect(c.PutContract(cluster.Contract("roll", 0, 0, 8, 24))).To(Succeed())
		mixed := idempotent("roll", 6*time.Second, 100*time.Millisecond)
		once := mixed
		once.Once = true
		once.Organisation = "roll-once"
		Expect(c.PutContract(cluster.Contract("roll-once", 0, 0, 8, 24))).To(Succeed())
		balanced := readyGateways(c, "g1", "g2", "g3")
		l1 := startLoad(c, 5, &load{
			call:     mixed,
			gateways: balanced,
		})
		l2 := startLoad(c, 5, &load{
			call:     once,
			gateways: balanced,
		})
		l1.waitFor(30)
		for i := 1; i <= 3; i++ {
			for _, name := range []string{fmt.Sprintf("g%d", i), fmt.Sprintf("c%d", i)} {
				c.Process(name).Terminate()
			}
			for _, name := range []string{fmt.Sprintf("g%d", i), fmt.Sprintf("c%d", i)} {
				Eventually(c.Process(name).Done()).WithTimeout(settleLimit).Should(BeClosed())
				Expect(c.Restart(name)).To(Succeed())
			}
			Expect(cluster.Eventually(settleLimit, func() error {
				if !c.IsReady(fmt.Sprintf("g%d", i)) {
					return errNotYet
				}
				m, err := c.Members(context.Background(), "g1")
				if err == nil && m.ToleratedFailures < 1 {
					err = errNotYet
				}
				return err
			})).To(Succeed())
			l1.waitFor(30)
		}
		Expect(l1.stopAndCollect()).To(HaveLen(1), "only whole answers")
		Expect(l2.stopAndCollect()).To(HaveLen(1), "only whole answers")
		l1.checkRuns()
		l2.checkRuns()
	})
})

var _ = Describe("A guarantee of slots", func() {
	It("is reclaimed at once while another organisation uses every slot", func() {
		c := startCluster(clusterSpec{
			gateways: 3,
			minions:  []string{"a", "a"},
		})
		Expect(c.PutContract(cluster.Contract("flood", 0, 0, 0, 16))).To(Succeed())
		Expect(c.PutContract(cluster.Contract("guest", 0, 0, 8, 16))).To(Succeed())
		// Each runs much longer than the deadline of the urgent requests.
		batch := idempotent("flood", 30*time.Second, 6*time.Second)
		batch.Class = "batch"
		l := startLoad(c, 48, &load{
			call:     batch,
			gateways: fixedGateways("g1", "g2", "g3"),
		})
		l.waitFor(8)
		urgent := idempotent("guest", 1700*time.Millisecond, 50*time.Millisecond)
		urgent.Class = "urgent"
		u := startLoad(c, 4, &load{
			call:     urgent,
			gateways: fixedGateways("g1", "g2", "g3"),
		})
		u.waitFor(100)
		outcomes := u.stopAndCollect()
		Expect(outcomes).To(HaveLen(1), "every urgent request inside the guarantee is answered in time")
		Expect(outcomes).To(HaveKey(api.OutcomeDone))
		l.stopAndCollect()
	})
})
