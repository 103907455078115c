package control_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/prove/history"
)

// rewriteLog rewrites the last log file of a stopped controller.
func rewriteLog(c *cluster.Cluster, name string, change func(b []byte) []byte) {
	files, err := filepath.Glob(filepath.Join(c.DataDir(name), "*.wal"))
	Expect(err).NotTo(HaveOccurred())
	Expect(files).NotTo(BeEmpty())
	last := files[len(files)-1]
	b, err := os.ReadFile(last)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(last, change(b), 0o600)).To(Succeed())
}

func follower(c *cluster.Cluster) string {
	lead := leader(c, "g1")
	for _, name := range cluster.Names("c", 3) {
		if name != lead {
			return name
		}
	}
	return ""
}

// replaceController restarts a controller with an empty disk and replaces the old member by it.
func replaceController(c *cluster.Cluster, e *history.Editor, name string) {
	old := memberAt(c, "g1", c.Address(name))
	Expect(os.RemoveAll(c.DataDir(name))).To(Succeed())
	Expect(c.Restart(name)).To(Succeed())
	Expect(cluster.Eventually(settleLimit, func() error { return c.CheckHealth(name) })).To(Succeed())
	out, err := c.RunCLI("members", "replace", old.ID, c.Address(name))
	Expect(err).NotTo(HaveOccurred(), out)
	waitForEdits(e, 20)
}

var _ = Describe("A controller's disk", func() {
	It("keeps every acknowledged edit if the log ends with a partial entry", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    2,
		})
		e, stop := startEdits(c, "g1", "g2")
		waitForEdits(e, 50)
		for _, name := range cluster.Names("c", 3) {
			c.Process(name).Kill()
			rewriteLog(c, name, func(b []byte) []byte { return append(b, b[:20]...) })
			Expect(c.Restart(name)).To(Succeed())
			Expect(cluster.Eventually(settleLimit, func() error { return checkToleratesFailure(c) })).To(Succeed())
		}
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
	})

	It("makes the controller refuse to start with the reason if a byte of the log is flipped, until it is replaced", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    2,
		})
		e, stop := startEdits(c, "g1", "g2")
		waitForEdits(e, 50)
		name := follower(c)
		c.Process(name).Kill()
		rewriteLog(c, name, func(b []byte) []byte {
			b[len(b)/2] ^= 1
			return b
		})
		Expect(c.Restart(name)).To(Succeed())
		Eventually(c.Process(name).Done()).WithTimeout(5 * time.Second).Should(BeClosed())
		Expect(c.Process(name).Log()).To(ContainSubstring("is damaged at byte"))
		replaceController(c, e, name)
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
	})

	It("makes only its own controller wait while it is full, which catches up once there is space", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    2,
		})
		e, stop := startEdits(c, "g1", "g2")
		waitForEdits(e, 50)
		name := leader(c, "g1")
		other := follower(c)
		Expect(c.Process(name).LimitFileSize(64 << 10)).To(Succeed())
		Eventually(func() string { return c.Process(name).Log() }).WithTimeout(settleLimit).
			Should(ContainSubstring("Disk is full; writes wait."))
		waitForEdits(e, 50)
		Expect(c.Process(name).Done()).NotTo(BeClosed())
		Expect(c.Process(name).LimitFileSize(cluster.NoLimit)).To(Succeed())
		Eventually(func() string { return c.Process(name).Log() }).WithTimeout(settleLimit).
			Should(ContainSubstring("Disk has room again."))
		Expect(c.Process(name).Done()).NotTo(BeClosed())
		// Without another member the group has a majority only if this one has caught up.
		c.Process(other).Kill()
		waitForEdits(e, 50)
		Expect(c.Restart(other)).To(Succeed())
		Expect(cluster.Eventually(settleLimit, func() error { return checkToleratesFailure(c) })).To(Succeed())
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
	})
})
