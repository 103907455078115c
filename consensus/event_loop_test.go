package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
)

// An eventLoop handles the events of a host one after the other. Those that come
// meanwhile wait in its queue.
type eventLoop struct {
	queue []consensus.Event
	// freeAt is when the event under way ends. Its effects are performed then.
	freeAt  time.Time
	effects func()
	// wasHeldUp is true once the loop was held up as that of a new leader.
	wasHeldUp bool
	// isApplyPending is true while an ApplyDue event is queued.
	isApplyPending bool
	// tickedAt is when the loop last applied a tick, and keptAliveAt when messages were
	// last sent in its place.
	tickedAt, keptAliveAt time.Time
}

// A late loop is one that has not ticked for maxTickAge. Messages are sent in its place
// until it has not ticked for maxLateness.
const (
	maxTickAge  = heartbeat + tickInterval
	maxLateness = 4 * electionTimeout
)

// A loopCluster is a cluster whose hosts need time to handle an event.
type loopCluster struct {
	*cluster
	rng   *rand.Rand
	loops map[string]*eventLoop
	// applyTime is the time that a host needs to apply an entry.
	applyTime time.Duration
	// holdUp is how long the loop of each host is held up when it becomes a leader for
	// the first time.
	holdUp time.Duration
	// leaders holds the terms that had a leader.
	leaders map[uint64]bool
	// longestApply is the largest number of entries that a step has applied.
	longestApply int
}

// newLoopCluster returns a cluster of five voters with a log of the given length, which
// were all stopped at the same moment. Two of them are lost for good; the others have
// started again.
func newLoopCluster(seed uint64, entries int) *loopCluster {
	c := newFormedCluster(5)
	for n := range entries {
		c.propose(c.leader(), fmt.Sprint(n))
		if n%8 == 0 {
			c.deliverAll()
		}
	}
	c.runWithoutFaults(time.Second)
	for _, id := range c.ids() {
		c.crash(c.hosts[id])
	}
	c.inFlight = nil
	l := &loopCluster{
		cluster: c,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		loops:   map[string]*eventLoop{},
		leaders: map[uint64]bool{},
	}
	for _, id := range c.ids() {
		l.loops[id] = &eventLoop{
			tickedAt: c.now,
		}
	}
	for _, id := range c.ids()[:3] {
		c.start(c.hosts[id])
	}
	return l
}

// run lets time pass until isDone holds, for at most d.
func (c *loopCluster) run(d time.Duration, isDone func() bool) {
	lastTick := c.now
	for end := c.now.Add(d); !isDone() && c.now.Before(end); {
		c.now = c.now.Add(messageDelay)
		inFlight := c.inFlight
		c.inFlight = nil
		for _, msg := range inFlight {
			c.enqueue(msg.To, consensus.MessageReceived{
				Message: msg,
			})
		}
		isTickDue := c.now.Sub(lastTick) >= tickInterval
		if isTickDue {
			lastTick = c.now
		}
		for _, id := range c.ids() {
			if isTickDue {
				c.enqueue(id, consensus.Tick{
					Jitter: time.Duration(c.rng.Int64N(int64(electionTimeout))),
				})
			}
			c.runLoop(c.hosts[id])
			c.keepAlive(c.hosts[id])
		}
	}
}

// keepAlive sends messages in the place of a host whose loop is late.
func (c *loopCluster) keepAlive(h *host) {
	l := c.loops[h.id]
	late := c.now.Sub(l.tickedAt)
	isDue := c.now.Sub(l.keptAliveAt) >= heartbeat
	if h.alive && isDue && late > maxTickAge && late <= maxLateness {
		l.keptAliveAt = c.now
		c.inFlight = append(c.inFlight, h.replica.KeepAlives()...)
	}
}

func (c *loopCluster) enqueue(id string, e consensus.Event) {
	if c.hosts[id].alive {
		c.loops[id].queue = append(c.loops[id].queue, e)
	}
}

