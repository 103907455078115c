package requests_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/prove/cluster"
)

var _ = Describe("A request that is not idempotent", func() {
	It("runs at most once while gateways, minions and the leader are killed under load", func() {
		c := startCluster(clusterSpec{
			gateways: 3,
			minions:  []string{"a", "a", "b", "b"},
		})
		Expect(c.PutContract(cluster.Contract("once", 0, 0, 8, 32))).To(Succeed())
		l := startLoad(c, 12, &load{
			call: cluster.Call{
				Organisation: "once",
				Class:        "normal",
				Deadline:     4 * time.Second,
				Once:         true,
				Work:         work(30 * time.Millisecond),
			},
			gateways: fixedGateways("g1", "g2", "g3"),
			resend:   true,
		})
		l.waitFor(50)
		for _, name := range []string{"g1", "m1", "g2", "m3"} {
			c.Process(name).Kill()
			l.waitFor(30)
			Expect(c.Restart(name)).To(Succeed())
			l.waitFor(30)
		}
		killed, err := c.Leader(context.Background(), "g1")
		Expect(err).NotTo(HaveOccurred())
		c.Process(killed).Kill()
		l.waitFor(50)
		outcomes := l.stopAndCollect()
		Expect(outcomes).NotTo(HaveKey(HavePrefix("wrong-answer")))
		l.checkRuns()
	})

	It("has an unknown outcome, is not run again and is listed if its answer is lost after the run", func() {
		c := startCluster(clusterSpec{
			gateways:   2,
			minions:    []string{"a", "a"},
			minionArgs: []string{"--fault", "lose-answer"},
		})
		Expect(c.PutContract(cluster.Contract("lost", 0, 0, 4, 8))).To(Succeed())
		call := cluster.Call{
			Organisation: "lost",
			Class:        "normal",
			Key:          "k1",
			Deadline:     3 * time.Second,
			Once:         true,
			Work:         work(10 * time.Millisecond),
		}
		call.Work.ID = "w1"
		for _, g := range []string{"g1", "g2", "g1"} {
			r, err := c.Request(context.Background(), g, call)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Outcome()).To(Equal(api.OutcomeUnknown))
		}
		runs, err := c.RunCounts()
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).To(HaveKeyWithValue("w1", 1))
		list, _, err := cluster.CallAsOperator[api.Claims](context.Background(), c, http.MethodGet, "g1", "/v1/claims", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Claims).To(HaveLen(1))
		out, err := c.RunCLI("claims", "settle", "lost", "k1", "found in the minion's records")
		Expect(err).NotTo(HaveOccurred(), out)
		r, err := c.Request(context.Background(), "g2", call)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Reason()).To(Equal("settled"))
	})

	It("gets the recorded answer if it is resent through another gateway, and is refused with another body", func() {
		c := startCluster(clusterSpec{
			gateways: 2,
			minions:  []string{"a"},
		})
		Expect(c.PutContract(cluster.Contract("again", 0, 0, 4, 8))).To(Succeed())
		call := cluster.Call{
			Organisation: "again",
			Class:        "urgent",
			Key:          "k1",
			Deadline:     3 * time.Second,
			Once:         true,
			Work:         work(10 * time.Millisecond),
		}
		call.Work.ID = "w1"
		first, err := c.Request(context.Background(), "g1", call)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Outcome()).To(Equal(api.OutcomeDone))
		second, err := c.Request(context.Background(), "g2", call)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Body).To(Equal(first.Body))
		call.Work.ID = "another"
		third, err := c.Request(context.Background(), "g2", call)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Status).To(Equal(http.StatusConflict))
		runs, err := c.RunCounts()
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).To(Equal(map[string]int{
			"w1": 1,
		}))
	})
})
