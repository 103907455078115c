package control_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/prove/proxy"
)

var _ = Describe("Control state", func() {
	It("keeps every accepted edit when the leader and then each controller is killed", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    3,
		})
		e, stop := startEdits(c, "g1", "g2", "g3")
		waitForEdits(e, 50)
		for range 3 {
			name := leader(c, "g1")
			c.Process(name).Kill()
			waitForEdits(e, 50)
			Expect(c.Restart(name)).To(Succeed())
			waitForEdits(e, 20)
		}
		for _, name := range cluster.Names("c", 3) {
			c.Process(name).Kill()
			waitForEdits(e, 20)
			Expect(c.Restart(name)).To(Succeed())
			Expect(cluster.Eventually(settleLimit, func() error { return checkToleratesFailure(c) })).To(Succeed())
		}
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
		Expect(time.Duration(e.LongestGap.Load())).To(BeNumerically("<", writesResume))
		AddReportEntry("longest gap between accepted edits", time.Duration(e.LongestGap.Load()).String())
	})

	It("does not count the vote of a member that lost its disk, and survives a second loss after the replacement", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    2,
		})
		e, stop := startEdits(c, "g1", "g2")
		waitForEdits(e, 50)
		lost := "c2"
		c.Process(lost).Kill()
		Expect(os.RemoveAll(c.DataDir(lost))).To(Succeed())
		Expect(c.Restart(lost)).To(Succeed())
		waitForEdits(e, 20)
		old := memberAt(c, "g1", c.Address(lost))
		out, err := c.RunCLI("members", "replace", old.ID, c.Address(lost))
		Expect(err).NotTo(HaveOccurred(), out)
		Expect(out).To(ContainSubstring("Can lose 1 more."))
		c.Process(leader(c, "g1")).Kill()
		waitForEdits(e, 50)
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
	})

	It("is reachable for a gateway that knew only a member which has since been lost", func() {
		c := newCluster(cluster.Config{
			Controllers: 3,
			Gateways:    2,
		})
		for _, name := range cluster.Names("c", 3) {
			Expect(c.StartController(name)).To(Succeed())
		}
		for _, name := range cluster.Names("g", 2) {
			Expect(c.StartGateway(name)).To(Succeed())
		}
		ready := func() bool { return c.IsReady("g1") }
		Expect(cluster.Eventually(settleLimit, func() error {
			_, err := c.RunCLI("members", "form", c.Address("c1"))
			return err
		})).To(Succeed())
		Eventually(ready).WithTimeout(settleLimit).Should(BeTrue())
		c.Isolate("g1", proxy.Stall{})
		for _, name := range []string{"c2", "c3"} {
			out, err := c.RunCLIAt(c.Address("g2"), "members", "add", c.Address(name))
			Expect(err).NotTo(HaveOccurred(), out)
		}
		c.Process("c1").Kill()
		c.Network.Heal()
		Expect(leader(c, "g1")).NotTo(Equal("c1"))
		Eventually(ready).WithTimeout(settleLimit).Should(BeTrue())
	})

	It("has no leader after a majority of the disks is lost", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    1,
		})
		Expect(c.PutContract(cluster.Contract("kept", 0, 0, 0, 5))).To(Succeed())
		for _, name := range []string{"c2", "c3"} {
			c.Process(name).Kill()
			Expect(os.RemoveAll(c.DataDir(name))).To(Succeed())
			Expect(c.Restart(name)).To(Succeed())
		}
		c.Process("c1").Kill()
		Expect(c.Restart("c1")).To(Succeed())
		Consistently(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := c.Leader(ctx, "g1")
			return err
		}).WithTimeout(5 * time.Second).Should(HaveOccurred())
	})

	It("accepts edits during a long partition of the leader, and no edit is reverted afterwards", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    3,
		})
		e, stop := startEdits(c, "g2", "g3")
		waitForEdits(e, 50)
		oldLeader := leader(c, "g2")
		// The gateway g1 stays with the old leader on the minority side.
		for _, name := range []string{"c1", "c2", "c3", "g2", "g3"} {
			for _, inside := range []string{oldLeader, "g1"} {
				if name != oldLeader {
					c.Network.SetFault(c.IP(name), inside, proxy.Stall{})
					c.Network.SetFault(c.IP(inside), name, proxy.Stall{})
				}
			}
		}
		began := time.Now()
		waitForEdits(e, 1)
		Expect(time.Since(began)).To(BeNumerically("<", writesResume))
		Expect(cluster.Eventually(startBound, func() error {
			if c.IsReady("g1") {
				return errors.New("g1 is still ready although its view has expired")
			}
			return nil
		})).To(Succeed())
		Consistently(func() bool { return c.IsReady("g1") }).
			WithTimeout(15 * time.Second).WithPolling(200 * time.Millisecond).Should(BeFalse())
		waitForEdits(e, 50)
		c.Network.Heal()
		Expect(cluster.Eventually(settleLimit, func() error {
			if !c.IsReady("g1") {
				return errors.New("g1 is not ready again")
			}
			return nil
		})).To(Succeed())
		waitForEdits(e, 20)
		Expect(stop()).To(Succeed())
		e.Gateways = []string{"g1", "g2", "g3"}
		Expect(e.Check(settleLimit)).To(Succeed())
	})

	It("accepts edits while the leader is frozen beyond its lease, and no edit is reverted when it resumes", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    3,
		})
		e, stop := startEdits(c, "g1", "g2", "g3")
		waitForEdits(e, 50)
		for range 3 {
			frozen := leader(c, "g1")
			c.Process(frozen).Freeze()
			waitForEdits(e, 50)
			c.Process(frozen).Thaw()
			waitForEdits(e, 50)
		}
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
	})

	It("accepts exactly one of several concurrent edits of the same revision", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    3,
		})
		const rounds, racers = 10, 8
		for round := range rounds {
			var wg sync.WaitGroup
			statuses := make(chan int, racers)
			for i := range racers {
				wg.Go(func() {
					k := cluster.Contract("raced", 0, 0, 0, 100+i).WithRevision(uint64(round))
					_, r, err := cluster.CallAsOperator[api.Accepted](context.Background(), c, http.MethodPut,
						fmt.Sprintf("g%d", 1+i%3), "/v1/contracts/raced", k, nil)
					if err == nil {
						statuses <- r.Status
					}
				})
			}
			wg.Wait()
			close(statuses)
			seen := map[int]int{}
			for s := range statuses {
				seen[s]++
			}
			Expect(seen).To(Equal(map[int]int{
				http.StatusOK:       1,
				http.StatusConflict: racers - 1,
			}))
		}
	})

	It("returns the first outcome to a resent command, also after a leader change and a restart of all controllers", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    2,
		})
		edit := func(gateway string) api.Accepted {
			var a api.Accepted
			Expect(cluster.Eventually(settleLimit, func() error {
				var r cluster.Response
				var err error
				a, r, err = cluster.CallAsOperator[api.Accepted](context.Background(), c, http.MethodPut, gateway,
					"/v1/contracts/resent", cluster.Contract("resent", 0, 0, 0, 7), map[string]string{
						api.HeaderCommandID: "the-one",
					})
				if err == nil && r.Status != http.StatusOK {
					err = fmt.Errorf("status %d: %s", r.Status, r.Body)
				}
				return err
			})).To(Succeed())
			return a
		}
		first := edit("g1")
		Expect(edit("g2")).To(Equal(first))
		killed := leader(c, "g1")
		c.Process(killed).Kill()
		Expect(edit("g2")).To(Equal(first))
		Expect(c.Restart(killed)).To(Succeed())
		for _, name := range cluster.Names("c", 3) {
			c.Process(name).Kill()
		}
		for _, name := range cluster.Names("c", 3) {
			Expect(c.Restart(name)).To(Succeed())
		}
		Expect(edit("g1")).To(Equal(first))
		// The view of g2 may have expired while there was no leader. Then g2 refuses
		// the call until its next poll.
		var k contract.Contract
		Expect(cluster.Eventually(startBound, func() error {
			got, r, err := cluster.CallAsOperator[contract.Contract](context.Background(), c, http.MethodGet, "g2", "/v1/contracts/resent", nil, nil)
			if err == nil && r.Status != http.StatusOK {
				err = fmt.Errorf("status %d", r.Status)
			}
			k = got
			return err
		})).To(Succeed())
		Expect(k.Revision).To(Equal(uint64(1)))
	})

	It("restarts in time after 2,100 changes, and from a snapshot where the log was truncated", func() {
		c := startCluster(cluster.Config{
			Controllers:   3,
			Gateways:      2,
			SnapshotEvery: 400,
		})
		e, stop := startEdits(c, "g1", "g2")
		waitForEdits(e, 10)
		down := "c3"
		if leader(c, "g1") == down {
			down = "c2"
		}
		c.Process(down).Kill()
		waitForEdits(e, 2100)
		Expect(c.Restart(down)).To(Succeed())
		Expect(cluster.Eventually(settleLimit, func() error { return checkToleratesFailure(c) })).To(Succeed())
		Expect(cluster.Eventually(settleLimit, func() error { return checkCaughtUp(c, "g1", down) })).To(Succeed())
		Expect(stop()).To(Succeed())
		for _, name := range cluster.Names("c", 3) {
			c.Process(name).Kill()
		}
		began := time.Now()
		for _, name := range cluster.Names("c", 3) {
			Expect(c.Restart(name)).To(Succeed())
		}
		leader(c, "g1")
		took := time.Since(began)
		AddReportEntry("restart with 2,100 changes", took.String())
		Expect(took).To(BeNumerically("<", restartBound))
		Expect(e.Check(settleLimit)).To(Succeed())
		snapshot := filepath.Join(c.DataDir(down), "snapshot")
		Expect(snapshot).To(BeAnExistingFile())
		files, err := filepath.Glob(filepath.Join(c.DataDir(down), "*.wal"))
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(1))
	})
})

func memberAt(c *cluster.Cluster, gateway, address string) api.Member {
	m, err := c.Members(context.Background(), gateway)
	Expect(err).NotTo(HaveOccurred())
	for _, k := range m.Members {
		if k.Address == address {
			return k
		}
	}
	Fail("no member at " + address)
	return api.Member{}
}

func checkToleratesFailure(c *cluster.Cluster) error {
	m, err := c.Members(context.Background(), "g1")
	if err == nil && m.ToleratedFailures < 1 {
		err = fmt.Errorf("the group tolerates %d failures", m.ToleratedFailures)
	}
	return err
}

// checkCaughtUp returns an error if a controller lacks more committed entries than a
// stream of edits adds meanwhile.
func checkCaughtUp(c *cluster.Cluster, gateway, name string) error {
	const maxLag = 20
	m, err := c.Members(context.Background(), gateway)
	if err != nil {
		return err
	}
	for _, k := range m.Members {
		if k.Address == c.Address(name) && k.Match+maxLag < m.Commit {
			return fmt.Errorf("%s holds %d of %d", name, k.Match, m.Commit)
		}
	}
	return nil
}
