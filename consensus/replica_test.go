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
		c := formed(3)
		Expect(c.faults).To(BeEmpty())
		for _, id := range c.ids() {
			Expect(c.hosts[id].replica.Members().Voters()).To(Equal(3), id)
		}
	})

	It("elects a new leader and keeps what was acknowledged", func() {
		c := formed(3)
		c.propose(c.leader(), "a")
		c.settle(time.Second)
		old := c.leader()
		c.crash(old)
		c.settle(3 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader().id).NotTo(Equal(old.id))
		Expect(c.acked).To(HaveKey("a"))
		Expect(c.faults).To(BeEmpty())
	})

	It("never lets an empty disk vote", func() {
		c := formed(3)
		old := c.leader()
		for _, id := range c.ids() {
			if id != old.id {
				c.hosts[id].disk = consensus.StoredState{}
				c.start(c.hosts[id])
			}
		}
		c.crash(old)
		c.settle(5 * time.Second)
		Expect(c.leader()).To(BeNil())
	})

	It("replaces a lost disk and can then lose the next one", func() {
		c := formed(3)
		lost := "c2"
		if c.leader().id == lost {
			lost = "c3"
		}
		c.crash(c.hosts[lost])
		c.addHost("c4")
		c.add("c4", lost)
		c.settle(2 * time.Second)
		Expect(c.leader().replica.Members().Voters()).To(Equal(3))
		Expect(c.leader().replica.Members().IsVoter(lost)).To(BeFalse())
		c.crash(c.leader())
		c.settle(3 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.faults).To(BeEmpty())
	})

	It("brings a learner in by a snapshot", func() {
		c := formed(3)
		for i := range 50 {
			c.propose(c.leader(), fmt.Sprint(i))
		}
		c.settle(time.Second)
		for _, id := range c.ids() {
			c.compact(c.hosts[id])
		}
		c.addHost("c4")
		c.add("c4", "")
		Expect(c.leader().replica.Members().Voters()).To(Equal(4))
		Expect(c.hosts["c4"].applied).To(Equal(c.hosts["c1"].applied))
		Expect(c.faults).To(BeEmpty())
	})

	It("hands over before a planned stop", func() {
		c := formed(3)
		old := c.leader()
		c.step(old, consensus.TransferLeadership{})
		c.settle(200 * time.Millisecond)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader().id).NotTo(Equal(old.id))
	})

	It("stays safe under loss, delay, reordering, crashes and restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := formed(rapid.SampledFrom([]int{3, 5}).Draw(t, "hosts"))
			for range rapid.IntRange(100, 500).Draw(t, "steps") {
				randomStep(t, c)
				if len(c.faults) > 0 {
					t.Fatalf("%v", c.faults)
				}
			}
			for _, id := range c.ids() {
				if !c.hosts[id].alive {
					c.start(c.hosts[id])
				}
			}
			c.mail, c.cut = nil, map[[2]string]bool{}
			c.settle(5 * time.Second)
			checkHistory(t, c)
		})
	})
})

func randomStep(t *rapid.T, c *cluster) {
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
		randomDelivery(t, c)
	case 7, 8:
		c.sync(h)
	case 9:
		if h.replica.IsLeader() {
			c.propose(h, fmt.Sprint("command-", c.token))
		}
	case 10:
		c.compact(h)
		if h.alive && rapid.Bool().Draw(t, "transfer") {
			c.step(h, consensus.TransferLeadership{})
		}
	case 11:
		// A calm spell among the hosts that are up, so that entries commit.
		c.settle(time.Duration(rapid.IntRange(50, 1500).Draw(t, "calm")) * time.Millisecond)
	case 12:
		other := rapid.SampledFrom(c.ids()).Draw(t, "other")
		c.cut[pair(h.id, other)] = !c.cut[pair(h.id, other)]
	case 13:
		if h.alive {
			c.crash(h)
		} else {
			c.start(h)
		}
	}
}

// randomDelivery delivers, loses or doubles some of the letters under way, in
// any order.
func randomDelivery(t *rapid.T, c *cluster) {
	for range min(len(c.mail), rapid.IntRange(1, 8).Draw(t, "letters")) {
		i := rapid.IntRange(0, len(c.mail)-1).Draw(t, "letter")
		l := c.mail[i]
		fate := rapid.IntRange(0, 9).Draw(t, "fate")
		if fate != 0 {
			c.mail = append(c.mail[:i:i], c.mail[i+1:]...)
		}
		if fate != 1 {
			c.deliver(l)
		}
	}
}

func checkHistory(t *rapid.T, c *cluster) {
	if len(c.faults) > 0 {
		t.Fatalf("%v", c.faults)
	}
	if c.leader() == nil {
		t.Fatalf("no leader after the faults ended\n%s", c)
	}
	for command, index := range c.acked {
		found := false
		for _, text := range c.leader().applied {
			found = found || containsData(text, command)
		}
		if !found {
			t.Fatalf("acknowledged %q at %d is lost", command, index)
		}
	}
}

func containsData(text, command string) bool {
	want := fmt.Sprintf("/%v", consensus.Data{
		Bytes: []byte(command),
	})
	return len(text) >= len(want) && text[len(text)-len(want):] == want
}
