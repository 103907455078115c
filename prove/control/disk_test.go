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

// damage changes the bytes of a controller's log while it is down.
func damage(c *cluster.Cluster, name string, change func(b []byte) []byte) {
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

// replace brings a controller with an empty disk in for the one that was there.
func replace(c *cluster.Cluster, e *history.Editor, name string) {
	old := memberAt(c, "g1", c.Address(name))
	Expect(os.RemoveAll(c.DataDir(name))).To(Succeed())
	Expect(c.Restart(name)).To(Succeed())
	Expect(cluster.Eventually(settleLimit, func() error { return c.CheckHealth(name) })).To(Succeed())
	out, err := c.RunCLI("members", "replace", old.ID, c.Address(name))
	Expect(err).NotTo(HaveOccurred(), out)
	waitForEdits(e, 20)
}

var _ = Describe("A controller's disk", func() {
	It("with a torn tail loses nothing that was acknowledged", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    2,
		})
		e, stop := stream(c, "g1", "g2")
		waitForEdits(e, 50)
		for _, name := range cluster.Names("c", 3) {
			c.Process(name).Kill()
			damage(c, name, func(b []byte) []byte { return append(b, b[:20]...) })
			Expect(c.Restart(name)).To(Succeed())
			Expect(cluster.Eventually(settleLimit, func() error { return canLoseOne(c) })).To(Succeed())
		}
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
	})

	It("with a flipped byte refuses to start, says why, and is replaced", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    2,
		})
		e, stop := stream(c, "g1", "g2")
		waitForEdits(e, 50)
		name := follower(c)
		c.Process(name).Kill()
		damage(c, name, func(b []byte) []byte {
			b[len(b)/2] ^= 1
			return b
		})
		Expect(c.Restart(name)).To(Succeed())
		Eventually(c.Process(name).Done()).WithTimeout(5 * time.Second).Should(BeClosed())
		Expect(c.Process(name).Log()).To(ContainSubstring("is damaged at byte"))
		replace(c, e, name)
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
	})

	It("that is full makes its controller wait, the others go on, and it catches up once there is room", func() {
		c := startCluster(cluster.Config{
			Controllers: 3,
			Gateways:    2,
		})
		e, stop := stream(c, "g1", "g2")
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
		// The group can lose another member only if this one has caught up.
		c.Process(other).Kill()
		waitForEdits(e, 50)
		Expect(c.Restart(other)).To(Succeed())
		Expect(cluster.Eventually(settleLimit, func() error { return canLoseOne(c) })).To(Succeed())
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
	})
})