// runLoop handles the events of a host until its queue is empty or an event needs time.
func (c *loopCluster) runLoop(h *host) {
	l := c.loops[h.id]
	for h.alive && !c.now.Before(l.freeAt) {
		if f := l.effects; f != nil {
			l.effects = nil
			f()
			continue
		}
		if len(l.queue) == 0 {
			return
		}
		e := l.queue[0]
		l.queue = l.queue[1:]
		c.begin(h, l, e)
	}
}

// begin applies an event to a host. Its new state is published, and its effects are
// performed, when the time that it needs has passed.
func (c *loopCluster) begin(h *host, l *eventLoop, e consensus.Event) {
	wasLeader := h.replica.IsLeader()
	next, effects := h.replica.Step(c.now, e)
	for _, f := range effects {
		if applied, ok := f.(consensus.Apply); ok {
			c.longestApply = max(c.longestApply, len(applied.Entries))
			l.freeAt = c.now.Add(time.Duration(len(applied.Entries)) * c.applyTime)
		}
	}
	l.effects = func() {
		h.replica = next
		for _, f := range effects {
			c.perform(h, f)
		}
		c.checkInvariants(h)
		c.syncAndReport(h)
		if _, isTick := e.(consensus.Tick); isTick {
			l.tickedAt = c.now
		}
		if _, isDue := e.(consensus.ApplyDue); isDue {
			l.isApplyPending = false
		}
		if next.HasUnapplied() && !l.isApplyPending {
			l.isApplyPending = true
			c.enqueue(h.id, consensus.ApplyDue{})
		}
		if wasLeader || !next.IsLeader() {
			return
		}
		c.leaders[next.Hard().Term] = true
		if !l.wasHeldUp {
			l.wasHeldUp = true
			l.freeAt = c.now.Add(c.holdUp)
		}
	}
}

// syncAndReport makes durable what a host has written, and queues the reports.
func (c *loopCluster) syncAndReport(h *host) {
	if !h.isDirty && len(h.awaitingSync) == 0 {
		return
	}
	h.isDirty = false
	h.disk = h.written
	c.inFlight = append(c.inFlight, h.awaitingSync...)
	h.awaitingSync = nil
	c.enqueue(h.id, consensus.HardStateSynced{
		Hard: h.disk.Hard,
	})
	if n := len(h.disk.Entries); n > 0 {
		c.enqueue(h.id, consensus.EntriesSynced{
			Index: h.disk.Entries[n-1].Index,
			Term:  h.disk.Entries[n-1].Term,
		})
	}
}

// hasLease reports whether a host holds a lease.
func (c *loopCluster) hasLease() bool {
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.alive && h.replica.HasLease(c.now) {
			return true
		}
	}
	return false
}

// contactBound is the time after a disturbance in which the users expect service again.
const contactBound = 3 * time.Second

