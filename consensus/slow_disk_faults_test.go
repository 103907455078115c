package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// A delayedMessage is a message that arrives at a certain time.
type delayedMessage struct {
	arrivesAt time.Time
	message   consensus.Message
}

// A delayedEvent is a report of the disk that waits for the event loop.
type delayedEvent struct {
	at    time.Time
	event consensus.Event
}

// A pendingSync is the sync of a host's disk that is under way, with the snapshot that it
// makes durable.
type pendingSync struct {
	slowSync
	snapshot []string
}

// A faultyCluster is a cluster whose disks are slow or stand still, whose messages are
// late or lost, and whose hosts restart and are replaced.
type faultyCluster struct {
	*cluster
	rng *rand.Rand
	// isCalm is true once the faults have ended.
	isCalm     bool
	delayed    []delayedMessage
	syncs      map[string]*pendingSync
	reports    map[string][]delayedEvent
	syncTime   map[string]time.Duration
	nextID     int
	nextTickAt time.Time
}

func newFaultyCluster(seed uint64) *faultyCluster {
	rng := rand.New(rand.NewPCG(seed, 0))
	n := []int{1, 2, 3, 5, 5}[rng.IntN(5)]
	return &faultyCluster{
		cluster:  newConfiguredCluster(n, faultyConfig(seed)),
		rng:      rng,
		syncs:    map[string]*pendingSync{},
		reports:  map[string][]delayedEvent{},
		syncTime: map[string]time.Duration{},
		nextID:   n + 1,
	}
}

// faultyConfig returns a configuration with bounds in bytes that some seeds reach often.
func faultyConfig(seed uint64) consensus.Config {
	cfg := config("")
	switch seed % 3 {
	case 1:
		cfg.MaxUncommittedBytes, cfg.MaxInflightBytes = 400, 200
	case 2:
		cfg.MaxUncommittedBytes, cfg.MaxInflightBytes = 200, 0
	}
	return cfg
}

// chance returns true once in n times.
func (c *faultyCluster) chance(n int) bool {
	return c.rng.IntN(n) == 0
}

func (c *faultyCluster) randomTime(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit)))
}

func (c *faultyCluster) randomHost() *host {
	ids := c.ids()
	return c.hosts[ids[c.rng.IntN(len(ids))]]
}

// run lets time pass.
func (c *faultyCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end) && len(c.violations) == 0; {
		c.now = c.now.Add(messageDelay)
		isTickDue := !c.now.Before(c.nextTickAt)
		if isTickDue {
			c.nextTickAt = c.now.Add(tickInterval)
		}
		c.transport()
		for _, id := range c.ids() {
			h := c.hosts[id]
			if isTickDue {
				c.step(h, consensus.Tick{
					Jitter: c.randomTime(electionTimeout),
				})
			}
			c.step(h, consensus.ApplyDue{})
			c.report(h)
			c.stepDisk(h)
		}
		if !c.isCalm && isTickDue {
			c.disturb()
		}
	}
}

// transport delivers the messages that are due, and decides on the fate of those that
// were sent.
func (c *faultyCluster) transport() {
	for _, msg := range c.inFlight {
		delay := messageDelay
		if !c.isCalm && c.chance(6) {
			delay = c.randomTime(3 * electionTimeout)
		}
		if !c.isCalm && c.chance(30) {
			continue
		}
		c.delayed = append(c.delayed, delayedMessage{
			arrivesAt: c.now.Add(delay),
			message:   msg,
		})
	}
	c.inFlight = nil
	due := c.delayed
	c.delayed = nil
	for _, d := range due {
		if c.now.Before(d.arrivesAt) {
			c.delayed = append(c.delayed, d)
			continue
		}
		c.deliver(d.message)
	}
}

// report passes on what the disk of a host has reported.
func (c *faultyCluster) report(h *host) {
	for len(c.reports[h.id]) > 0 && !c.now.Before(c.reports[h.id][0].at) {
		e := c.reports[h.id][0].event
		c.reports[h.id] = c.reports[h.id][1:]
		c.step(h, e)
	}
}

