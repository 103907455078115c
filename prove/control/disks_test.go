package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/prove/history"
)

const (
	// fullSize is the size in bytes of the largest file on a full disk. The logs of
	// the controllers are longer from fullAfter edits on.
	fullSize  = 32 << 10
	fullAfter = 1000
	fullFor   = 2500 * time.Millisecond
	// answersAfter is the longest wait for an answer once all disks have room.
	answersAfter = 5 * time.Second
)

// fillDisk makes a controller's disk full, runs meanwhile and frees the disk.
func fillDisk(c *cluster.Cluster, name string, meanwhile func()) {
	Expect(c.Process(name).LimitFileSize(fullSize)).To(Succeed())
	startedAt := time.Now()
	meanwhile()
	time.Sleep(time.Until(startedAt.Add(fullFor)))
	Expect(c.Process(name).LimitFileSize(cluster.NoLimit)).To(Succeed())
}

// replaceWhileFull replaces a controller that was killed, while the disk of another one
// is full: three controllers have no majority until it has room.
func replaceWhileFull(c *cluster.Cluster, e *history.Editor, killed, full string) {
	freed := make(chan struct{})
	defer func() { <-freed }()
	go func() {
		defer GinkgoRecover()
		defer close(freed)
		fillDisk(c, full, func() {})
	}()
	replaceController(c, e, killed)
}

// checkAllCount checks that edits are accepted, without any controller in turn too, and
// that none is lost.
func checkAllCount(c *cluster.Cluster, e *history.Editor, stop func() error, names []string) {
	before := e.Acked.Load()
	Eventually(e.Acked.Load).WithTimeout(answersAfter).Should(BeNumerically(">=", before+20))
	Expect(cluster.Eventually(answersAfter, func() error { return checkToleratesFailure(c) })).To(Succeed())
	for _, name := range names {
		Expect(c.Process(name).Done()).NotTo(BeClosed(), name)
		c.Process(name).Kill()
		waitForEdits(e, 20)
		Expect(c.Restart(name)).To(Succeed())
		Expect(cluster.Eventually(settleLimit, func() error { return checkToleratesFailure(c) })).To(Succeed())
	}
	Expect(stop()).To(Succeed())
	Expect(e.Check(settleLimit)).To(Succeed())
}

var _ = Describe("Disks that are full one after another", func() {
	DescribeTable("leave all controllers able to commit", func(controllers, rounds int, disturb func(c *cluster.Cluster, name string)) {
		names := cluster.Names("c", controllers)
		c := startCluster(cluster.Config{
			Controllers:   controllers,
			Gateways:      2,
			SnapshotEvery: 200,
		})
		e, stop := startEdits(c, "g1", "g2")
		Eventually(e.Acked.Load).WithTimeout(time.Minute).Should(BeNumerically(">=", fullAfter))
		for range rounds {
			fillDisk(c, leader(c, "g1"), func() {})
			for _, name := range names {
				fillDisk(c, name, func() { disturb(c, name) })
			}
		}
		checkAllCount(c, e, stop, names)
	},
		Entry("of three", 3, 3, func(*cluster.Cluster, string) {}),
		Entry("of five", 5, 1, func(*cluster.Cluster, string) {}),
		Entry("that are killed and start again while their disks are full", 3, 2, func(c *cluster.Cluster, name string) {
			time.Sleep(fullFor / 3)
			c.Process(name).Kill()
			Expect(c.Restart(name)).To(Succeed())
			Expect(c.Process(name).LimitFileSize(fullSize)).To(Succeed())
		}),
		Entry("while the leader is killed each time", 3, 2, func(c *cluster.Cluster, name string) {
			lead := leader(c, "g1")
			c.Process(lead).Kill()
			Expect(c.Restart(lead)).To(Succeed())
			if lead == name {
				Expect(c.Process(name).LimitFileSize(fullSize)).To(Succeed())
			}
		}),
	)

	DescribeTable("do not stop a change of the members", func(controllers int) {
		names := cluster.Names("c", controllers)
		c := startCluster(cluster.Config{
			Controllers:   controllers,
			Gateways:      2,
			SnapshotEvery: 200,
		})
		e, stop := startEdits(c, "g1", "g2")
		Eventually(e.Acked.Load).WithTimeout(time.Minute).Should(BeNumerically(">=", fullAfter))
		for _, name := range names[:3] {
			lead := leader(c, "g1")
			if lead != name {
				c.Process(name).Kill()
				replaceWhileFull(c, e, name, lead)
			}
			fillDisk(c, name, func() {})
		}
		checkAllCount(c, e, stop, names)
	},
		Entry("of three", 3),
		Entry("of five", 5),
	)
})
