package consensus_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

const (
	electionTimeout = 500 * time.Millisecond
	heartbeat       = 100 * time.Millisecond
)

// A host is one replica with a simulated disk, which loses in a crash what was
// written but not synced.
type host struct {
	id      string
	replica consensus.Replica
	alive   bool
	// written includes what was not synced; disk survives a crash.
	written consensus.StoredState
	disk    consensus.StoredState
	// snapshot is what the host had applied up to its snapshot on the disk, and
	// writtenSnapshot the same for its written snapshot.
	snapshot        []string
	writtenSnapshot []string
	// isDirty is true if something was written since the last sync of a slow disk began.
	isDirty bool
	// isFull is true while nothing that the host writes becomes durable.
	isFull bool
	// refusesSnapshots is true while the transfers of snapshots to the host fail.
	refusesSnapshots bool
	// awaitingSync holds messages that may be sent once the disk is synced.
	awaitingSync []consensus.Message
	applied      []string
	// isSuspended is true while the host's clock stands still and what is sent to it
	// waits in inbox; lag is how much its clock is behind because of that.
	isSuspended bool
	suspendedAt time.Time
	lag         time.Duration
	inbox       []consensus.Message
	// failedElections holds the rounds of its elections that failed.
	failedElections []consensus.ElectionFailed
}

// A cluster is a set of hosts and the network between them, with a record of
// what they did.
type cluster struct {
	// cfg is the configuration of each host, but for its identity.
	cfg      consensus.Config
	now      time.Time
	hosts    map[string]*host
	inFlight []consensus.Message
	// leaderOfTerm holds the leader seen in each term.
	leaderOfTerm map[uint64]string
	// entryAt holds the first entry that a replica wrote with each index and term.
	entryAt map[[2]uint64]string
	// committed holds the entries that were applied first at each index.
	committed []string
	// violations describes each breach of a safety invariant.
	violations []string
	lastToken  uint64
	// acknowledged holds the commands that a leader has applied, with their
	// index.
	acknowledged    map[string]uint64
	pendingCommands map[uint64]string
	appendedByToken map[uint64]consensus.Appended
	blockedLinks    map[[2]string]bool
	// blockedPaths holds the pairs of a sender and a receiver to which nothing of it
	// gets through.
	blockedPaths map[[2]string]bool
	// committedBefore holds for each request to confirm a leadership how many entries
	// any host had applied before it; confirmed counts those that were confirmed.
	committedBefore map[uint64]int
	confirmed       int
	// hasStoodStill is true once a host was suspended: leases do not hold then.
	hasStoodStill bool
	// arriving is what the sender of the snapshot that a host receives had applied.
	arriving []string
}

func newCluster(n int, cfg consensus.Config) *cluster {
	c := &cluster{
		cfg:             cfg,
		now:             time.Unix(1_700_000_000, 0),
		hosts:           map[string]*host{},
		leaderOfTerm:    map[uint64]string{},
		entryAt:         map[[2]uint64]string{},
		acknowledged:    map[string]uint64{},
		pendingCommands: map[uint64]string{},
		appendedByToken: map[uint64]consensus.Appended{},
		blockedLinks:    map[[2]string]bool{},
		blockedPaths:    map[[2]string]bool{},
		committedBefore: map[uint64]int{},
	}
	for i := range n {
		c.addHost(fmt.Sprintf("c%d", i+1))
	}
	return c
}

func (c *cluster) addHost(id string) {
	c.hosts[id] = &host{
		id:    id,
		alive: true,
	}
	c.start(c.hosts[id])
}

func config(id string) consensus.Config {
	return consensus.Config{
		ID:                  id,
		ElectionTimeout:     electionTimeout,
		Heartbeat:           heartbeat,
		MaxBatchEntries:     8,
		MaxBatchBytes:       1 << 16,
		MaxUncommitted:      1 << 10,
		MaxUncommittedBytes: 1 << 16,
		MaxCommandBytes:     1 << 15,
		MaxInflightBytes:    1 << 14,
		MaxApplyEntries:     8,
		MaxApplyBytes:       1 << 16,
	}
}

