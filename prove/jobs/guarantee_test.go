package jobs_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/util"
)

var _ = Describe("A guaranteed shape", func() {
	It("is reclaimed for urgent work within 1.7 s while another organisation fills every accelerator", func() {
		c := startFleet("a", "a", "b", "b")
		Expect(c.PutContract(cluster.Contract("owner", 2, 8, 0, 1))).To(Succeed())
		Expect(c.PutContract(cluster.Contract("borrower", 0, 0, 0, 1))).To(Succeed())
		for i := range 16 {
			submit(c, checkpointable(cluster.Job(fmt.Sprintf("fill-%d", i), "borrower", "batch", 1, 2, time.Minute)))
		}
		for i := range 16 {
			waitPhase(c, fmt.Sprintf("fill-%d", i), "running")
		}
		Eventually(func() int { return startCountByPrefix("fill", c) }).WithTimeout(startBound).Should(Equal(16))
		for i := range 2 {
			id := fmt.Sprintf("urgent-%d", i)
			began := time.Now()
			submit(c, cluster.Job(id, "owner", "urgent", 1, 8, 3*time.Second))
			Expect(cluster.Eventually(settleLimit, func() error {
				if len(startsOf(c, id)) == 0 {
					return fmt.Errorf("%s has not started", id)
				}
				return nil
			})).To(Succeed())
			took := startsOf(c, id)[0].At.Sub(began)
			AddReportEntry("urgent start after", took.String())
			Expect(took).To(BeNumerically("<", urgentStarts))
		}
		waitDone(c, "urgent-0")
	})

	It("is not borrowed by jobs that can be neither checkpointed nor stopped", func() {
		c := startFleet("a", "a")
		Expect(c.PutContract(cluster.Contract("owner", 1, 8, 0, 1))).To(Succeed())
		Expect(c.PutContract(cluster.Contract("guest", 0, 0, 0, 1))).To(Succeed())
		for i := range 3 {
			submit(c, cluster.Job(fmt.Sprintf("rigid-%d", i), "guest", "normal", 1, 4, 20*time.Second))
		}
		waitPhase(c, "rigid-0", "running")
		waitPhase(c, "rigid-1", "running")
		Consistently(func() string {
			j, err := c.GetJob(context.Background(), "g1", "rigid-2")
			Expect(err).NotTo(HaveOccurred())
			return j.Phase
		}).WithTimeout(startBound).Should(Equal("queued"))
		submit(c, cluster.Job("mine", "owner", "urgent", 1, 8, 200*time.Millisecond))
		waitDone(c, "mine")
	})
})

func startCountByPrefix(prefix string, c *cluster.Cluster) int {
	n := 0
	for _, l := range recordLines(c, "start") {
		if strings.HasPrefix(l.Words[1], prefix) {
			n++
		}
	}
	return n
}

var _ = Describe("A data centre", func() {
	It("out of service starts no task after 3 s, its checkpointable jobs move, and it is used again when back in service", func() {
		c := startFleet("a", "a", "b", "b")
		Expect(c.PutContract(cluster.Contract("drain", 0, 0, 0, 1))).To(Succeed())
		stop := make(chan struct{})
		submitted := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			n := 0
			for ; ; n++ {
				select {
				case <-stop:
					submitted <- n
					return
				case <-time.After(60 * time.Millisecond):
				}
				submit(c, checkpointable(cluster.Job(fmt.Sprintf("d-%d", n), "drain", "batch", 1, 2, 700*time.Millisecond)))
			}
		}()
		Eventually(func() int { return startCountByPrefix("d-", c) }).WithTimeout(settleLimit).Should(BeNumerically(">", 20))
		frozen, err := c.Leader(context.Background(), "g1")
		Expect(err).NotTo(HaveOccurred())
		// The leader decides the starts; it is frozen right after the edit and resumed later.
		out, err := c.RunCLI("--wait=false", "data-centres", "out", "a")
		Expect(err).NotTo(HaveOccurred(), out)
		accepted := time.Now()
		c.Process(frozen).Freeze()
		util.SleepContext(context.Background(), 2*startBound)
		c.Process(frozen).Thaw()
		util.SleepContext(context.Background(), startBound)
		Expect(startCountAfter(c, accepted.Add(startBound), "w1", "w2")).To(BeZero())
		Expect(startCountAfter(c, accepted.Add(startBound), "w3", "w4")).To(BeNumerically(">", 0))
		out, err = c.RunCLI("data-centres", "in", "a")
		Expect(err).NotTo(HaveOccurred(), out)
		back := time.Now()
		Eventually(func() int { return startCountAfter(c, back, "w1", "w2") }).WithTimeout(settleLimit).Should(BeNumerically(">", 0))
		close(stop)
		for i := range <-submitted {
			waitDone(c, fmt.Sprintf("d-%d", i))
		}
	})
})

// startCountAfter returns the number of task starts on the given workers after a time.
func startCountAfter(c *cluster.Cluster, t time.Time, workers ...string) int {
	n := 0
	for _, l := range recordLines(c, "start") {
		for _, w := range workers {
			if l.Words[4] == w && l.At.After(t) {
				n++
			}
		}
	}
	return n
}

var _ = Describe("A worker", func() {
	It("is quarantined if all its tasks fail, and its jobs end on other workers", func() {
		c := startFleet("a")
		Expect(c.StartWorkers("w2", "a", 1, "--fail-all")).To(Succeed())
		waitForWorkers(c, 2)
		Expect(c.PutContract(cluster.Contract("bad", 0, 0, 0, 1))).To(Succeed())
		for i := range 8 {
			submit(c, idempotent(cluster.Job(fmt.Sprintf("b-%d", i), "bad", "normal", 1, 4, 300*time.Millisecond)))
		}
		for i := range 8 {
			waitDone(c, fmt.Sprintf("b-%d", i))
		}
		list, _, err := cluster.CallAsOperator[api.Workers](context.Background(), c, http.MethodGet, "g1", "/v1/workers", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		for _, w := range list.Workers {
			Expect(w.Quarantined).To(Equal(w.Name == "w2"), w.Name)
		}
	})
})

var _ = Describe("Cancellation", func() {
	It("of 200 jobs at once ends all of them and frees the workers for other jobs", func() {
		c := startFleet("a", "a")
		Expect(c.PutContract(cluster.Contract("wave", 0, 0, 0, 1))).To(Succeed())
		const jobs = 200
		for i := range jobs {
			submit(c, idempotent(cluster.Job(fmt.Sprintf("c-%d", i), "wave", "batch", 1, 1, time.Minute)))
		}
		submit(c, idempotent(cluster.Job("last", "wave", "batch", 2, 8, 200*time.Millisecond)))
		for i := range jobs {
			_, r, err := cluster.CallAsOperator[api.Accepted](context.Background(), c, http.MethodDelete, "g1",
				fmt.Sprintf("/v1/operator/jobs/c-%d", i), nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Status).To(Equal(http.StatusOK))
		}
		waitDone(c, "last")
		for i := range jobs {
			Expect(waitPhase(c, fmt.Sprintf("c-%d", i), "ended").Result).To(Equal("cancelled"))
		}
	})
})