var _ = Describe("Three voters of five that restart", func() {
	// A controller does not know after a start which of its entries are committed, and
	// hears of all of them at once.
	It("keep their first leader although each needs longer than a lease to apply the log", func() {
		const entries = 1200
		for seed := range uint64(8) {
			c := newLoopCluster(seed, entries)
			c.applyTime = time.Millisecond
			c.run(contactBound+entries*c.applyTime, c.hasLease)
			Expect(c.hasLease()).To(BeTrue(), "seed %d, %d leaders", seed, len(c.leaders))
			Expect(c.leaders).To(HaveLen(1), "seed %d", seed)
			Expect(c.violations).To(BeEmpty())
		}
	})

	// With a portion in each event, the events between two ticks took as long as the log.
	It("tick in time although many events come while they apply the log", func() {
		const eventsPerTick = 100
		c := newLoopCluster(1, 1200)
		c.applyTime = time.Millisecond
		longest := time.Duration(0)
		eventsDue := c.now
		c.run(contactBound, func() bool {
			if !c.now.Before(eventsDue) {
				eventsDue = c.now.Add(tickInterval)
				for range eventsPerTick {
					c.enqueue("c1", consensus.RoundDue{})
				}
			}
			longest = max(longest, c.now.Sub(c.loops["c1"].tickedAt))
			return c.hasLease()
		})
		Expect(c.hasLease()).To(BeTrue())
		Expect(longest).To(BeNumerically("<=", maxTickAge))
	})

	// Elections that follow each other cost every controller the time for which its loop
	// is held up as that of a new leader.
	It("keep their first leader although the loop of each new one is held up for longer than a lease", func() {
		for seed := range uint64(8) {
			c := newLoopCluster(seed, 0)
			c.holdUp = 1350 * time.Millisecond
			c.run(contactBound+c.holdUp, c.hasLease)
			Expect(c.hasLease()).To(BeTrue(), "seed %d, %d leaders", seed, len(c.leaders))
			Expect(c.leaders).To(HaveLen(1), "seed %d", seed)
			Expect(c.violations).To(BeEmpty())
		}
	})
})

var _ = Describe("Replicas that start together", func() {
	It("do not split their first votes", func() {
		c := newFormedCluster(5)
		term := c.leader().replica.Hard().Term
		voters := c.ids()[:3]
		for _, id := range voters {
			c.crash(c.hosts[id])
			c.start(c.hosts[id])
		}
		c.crash(c.hosts["c4"])
		c.crash(c.hosts["c5"])
		c.inFlight = nil
		for end := c.now.Add(2 * electionTimeout); c.leader() == nil && c.now.Before(end); {
			c.now = c.now.Add(tickInterval)
			for i, id := range voters {
				c.step(c.hosts[id], consensus.Tick{
					Jitter: time.Duration(i) * 2 * tickInterval,
				})
			}
			c.deliverAll()
		}
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader().replica.Hard().Term).To(Equal(term + 1))
	})
})

var _ = Describe("A leader whose event loop stays held up", func() {
	It("is replaced", func() {
		for seed := range uint64(8) {
			c := newLoopCluster(seed, 0)
			c.run(contactBound, c.hasLease)
			stuck := c.leader()
			c.loops[stuck.id].freeAt = c.now.Add(time.Hour)
			isReplaced := func() bool { return len(c.leaders) > 1 && c.hasLease() }
			c.start(c.hosts["c4"])
			c.run(maxLateness+contactBound, isReplaced)
			Expect(isReplaced()).To(BeTrue(), "seed %d", seed)
			Expect(c.violations).To(BeEmpty())
		}
	})
})

// A state that lacks committed entries must not be read, and must not grow by more than one
// portion in a step.
var _ = Describe("A replica that has started with a long log", func() {
	It("applies it in portions, and leads only once it has applied all of it", func() {
		const entries = 100
		c := newLoopCluster(1, entries)
		c.run(contactBound, func() bool { return c.leader() != nil })
		Expect(c.leader()).NotTo(BeNil())
		Expect(len(c.leader().applied)).To(BeNumerically(">", entries))
		Expect(c.longestApply).To(Equal(config("").MaxApplyEntries))
		Expect(c.violations).To(BeEmpty())
	})
})

