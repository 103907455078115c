package consensus_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newClusterWithStaleFollower returns a cluster of three with a stopped follower
// whose next entry the other hosts have compacted.
func newClusterWithStaleFollower() (c *cluster, leader, stale, other *host) {
	c = newFormedCluster(3)
	leader = c.leader()
	for _, id := range c.ids() {
		switch h := c.hosts[id]; {
		case h == leader:
		case stale == nil:
			stale = h
		default:
			other = h
		}
	}
	c.crash(stale)
	for i := range 50 {
		c.propose(leader, fmt.Sprint(i))
	}
	c.runWithoutFaults(time.Second)
	c.compact(leader)
	c.compact(other)
	return c, leader, stale, other
}

var _ = Describe("A replica whose disk is full", func() {
	It("does not acknowledge a snapshot before it is durable", func() {
		c, leader, stale, _ := newClusterWithStaleFollower()
		c.start(stale)
		stale.isFull = true
		c.runWithoutFaults(2 * time.Second)
		Expect(stale.written.Snapshot.Index).To(BeNumerically(">", stale.disk.Snapshot.Index))
		p, _ := leader.replica.Progress(stale.id)
		Expect(p.Match).To(BeNumerically("<=", stale.disk.Snapshot.Index+uint64(len(stale.disk.Entries))))
	})
})
