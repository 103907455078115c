// Package control_test tests with real processes, each behind a fault-injecting
// proxy, that the replicated state survives crashes, lost and damaged disks,
// partitions and frozen leaders.
package control_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/prove/history"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

var _ = AfterSuite(cluster.RemoveBuild)

// Bounds promised in docs/PROOFS.md, and settleLimit, the longest wait for a
// stable state.
const (
	startBound   = 3 * time.Second
	writesResume = 2 * time.Second
	restartBound = 2 * time.Second
	settleLimit  = 20 * time.Second
)

func startCluster(cfg cluster.Config) *cluster.Cluster {
	c := newCluster(cfg)
	Expect(c.Start()).To(Succeed())
	return c
}

// newCluster returns a cluster without running processes.
func newCluster(cfg cluster.Config) *cluster.Cluster {
	cfg.Folder = GinkgoT().TempDir()
	c, err := cluster.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(c.Logs())
		}
		c.Close()
	})
	return c
}

// startEdits edits a contract and watches it at every gateway until stop is called,
// which returns the first violation that was found.
func startEdits(c *cluster.Cluster, gateways ...string) (e *history.Editor, stop func() error) {
	e = &history.Editor{
		Cluster:      c,
		Organisation: "stream",
		Gateways:     gateways,
	}
	ctx, cancel := context.WithCancel(context.Background())
	faults := make(chan error, len(gateways)+1)
	go func() { faults <- e.Run(ctx) }()
	for _, g := range gateways {
		go func() { faults <- e.Watch(ctx, g) }()
	}
	return e, func() error {
		cancel()
		var first error
		for range len(gateways) + 1 {
			if err := <-faults; err != nil && first == nil {
				first = err
			}
		}
		return first
	}
}

func leader(c *cluster.Cluster, gateway string) string {
	var name string
	Expect(cluster.Eventually(settleLimit, func() (err error) {
		name, err = c.Leader(context.Background(), gateway)
		return err
	})).To(Succeed())
	return name
}

// waitForEdits waits until n more edits have been accepted.
func waitForEdits(e *history.Editor, n int64) {
	want := e.Acked.Load() + n
	Eventually(e.Acked.Load).WithTimeout(settleLimit).WithPolling(10 * time.Millisecond).
		Should(BeNumerically(">=", want))
}