// stepDisk ends the sync of a host that is due, and begins one for all that has been
// written since the last one began.
func (c *faultyCluster) stepDisk(h *host) {
	if !h.alive {
		return
	}
	if s := c.syncs[h.id]; s != nil && !c.now.Before(s.endsAt) {
		c.endSync(h, s)
	}
	if c.syncs[h.id] != nil || !h.isDirty && len(h.awaitingSync) == 0 {
		return
	}
	state := h.written
	state.Entries = slices.Clone(h.written.Entries)
	c.syncs[h.id] = &pendingSync{
		slowSync: slowSync{
			endsAt:   c.now.Add(c.syncTime[h.id]),
			state:    state,
			messages: h.awaitingSync,
		},
		snapshot: h.writtenSnapshot,
	}
	h.isDirty, h.awaitingSync = false, nil
}

func (c *faultyCluster) endSync(h *host, s *pendingSync) {
	delete(c.syncs, h.id)
	h.disk, h.snapshot = s.state, s.snapshot
	c.inFlight = append(c.inFlight, s.messages...)
	events := []consensus.Event{
		consensus.HardStateSynced{
			Hard: s.state.Hard,
		},
	}
	if n := len(s.state.Entries); n > 0 {
		events = append(events, consensus.EntriesSynced{
			Index: s.state.Entries[n-1].Index,
			Term:  s.state.Entries[n-1].Term,
		})
	}
	for _, e := range events {
		c.reports[h.id] = append(c.reports[h.id], delayedEvent{
			at:    c.now.Add(c.randomTime(2 * messageDelay)),
			event: e,
		})
	}
}

// stop ends a host's process. What it had begun to write survives unless the power fails.
func (c *faultyCluster) stop(h *host, powerFails bool) {
	if s := c.syncs[h.id]; s != nil && !powerFails {
		h.disk, h.snapshot = s.state, s.snapshot
	}
	delete(c.syncs, h.id)
	c.reports[h.id], h.isDirty = nil, false
	c.crash(h)
}

func (c *faultyCluster) disturb() {
	h := c.randomHost()
	switch c.rng.IntN(36) {
	case 0, 1:
		c.syncTime[h.id] = slowSyncTimes[c.rng.IntN(len(slowSyncTimes))]
	case 2:
		c.syncTime[h.id] = c.randomTime(10 * time.Second)
	case 3, 4, 5:
		c.syncTime[h.id] = 0
	case 6, 7, 8:
		if h.alive {
			c.stop(h, c.chance(2))
			return
		}
		c.start(h)
	case 9:
		for _, id := range c.ids() {
			if other := c.hosts[id]; other.alive {
				c.stop(other, true)
				c.start(other)
			}
		}
	case 10, 11:
		other := c.randomHost()
		c.blockedPaths[[2]string{h.id, other.id}] = true
	case 12, 13:
		c.blockedPaths = map[[2]string]bool{}
	case 14, 15, 16:
		c.step(h, consensus.TransferLeadership{})
	case 17:
		c.compactNow(h)
	case 18:
		c.changeMembers(h)
	default:
		if l := c.leader(); l != nil {
			c.propose(l, fmt.Sprint("command-", c.lastToken))
			c.confirm(l)
		}
		if h.replica.IsLeader() {
			c.propose(h, fmt.Sprint("command-", c.lastToken))
			c.confirm(h)
		}
	}
}

func (c *faultyCluster) confirm(h *host) {
	c.lastToken++
	c.committedBefore[c.lastToken] = len(c.committed)
	c.step(h, consensus.ConfirmLeadership{
		Token: c.lastToken,
	})
}

// compactNow makes a snapshot of what a host has applied, after the sync under way.
func (c *faultyCluster) compactNow(h *host) {
	if !h.alive {
		return
	}
	if s := c.syncs[h.id]; s != nil {
		c.endSync(h, s)
	}
	h.isDirty = false
	c.compact(h)
}

