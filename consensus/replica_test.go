package consensus_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainladder/plantainladder/consensus"
)

var _ = Describe("Replica", func() {
	It("forms a group and makes learners voters by itself", func() {
		c := newFormedCluster(3)
		Expect(c.violations).To(BeEmpty())
		for _, id := range c.ids() {
			Expect(c.hosts[id].replica.Members().Voters()).To(Equal(3), id)
		}
	})

	It("elects a new leader and keeps what was acknowledged", func() {
		c := newFormedCluster(3)
		c.propose(c.leader(), "a")
		c.runWithoutFaults(time.Second)
		oldLeader := c.leader()
		c.crash(oldLeader)
		c.runWithoutFaults(3 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader().id).NotTo(Equal(oldLeader.id))
		Expect(c.acknowledged).To(HaveKey("a"))
		Expect(c.violations).To(BeEmpty())
	})

	It("never lets an empty disk vote", func() {
		c := newFormedCluster(3)
		oldLeader := c.leader()
		for _, id := range c.ids() {
			if id != oldLeader.id {
				c.hosts[id].disk = consensus.StoredState{}
				c.start(c.hosts[id])
			}
		}
		c.crash(oldLeader)
		c.runWithoutFaults(5 * time.Second)
		Expect(c.leader()).To(BeNil())
	})

	It("replaces a lost disk and can then lose the next one", func() {
		c := newFormedCluster(3)
		lost := "c2"
		if c.leader().id == lost {
			lost = "c3"
		}
		c.crash(c.hosts[lost])
		c.addHost("c4")
		c.addMember("c4", lost)
		c.runWithoutFaults(2 * time.Second)
		Expect(c.leader().replica.Members().Voters()).To(Equal(3))
		Expect(c.leader().replica.Members().IsVoter(lost)).To(BeFalse())
		c.crash(c.leader())
		c.runWithoutFaults(3 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.violations).To(BeEmpty())
	})

	It("brings a learner in by a snapshot", func() {
		c := newFormedCluster(3)
		for i := range 50 {
			c.propose(c.leader(), fmt.Sprint(i))
		}
		c.runWithoutFaults(time.Second)
		for _, id := range c.ids() {
			c.compact(c.hosts[id])
		}
		c.addHost("c4")
		c.addMember("c4", "")
		Expect(c.leader().replica.Members().Voters()).To(Equal(4))
		Expect(c.hosts["c4"].applied).To(Equal(c.hosts["c1"].applied))
		Expect(c.violations).To(BeEmpty())
	})

	It("hands over before a planned stop", func() {
		c := newFormedCluster(3)
		oldLeader := c.leader()
		c.step(oldLeader, consensus.TransferLeadership{})
		c.runWithoutFaults(200 * time.Millisecond)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader().id).NotTo(Equal(oldLeader.id))
	})

	It("stays safe under loss, delay, reordering, crashes and restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newFormedCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "hosts"))
			for range rapid.IntRange(100, 500).Draw(t, "steps") {
				stepRandomly(t, c)
				if len(c.violations) > 0 {
					t.Fatalf("%v", c.violations)
				}
			}
			for _, id := range c.ids() {
				if !c.hosts[id].alive {
					c.start(c.hosts[id])
				}
			}
			c.inFlight, c.blockedLinks = nil, map[[2]string]bool{}
			c.runWithoutFaults(5 * time.Second)
			checkAcknowledged(t, c)
		})
	})
})

func stepRandomly(t *rapid.T, c *cluster) {
	h := c.hosts[rapid.SampledFrom(c.ids()).Draw(t, "host")]
	switch rapid.IntRange(0, 13).Draw(t, "action") {
	case 0, 1, 2:
		c.now = c.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		for _, id := range c.ids() {
			c.step(c.hosts[id], consensus.Tick{
				Jitter: time.Duration(rapid.IntRange(0, 500).Draw(t, "jitter")) * time.Millisecond,
			})
		}
	case 3, 4, 5, 6:
		deliverRandomly(t, c)
	case 7, 8:
		c.sync(h)
	case 9:
		if h.replica.IsLeader() {
			c.propose(h, fmt.Sprint("command-", c.lastToken))
		}
	case 10:
		c.compact(h)
		if h.alive && rapid.Bool().Draw(t, "transfer") {
			c.step(h, consensus.TransferLeadership{})
		}
	case 11:
		// A calm spell among the hosts that are up, so that entries commit.
		c.runWithoutFaults(time.Duration(rapid.IntRange(50, 1500).Draw(t, "calm")) * time.Millisecond)
	case 12:
		other := rapid.SampledFrom(c.ids()).Draw(t, "other")
		c.blockedLinks[linkBetween(h.id, other)] = !c.blockedLinks[linkBetween(h.id, other)]
	case 13:
		if h.alive {
			c.crash(h)
		} else {
			c.start(h)
		}
	}
}

// deliverRandomly delivers, loses or doubles some of the letters under way, in
// any order.
func deliverRandomly(t *rapid.T, c *cluster) {
	for range min(len(c.inFlight), rapid.IntRange(1, 8).Draw(t, "letters")) {
		i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "letter")
		msg := c.inFlight[i]
		disturbance := rapid.IntRange(0, 9).Draw(t, "fate")
		if disturbance != 0 {
			c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
		}
		if disturbance != 1 {
			c.deliver(msg)
		}
	}
}

func checkAcknowledged(t *rapid.T, c *cluster) {
	if len(c.violations) > 0 {
		t.Fatalf("%v", c.violations)
	}
	if c.leader() == nil {
		t.Fatalf("no leader after the faults ended\n%s", c)
	}
	for command, index := range c.acknowledged {
		found := false
		for _, text := range c.leader().applied {
			found = found || endsWithCommand(text, command)
		}
		if !found {
			t.Fatalf("acknowledged %q at %d is lost", command, index)
		}
	}
}

func endsWithCommand(applied, command string) bool {
	want := fmt.Sprintf("/%v", consensus.Data{
		Bytes: []byte(command),
	})
	return len(applied) >= len(want) && applied[len(applied)-len(want):] == want
}
