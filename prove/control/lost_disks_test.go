package control_test

import (
	"context"
	"errors"
	"fmt"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/prove/cluster"
)

// checkToleratesTwoFailures returns an error if the group of five cannot lose two members.
func checkToleratesTwoFailures(c *cluster.Cluster) error {
	m, err := c.Members(context.Background(), "g1")
	if err == nil && m.ToleratedFailures < 2 {
		err = fmt.Errorf("the group tolerates %d failures", m.ToleratedFailures)
	}
	return err
}

// checkReachable returns an error if a controller is not healthy or the gateway g1 does not
// know the members.
func checkReachable(c *cluster.Cluster, name string) error {
	_, err := c.Members(context.Background(), "g1")
	return errors.Join(err, c.CheckHealth(name))
}

var _ = Describe("A group of five controllers", func() {
	// A kill is no loss of power: the disks that are left keep what the kernel holds, also
	// what was not synced. controller/disk/powerloss takes that away.
	It("keeps every accepted edit if all are killed at once and two disks are lost, three times", func() {
		names := cluster.Names("c", 5)
		c := startCluster(cluster.Config{
			Controllers:   len(names),
			Gateways:      2,
			SnapshotEvery: 200,
		})
		e, stop := startEdits(c, "g1", "g2")
		for round := range 3 {
			waitForEdits(e, 50)
			for _, name := range names {
				c.Process(name).Kill()
			}
			lost := []string{names[2*round%len(names)], names[(2*round+1)%len(names)]}
			for _, name := range lost {
				Expect(os.RemoveAll(c.DataDir(name))).To(Succeed())
			}
			for _, name := range names {
				Expect(c.Restart(name)).To(Succeed())
			}
			waitForEdits(e, 1)
			for _, name := range lost {
				Expect(cluster.Eventually(settleLimit, func() error { return checkReachable(c, name) })).To(Succeed())
				old := memberAt(c, "g1", c.Address(name))
				out, err := c.RunCLI("members", "replace", old.ID, c.Address(name))
				Expect(err).NotTo(HaveOccurred(), out)
			}
			Expect(cluster.Eventually(settleLimit, func() error { return checkToleratesTwoFailures(c) })).To(Succeed())
		}
		Expect(stop()).To(Succeed())
		Expect(e.Check(settleLimit)).To(Succeed())
	})
})