// changeMembers removes a member, or adds a host, at times in place of another one. It
// removes no leader, and leaves two voters.
func (c *faultyCluster) changeMembers(old *host) {
	l := c.leader()
	if l == nil || l == old || l.replica.Members().Voters() <= 2 {
		return
	}
	c.lastToken++
	if c.chance(4) {
		c.step(l, consensus.ChangeMembers{
			Token: c.lastToken,
			Change: member.Remove{
				ID: old.id,
			},
		})
		return
	}
	id := fmt.Sprint("c", c.nextID)
	c.nextID++
	replaced := ""
	if c.chance(2) {
		replaced = old.id
	}
	c.addHost(id)
	c.step(l, consensus.ChangeMembers{
		Token: c.lastToken,
		Change: member.Add{
			Member: member.Member{
				ID:       id,
				Address:  id,
				Replaces: replaced,
			},
		},
	})
}

// calm ends the faults: all hosts run, and their disks have a sync time that is bearable.
func (c *faultyCluster) calm() {
	c.isCalm = true
	c.blockedPaths = map[[2]string]bool{}
	syncTime := slowSyncTimes[c.rng.IntN(len(slowSyncTimes))]
	for _, id := range c.ids() {
		h := c.hosts[id]
		c.syncTime[id] = syncTime
		if s := c.syncs[id]; s != nil && s.endsAt.After(c.now.Add(syncTime)) {
			s.endsAt = c.now.Add(syncTime)
		}
		if !h.alive {
			c.start(h)
		}
	}
}

// runUntilLed lets time pass until a host holds a lease, and returns false if none does in
// time.
func (c *faultyCluster) runUntilLed() bool {
	for end := c.now.Add(calmBound); c.now.Before(end) && len(c.violations) == 0; c.run(tickInterval) {
		if l := c.leader(); l != nil && l.replica.HasLease(c.now) {
			return true
		}
	}
	return false
}

// playFaults returns what is wrong after a time with faults and a calm one; "" if nothing
// is.
func playFaults(seed uint64) string {
	c := newFaultyCluster(seed)
	c.run(12 * time.Second)
	c.calm()
	hasLed := c.runUntilLed()
	c.run(recoveryBound)
	if len(c.violations) > 0 {
		return fmt.Sprintf("seed %d: %s", seed, c.violations[0])
	}
	// A member that is replaced may have become the leader.
	if !hasLed || !c.runUntilLed() {
		return fmt.Sprintf("seed %d: no leader in the calm\n%s", seed, c)
	}
	l := c.leader()
	for command, index := range c.acknowledged {
		if int(index) > len(l.applied) || !endsWithCommand(l.applied[index-1], command) {
			return fmt.Sprintf("seed %d: acknowledged command %q at index %d is lost", seed, command, index)
		}
	}
	return c.checkLevel(seed)
}

// checkLevel returns what is wrong if a member does not get a further command in the calm;
// "" if nothing is. One that takes no entries must take them again.
func (c *faultyCluster) checkLevel(seed uint64) string {
	c.propose(c.leader(), "last")
	c.run(recoveryBound)
	l := c.leader()
	if _, ok := c.acknowledged["last"]; !ok || l == nil {
		return fmt.Sprintf("seed %d: the last command is not acknowledged\n%s", seed, c)
	}
	for _, m := range l.replica.Members().Members {
		if p, ok := l.replica.Progress(m.ID); !ok || p.Match < c.acknowledged["last"] {
			return fmt.Sprintf("seed %d: %s lacks the last command\n%s", seed, m.ID, c)
		}
	}
	return ""
}

var _ = Describe("Replicas with slow disks, late messages, restarts and changes of members", func() {
	It("lose no committed entry, confirm no stale state and elect a leader in the calm", func() {
		var failed []string
		for seed := range uint64(faultSeeds) {
			if text := playFaults(firstFaultSeed + seed); text != "" {
				failed = append(failed, text)
			}
		}
		Expect(failed).To(BeEmpty())
	})
})

const (
	firstFaultSeed = 1
	faultSeeds     = 40
	// calmBound is how long a leader may be missing in the calm, which may begin in an
	// election that no candidate wins.
	calmBound = 2 * recoveryBound
)