func (c *cluster) start(h *host) {
	h.alive = true
	h.written = h.disk
	h.written.Entries = slices.Clone(h.disk.Entries)
	h.writtenSnapshot = h.snapshot
	h.awaitingSync = nil
	h.applied = slices.Clone(h.snapshot)
	h.isSuspended, h.inbox = false, nil
	cfg := c.cfg
	cfg.ID = h.id
	h.replica = consensus.NewReplica(c.now.Add(-h.lag), cfg, h.written)
}

func (c *cluster) crash(h *host) {
	h.alive = false
	h.awaitingSync = nil
}

func (c *cluster) ids() []string {
	var ids []string
	for id := range c.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *cluster) step(h *host, e consensus.Event) {
	if !h.alive {
		return
	}
	if h.isSuspended {
		if m, ok := e.(consensus.MessageReceived); ok {
			h.inbox = append(h.inbox, m.Message)
		}
		return
	}
	next, effects := h.replica.Step(c.now.Add(-h.lag), e)
	h.replica = next
	for _, f := range effects {
		c.perform(h, f)
	}
	c.checkInvariants(h)
}

func (c *cluster) perform(h *host, f consensus.Effect) {
	switch f := f.(type) {
	case consensus.Persist:
		c.checkEntries(h, f.Entries)
		h.persist(f)
	case consensus.Send:
		if f.AfterSync {
			h.awaitingSync = append(h.awaitingSync, f.Message)
			return
		}
		c.inFlight = append(c.inFlight, f.Message)
	case consensus.Apply:
		c.apply(h, f.Entries)
	case consensus.SendSnapshot:
		c.sendSnapshot(h, f)
	case consensus.Appended:
		c.appendedByToken[f.Token] = f
	case consensus.Refused:
		delete(c.pendingCommands, f.Token)
	case consensus.LeadershipConfirmed:
		c.confirmed++
		if len(h.applied) < c.committedBefore[f.Token] {
			c.reportViolation("%s confirmed a state of %d entries, %d were applied before", h.id, len(h.applied), c.committedBefore[f.Token])
		}
	case consensus.InstallSnapshot:
		h.installSnapshot(f.Meta, c.arriving)
	case consensus.ElectionFailed:
		h.failedElections = append(h.failedElections, f)
	case consensus.RoleChanged:
	}
}

// checkEntries checks that entries with the same index and term are the same everywhere.
func (c *cluster) checkEntries(h *host, entries []consensus.Entry) {
	for _, e := range entries {
		key := [2]uint64{
			e.Index,
			e.Term,
		}
		text := fmt.Sprint(e.Payload)
		if first, ok := c.entryAt[key]; ok && first != text {
			c.reportViolation("%s wrote %q at index %d of term %d, where others wrote %q", h.id, text, e.Index, e.Term, first)
		}
		c.entryAt[key] = text
	}
}

// apply records committed entries and checks that every host applies the same
// ones in the same order.
func (c *cluster) apply(h *host, entries []consensus.Entry) {
	for _, e := range entries {
		text := fmt.Sprintf("%d/%v", e.Term, e.Payload)
		h.applied = append(h.applied, text)
		i := int(e.Index) - 1
		if len(h.applied) != int(e.Index) {
			c.reportViolation("%s applied the entry at index %d as its entry number %d", h.id, e.Index, len(h.applied))
		}
		switch {
		case i < len(c.committed) && c.committed[i] != text:
			c.reportViolation("%s applied %q at index %d, where others applied %q", h.id, text, e.Index, c.committed[i])
		case i == len(c.committed):
			c.committed = append(c.committed, text)
		case i > len(c.committed):
			c.reportViolation("%s applied the entry at index %d before any host applied the one at %d", h.id, e.Index, len(c.committed)+1)
		}
		c.acknowledge(h, e)
	}
}

func (c *cluster) acknowledge(h *host, e consensus.Entry) {
	for token, a := range c.appendedByToken {
		if a.Index == e.Index && a.Term == e.Term && h.replica.IsLeader() {
			if command, ok := c.pendingCommands[token]; ok {
				c.acknowledged[command] = e.Index
				delete(c.pendingCommands, token)
			}
		}
	}
}