// A replica whose event loop is late has not read what others have sent it meanwhile.
var _ = Describe("A late tick", func() {
	// lateBy is longer than the silence after which a leader gives up.
	const lateBy = 3 * electionTimeout

	It("lets a follower read what waits for it before it asks for votes", func() {
		c := newFormedCluster(3)
		late := c.hosts["c2"]
		late.replica, _ = late.replica.Step(c.now, consensus.Tick{})
		waiting := c.receivedMeanwhile(late, lateBy)
		next, effects := late.replica.Step(c.now, consensus.Tick{})
		Expect(effects).NotTo(ContainElement(HaveField("Message.Body", BeAssignableToTypeOf(consensus.Vote{}))))
		for _, msg := range waiting {
			next, _ = next.Step(c.now, consensus.MessageReceived{
				Message: msg,
			})
		}
		Expect(next.Leader()).To(Equal("c1"))
	})

	It("lets a leader ask its members before it gives up", func() {
		c := newFormedCluster(3)
		late := c.leader()
		c.step(late, consensus.Tick{})
		c.now = c.now.Add(lateBy)
		c.step(late, consensus.Tick{})
		Expect(late.replica.IsLeader()).To(BeTrue())
		c.deliverAll()
		Expect(late.replica.HasLease(c.now)).To(BeTrue())
	})

	It("does not keep a leader in office that nobody answers", func() {
		c := newFormedCluster(3)
		late := c.leader()
		c.step(late, consensus.Tick{})
		c.now = c.now.Add(lateBy)
		for end := c.now.Add(2*electionTimeout + 2*tickInterval); c.now.Before(end); c.now = c.now.Add(tickInterval) {
			c.step(late, consensus.Tick{})
			c.inFlight = nil
		}
		Expect(late.replica.IsLeader()).To(BeFalse())
	})
})

// Ticks that all come late must not put off an election for as long as they do.
var _ = Describe("A replica whose ticks are all late", func() {
	const gap = electionTimeout/2 + tickInterval

	DescribeTable("asks for votes if it hears from no leader", func(gaps ...time.Duration) {
		c := newFormedCluster(3)
		h := c.hosts["c2"]
		h.replica, _ = h.replica.Step(c.now, consensus.Tick{})
		silentSince := c.now
		hasAsked := false
		for i := 0; !hasAsked && c.now.Sub(silentSince) < 10*electionTimeout; i++ {
			c.now = c.now.Add(gaps[i%len(gaps)])
			var effects []consensus.Effect
			h.replica, effects = h.replica.Step(c.now, consensus.Tick{
				Jitter: electionTimeout - 1,
			})
			for _, f := range effects {
				send, isSend := f.(consensus.Send)
				if !isSend {
					continue
				}
				_, isVote := send.Message.Body.(consensus.Vote)
				hasAsked = hasAsked || isVote
			}
		}
		Expect(hasAsked).To(BeTrue())
		Expect(c.now.Sub(silentSince)).To(BeNumerically("<=", 6*electionTimeout+2*gap))
	},
		Entry("with each tick late", gap),
		Entry("with every other tick late", gap, tickInterval),
	)
})

// A leader to which nothing gets through still sends heartbeats, so nobody replaces it.
var _ = Describe("A leader whose ticks are all late", func() {
	DescribeTable("gives up if nobody answers", func(gaps ...time.Duration) {
		c := newFormedCluster(3)
		h := c.leader()
		silentSince := c.now
		for i := 0; h.replica.IsLeader() && c.now.Sub(silentSince) < 20*electionTimeout; i++ {
			c.now = c.now.Add(gaps[i%len(gaps)])
			c.step(h, consensus.Tick{})
			c.inFlight = nil
		}
		Expect(h.replica.IsLeader()).To(BeFalse())
		Expect(c.now.Sub(silentSince)).To(BeNumerically("<=", 6*electionTimeout))
	},
		Entry("with each tick late", electionTimeout/2+tickInterval),
		Entry("with every other tick late", electionTimeout/2+tickInterval, tickInterval),
	)
})

// receivedMeanwhile lets time pass for all hosts but one, and returns what they sent it.
func (c *cluster) receivedMeanwhile(late *host, d time.Duration) (waiting []consensus.Message) {
	late.alive = false
	defer func() { late.alive = true }()
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		for _, id := range c.ids() {
			c.step(c.hosts[id], consensus.Tick{})
		}
		for _, msg := range c.inFlight {
			if msg.To == late.id {
				waiting = append(waiting, msg)
			}
		}
		c.deliverAll()
	}
	return waiting
}
