package consensus_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// confirm asks a host whether it still leads.
func (c *cluster) confirm(h *host) {
	c.lastToken++
	c.committedBefore[c.lastToken] = len(c.committed)
	c.step(h, consensus.ConfirmLeadership{
		Token: c.lastToken,
	})
}

func (c *cluster) suspend(h *host) {
	h.isSuspended, h.suspendedAt = true, c.now
	c.hasStoodStill = true
}

// wake ends a suspension. What was sent to the host is still on its way.
func (c *cluster) wake(h *host) {
	h.isSuspended = false
	h.lag += c.now.Sub(h.suspendedAt)
	c.inFlight = append(c.inFlight, h.inbox...)
	h.inbox = nil
}

var _ = Describe("The confirmation of a leadership", func() {
	// A state that lacks committed entries must not be read as the present one.
	It("waits until the entries that were committed before are applied", func() {
		c := newCluster(1, config(""))
		h := c.hosts["c1"]
		c.step(h, consensus.FormGroup{
			Group: "g",
			Self: member.Member{
				ID:      h.id,
				Address: h.id,
			},
		})
		c.runWithoutFaults(time.Second)
		for n := range 2 * config("").MaxApplyEntries {
			c.propose(h, fmt.Sprint(n))
		}
		c.sync(h)
		Expect(h.replica.HasUnapplied()).To(BeTrue())
		c.confirm(h)
		Expect(c.confirmed).To(BeZero())
		c.step(h, consensus.ApplyDue{})
		Expect(h.replica.HasUnapplied()).To(BeFalse())
		Expect(c.confirmed).To(Equal(1))
		Expect(c.violations).To(BeEmpty())
	})

	It("is given with no time passing and no entry written", func() {
		c := newFormedCluster(3)
		last := c.leader().replica.Log().LastIndex()
		c.now = c.now.Add(heartbeat)
		c.confirm(c.leader())
		Expect(c.confirmed).To(BeZero())
		c.deliverAll()
		Expect(c.confirmed).To(Equal(1))
		Expect(c.leader().replica.Log().LastIndex()).To(Equal(last))
	})

	It("is not given for answers to earlier messages", func() {
		c := newFormedCluster(3)
		leader := c.leader()
		c.propose(leader, "a")
		earlier := c.inFlight
		c.inFlight = nil
		c.confirm(leader)
		c.inFlight = earlier
		c.deliverAll()
		Expect(c.acknowledged).To(HaveKey("a"))
		Expect(c.confirmed).To(BeZero())
		c.runWithoutFaults(2 * heartbeat)
		Expect(c.confirmed).To(Equal(1), "the next heartbeat confirms it, since the first round was lost")
	})

	It("costs four rounds of messages to all members per heartbeat at most", func() {
		c := newFormedCluster(3)
		leader := c.leader()
		sent := 0
		for range 1000 {
			c.now = c.now.Add(time.Millisecond)
			c.confirm(leader)
			for _, m := range c.inFlight {
				if m.From == leader.id {
					sent++
				}
			}
			c.deliverAll()
		}
		Expect(c.confirmed).To(BeNumerically(">", 950))
		const rounds = 4 * int(time.Second/heartbeat)
		Expect(sent).To(BeNumerically("<=", 2*(rounds+1)))
		Expect(sent).To(BeNumerically(">", rounds), "requests do not wait for heartbeats")
	})

	It("is refused by a leader whose clock stood still while another was elected", func() {
		c := newFormedCluster(3)
		old := c.leader()
		c.suspend(old)
		c.runWithoutFaults(3 * time.Second)
		c.propose(c.leader(), "a")
		c.runWithoutFaults(time.Second)
		c.wake(old)
		Expect(old.replica.HasLease(c.now.Add(-old.lag))).To(BeTrue())
		c.confirm(old)
		c.deliverAll()
		Expect(c.confirmed).To(BeZero())
		Expect(old.replica.IsLeader()).To(BeFalse())
	})

	It("is given only by hosts with all that was applied before, though clocks stand still", func() {
		confirmed := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newFormedCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "hosts"))
			for range rapid.IntRange(100, 500).Draw(t, "steps") {
				stepWithSuspensions(t, c)
				if len(c.violations) > 0 {
					t.Fatalf("%v", c.violations)
				}
			}
			confirmed += c.confirmed
		})
		Expect(confirmed).To(BeNumerically(">", 100))
		GinkgoWriter.Println(fmt.Sprintf("confirmed %d times", confirmed))
	})
})

func stepWithSuspensions(t *rapid.T, c *cluster) {
	h := c.hosts[rapid.SampledFrom(c.ids()).Draw(t, "suspect")]
	switch rapid.IntRange(0, 9).Draw(t, "variant") {
	case 0:
		switch {
		case !h.alive:
		case h.isSuspended:
			c.wake(h)
		default:
			c.suspend(h)
		}
	case 1, 2:
		c.confirm(h)
	default:
		stepRandomly(t, c)
	}
}