func (c *cluster) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkInvariants checks after a host's step that each term has one leader and
// that at most one replica holds a lease.
func (c *cluster) checkInvariants(h *host) {
	if h.replica.IsLeader() {
		term := h.replica.Hard().Term
		if other, ok := c.leaderOfTerm[term]; ok && other != h.id {
			c.reportViolation("two leaders in term %d: %s and %s", term, other, h.id)
		}
		c.leaderOfTerm[term] = h.id
	}
	if c.hasStoodStill {
		return
	}
	holders := 0
	for _, other := range c.hosts {
		if other.alive && other.replica.HasLease(c.now) {
			holders++
		}
	}
	if holders > 1 {
		c.reportViolation("%d leaders hold a lease at the same time", holders)
	}
}

func (c *cluster) leader() *host {
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.alive && h.replica.IsEstablishedLeader() {
			return h
		}
	}
	return nil
}

func (c *cluster) propose(h *host, command string) {
	c.lastToken++
	c.pendingCommands[c.lastToken] = command
	c.step(h, consensus.Propose{
		Proposals: []consensus.Proposal{
			{
				Token: c.lastToken,
				Bytes: []byte(command),
			},
		},
	})
}

// runWithoutFaults lets time pass while every message that is not blocked
// arrives.
func (c *cluster) runWithoutFaults(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		for i, id := range c.ids() {
			h := c.hosts[id]
			c.step(h, consensus.Tick{
				Jitter: time.Duration((c.now.UnixMilli()/7+int64(i*97))%500) * time.Millisecond,
			})
			c.sync(h)
		}
		c.deliverAll()
	}
}

func (c *cluster) deliverAll() {
	for round := 0; len(c.inFlight) > 0 && round < 100; round++ {
		inFlight := c.inFlight
		c.inFlight = nil
		for _, msg := range inFlight {
			c.deliver(msg)
		}
		for _, id := range c.ids() {
			c.sync(c.hosts[id])
		}
	}
}

func (c *cluster) deliver(msg consensus.Message) {
	isBlocked := c.blockedLinks[linkBetween(msg.From, msg.To)] || c.blockedPaths[[2]string{msg.From, msg.To}]
	if h := c.hosts[msg.To]; h != nil && !isBlocked {
		c.step(h, consensus.MessageReceived{
			Message: msg,
		})
	}
}

// linkBetween returns the key of the link between two hosts, in either order.
func linkBetween(a, b string) [2]string {
	return [2]string{
		min(a, b),
		max(a, b),
	}
}

// newFormedCluster returns a cluster whose hosts are all voters of one group.
func newFormedCluster(n int) *cluster {
	return newConfiguredCluster(n, config(""))
}

// newConfiguredCluster returns a formed cluster with the given configuration.
func newConfiguredCluster(n int, cfg consensus.Config) *cluster {
	c := newCluster(n, cfg)
	c.step(c.hosts["c1"], consensus.FormGroup{
		Group: "g",
		Self: member.Member{
			ID:      "c1",
			Address: "c1",
		},
	})
	c.runWithoutFaults(time.Second)
	for i := 2; i <= n; i++ {
		c.addMember(fmt.Sprintf("c%d", i), "")
	}
	return c
}

func (c *cluster) addMember(id, replaces string) {
	c.step(c.leader(), consensus.ChangeMembers{
		Change: member.Add{
			Member: member.Member{
				ID:       id,
				Address:  id,
				Replaces: replaces,
			},
		},
	})
	c.runWithoutFaults(2 * time.Second)
}

// String describes the state of every host, for the message of a failed test.
func (c *cluster) String() string {
	text := ""
	for _, id := range c.ids() {
		h := c.hosts[id]
		l := h.replica.Log()
		text += fmt.Sprintf("%s alive=%t role=%s term=%d leader=%s log=%d..%d/%d commit=%d disk=%d voters=%d\n",
			id, h.alive, consensus.RoleName(h.replica.Role()), h.replica.Hard().Term, h.replica.Leader(),
			l.BaseIndex(), l.LastIndex(), l.LastTerm(), h.replica.CommitIndex(), h.disk.Snapshot.Index,
			h.replica.Members().Voters())
		for _, other := range c.ids() {
			if p, ok := h.replica.Progress(other); ok {
				text += fmt.Sprintf("  %s match=%d next=%d probing=%t\n", other, p.Match, p.Next, p.Probing)
			}
		}
	}
	return text
}
