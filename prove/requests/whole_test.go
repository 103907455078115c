package requests_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/prove/cluster"
)

// idempotent returns a call of an organisation that may run more than once.
func idempotent(organisation string, deadline, run time.Duration) cluster.Call {
	return cluster.Call{
		Organisation: organisation,
		Class:        "normal",
		Deadline:     deadline,
		Work:         work(run),
	}
}

var _ = Describe("A caller", func() {
	DescribeTable("gets a complete answer to its own request from another minion if one minion's answer is",
		func(fault string) {
			c := startCluster(clusterSpec{
				gateways: 2,
				minions:  []string{"a", "a", "a"},
			})
			Expect(c.StartMinion("m4", "a", "--fault", fault)).To(Succeed())
			waitForMinions(c, 4)
			Expect(c.PutContract(cluster.Contract("whole", 0, 0, 8, 32))).To(Succeed())
			call := idempotent("whole", 5*time.Second, 10*time.Millisecond)
			call.Work.AnswerBytes = 20_000
			l := startLoad(c, 8, &load{
				call:     call,
				gateways: fixedGateways("g1", "g2"),
			})
			l.waitFor(300)
			Expect(l.stopAndCollect()).To(HaveLen(1), "only whole answers")
			Expect(startsAfter(c, time.Time{}, "m4")).NotTo(BeEmpty(), "the faulty minion was tried")
		},
		Entry("truncated", "truncate"),
		Entry("of another request", "mix-up"),
		Entry("aborted", "fail"),
		Entry("never sent", "silent"),
	)

	It("is answered although all open connections to minions stall for good", func() {
		c := startCluster(clusterSpec{
			gateways: 2,
			minions:  []string{"a", "a", "a"},
		})
		Expect(c.PutContract(cluster.Contract("silent", 0, 0, 8, 24))).To(Succeed())
		l := startLoad(c, 8, &load{
			call:     idempotent("silent", 4*time.Second, 10*time.Millisecond),
			gateways: fixedGateways("g1", "g2"),
		})
		l.waitFor(100)
		for range 3 {
			for _, g := range []string{"g1", "g2"} {
				for _, m := range []string{"m1", "m2", "m3"} {
					c.Network.StallOpenConnections(c.IP(g), m)
				}
			}
			l.waitFor(200)
		}
		Expect(l.stopAndCollect()).To(HaveLen(1), "only whole answers")
	})

	It("is answered although the connections of its first copies stall one after the other", func() {
		c := startCluster(clusterSpec{
			gateways: 1,
			minions:  []string{"a", "a", "a"},
		})
		Expect(c.PutContract(cluster.Contract("again", 0, 0, 8, 24))).To(Succeed())
		call := idempotent("again", 6*time.Second, 500*time.Millisecond)
		call.Work.ID = "w1"
		responses := make(chan cluster.Response, 1)
		go func() {
			r, _ := c.Request(context.Background(), "g1", call)
			responses <- r
		}()
		for copies := 1; copies <= 2; copies++ {
			Eventually(func() (map[string]int, error) {
				if len(responses) > 0 {
					return nil, StopTrying("the request has ended").Attach("reason", (<-responses).Reason())
				}
				return c.RunCounts()
			}).WithTimeout(call.Deadline).WithPolling(10 * time.Millisecond).Should(HaveKeyWithValue("w1", copies))
			for _, m := range []string{"m1", "m2", "m3"} {
				c.Network.StallOpenConnections(c.IP("g1"), m)
			}
		}
		r := <-responses
		Expect(r.Outcome()).To(Equal(api.OutcomeDone))
		Expect(isWhole(r, call)).To(BeTrue())
	})

	It("is answered although all open connections between gateways and controllers stall for good", func() {
		c := startCluster(clusterSpec{
			gateways: 2,
			minions:  []string{"a", "a"},
		})
		Expect(c.PutContract(cluster.Contract("link", 0, 0, 8, 16))).To(Succeed())
		call := idempotent("link", 4*time.Second, 10*time.Millisecond)
		call.Once = true
		l := startLoad(c, 4, &load{
			call:     call,
			gateways: fixedGateways("g1", "g2"),
		})
		l.waitFor(50)
		for range 2 {
			for _, from := range []string{"g1", "g2", "c1", "c2", "c3"} {
				for _, to := range []string{"c1", "c2", "c3"} {
					c.Network.StallOpenConnections(c.IP(from), to)
				}
			}
			l.waitFor(50)
		}
		Expect(l.stopAndCollect()).To(HaveLen(1), "only whole answers")
		l.checkRuns()
	})

	It("is told at once that its request did not run if the gateway cannot reach the controllers", func() {
		c := startCluster(clusterSpec{
			gateways: 2,
			minions:  []string{"a"},
		})
		Expect(c.PutContract(cluster.Contract("cut", 0, 0, 4, 8))).To(Succeed())
		for _, name := range cluster.Names("c", 3) {
			c.Process(name).Freeze()
		}
		call := idempotent("cut", 10*time.Second, 10*time.Millisecond)
		call.Work.ID = "w1"
		Expect(cluster.Eventually(startBound, func() error {
			r, err := c.Request(context.Background(), "g1", call)
			if err == nil && r.Reason() != "view-expired" {
				err = errNotYet
			}
			return err
		})).To(Succeed())
		call.Work.ID = "w2"
		r, err := c.Request(context.Background(), "g1", call)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Outcome()).To(Equal(api.OutcomeNotRun))
		for _, name := range cluster.Names("c", 3) {
			c.Process(name).Thaw()
		}
		runs, err := c.RunCounts()
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).NotTo(HaveKey("w2"))
	})
})
