package powerloss_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/member"
)

const (
	electionTimeout = 500 * time.Millisecond
	tickInterval    = 20 * time.Millisecond
	// trailingEntries is the number of entries that stay in the log before a snapshot.
	trailingEntries = 4
	groupSize       = 5
)

// A machine runs one replica on a disk of its own. A machine whose disk is lost comes
// back with another identity.
type machine struct {
	address string
	disk    *lossyDisk
	isUp    bool
	folder  *disk.Folder
	log     *disk.Log
	writer  *disk.Writer
	replica consensus.Replica
	// queue holds the operations for the writer, and events what it has reported.
	queue   []disk.Operation
	events  []consensus.Event
	applied []string
	// hangsUntil is when the disk goes on.
	hangsUntil time.Time
	// killWriter ends the process of a writer that waits for room.
	killWriter func()
}

// A group is a set of machines and the network between them, with a record of what
// they did.
type group struct {
	now      time.Time
	random   *rand.Rand
	machines []*machine
	inFlight []consensus.Message
	proposed int
	// appended holds the index and the term of each entry that a leader has appended for a
	// client.
	appended map[[2]uint64]bool
	// acknowledged holds the entries that a leader has answered for.
	acknowledged map[uint64]string
	// votes holds the candidate that a voter chose in a term.
	votes      map[string]string
	violations []string
	// fulls is the number of times that a writer found its disk full.
	fulls int
}

func newGroup(seed uint64) *group {
	g := &group{
		now:          time.Unix(1_700_000_000, 0),
		random:       rand.New(rand.NewPCG(seed, 1)),
		appended:     map[[2]uint64]bool{},
		acknowledged: map[uint64]string{},
		votes:        map[string]string{},
	}
	for i := range groupSize {
		g.machines = append(g.machines, &machine{
			address: fmt.Sprintf("c%d", i+1),
			disk:    newLossyDisk(GinkgoT().TempDir(), seed*groupSize+uint64(i)),
		})
		g.start(g.machines[i])
	}
	first := g.machines[0]
	g.step(first, consensus.FormGroup{
		Group: "g",
		Self: member.Member{
			ID:      first.folder.ID(),
			Address: first.address,
		},
	})
	return g
}

func (g *group) report(format string, args ...any) {
	g.violations = append(g.violations, g.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// start starts a process on a machine. It may be killed before it has read its folder.
func (g *group) start(m *machine) {
	var r disk.Recovered
	var err error
	m.folder, err = disk.OpenFolder(disk.FolderConfig{
		Path:  m.disk.root,
		Files: m.disk,
	})
	if err == nil {
		m.log, r, err = disk.Recover(m.folder)
	}
	if err != nil {
		if m.disk.operationsLeft != 0 && !m.disk.syncFails && !m.disk.isFull {
			g.report("%s does not start: %v", m.address, err)
		}
		m.stop()
		return
	}
	m.isUp = true
	m.writer = disk.NewWriter(disk.WriterConfig{
		Folder: m.folder,
		Log:    m.log,
		EntriesSynced: func(e consensus.Entry) {
			m.events = append(m.events, consensus.EntriesSynced{
				Index: e.Index,
				Term:  e.Term,
			})
		},
		HardStateSynced: func(hard consensus.HardState) {
			if hard.Vote == m.folder.ID() {
				g.recordVote(hard.Vote, hard.Term, hard.Vote)
			}
			m.events = append(m.events, consensus.HardStateSynced{
				Hard: hard,
			})
		},
		FullChanged: func(r disk.FullReport) {
			if r.Err == nil {
				return
			}
			g.fulls++
			if m.disk.isFull = !g.happens(4); m.disk.isFull {
				m.killWriter()
			}
		},
		ReserveBytes: 256,
		QueueLength:  1 << 12,
	})
	m.applied = decodeApplied(r.State)
	m.replica = consensus.NewReplica(g.now, consensus.Config{
		ID:              m.folder.ID(),
		ElectionTimeout: electionTimeout,
		Heartbeat:       electionTimeout / 5,
		MaxBatchEntries: 8,
		MaxBatchBytes:   1 << 16,
		MaxUncommitted:  1 << 10,
		MaxApplyEntries: 8,
		MaxApplyBytes:   1 << 16,
	}, r.StoredState)
}

func decodeApplied(state []byte) (applied []string) {
	if state != nil {
		Expect(json.Unmarshal(state, &applied)).To(Succeed())
	}
	return applied
}

// stop ends the process of a machine. Its disk keeps what the kernel holds.
func (m *machine) stop() {
	if m.log != nil {
		Expect(m.log.Close()).To(Succeed())
	}
	if m.folder != nil {
		Expect(m.folder.Close()).To(Succeed())
	}
	m.folder, m.log, m.queue, m.events, m.isUp = nil, nil, nil, nil, false
	m.disk.operationsLeft, m.disk.syncFails = -1, false
}

func (m *machine) losePower(allGone bool) {
	m.stop()
	m.disk.losePower(allGone)
}

// loseDisk ends the process of a machine and removes everything from its disk.
func (m *machine) loseDisk() {
	m.stop()
	Expect(os.RemoveAll(m.disk.root)).To(Succeed())
	Expect(os.MkdirAll(m.disk.root, 0o700)).To(Succeed())
	m.disk.content, m.disk.durable, m.disk.changes = map[string]*lossyFile{}, map[string]*lossyFile{}, nil
}

func (g *group) step(m *machine, e consensus.Event) {
	if !m.isUp {
		return
	}
	var effects []consensus.Effect
	m.replica, effects = m.replica.Step(g.now, e)
	for _, f := range effects {
		g.perform(m, f)
	}
}

func (g *group) perform(m *machine, f consensus.Effect) {
	switch f := f.(type) {
	case consensus.Persist:
		m.queue = append(m.queue, disk.Append{
			Persist: f,
		})
	case consensus.Send:
		if !f.AfterSync {
			g.send(f.Message)
			return
		}
		_, isVote := f.Message.Body.(consensus.VoteReply)
		m.queue = append(m.queue, disk.After{
			Run:                func() { g.send(f.Message) },
			NeedsOnlyHardState: isVote,
		})
	case consensus.Apply:
		g.apply(m, f.Entries)
	case consensus.Appended:
		g.appended[[2]uint64{f.Index, f.Term}] = true
	case consensus.SendSnapshot:
		g.sendSnapshot(m, f)
	case consensus.RoleChanged:
		if m.replica.IsLeader() {
			g.recordVote(m.folder.ID(), f.Term, m.folder.ID())
		}
	case consensus.InstallSnapshot, consensus.Refused:
	}
}

// send puts a message on the network and records the vote that it gives. A request for
// votes gives none: the candidate's own vote counts once it is durable.
func (g *group) send(msg consensus.Message) {
	g.inFlight = append(g.inFlight, msg)
	if reply, ok := msg.Body.(consensus.VoteReply); ok && reply.Granted && !reply.PreVote {
		g.recordVote(msg.From, msg.Term, msg.To)
	}
}

// recordVote records a vote that was given, or that counts for the voter itself.
func (g *group) recordVote(voter string, term uint64, candidate string) {
	key := fmt.Sprintf("%s in term %d", voter, term)
	if before, ok := g.votes[key]; ok && before != candidate {
		g.report("%s voted for %s and %s", key, before, candidate)
	}
	g.votes[key] = candidate
}

// apply applies committed entries. A leader answers for those that it has appended.
func (g *group) apply(m *machine, entries []consensus.Entry) {
	for _, e := range entries {
		text := fmt.Sprintf("%d/%v", e.Term, e.Payload)
		m.applied = append(m.applied, text)
		if len(m.applied) != int(e.Index) {
			g.report("%s applied entry %d as its number %d", m.address, e.Index, len(m.applied))
		}
		if before, ok := g.acknowledged[e.Index]; ok && before != text {
			g.report("%s applied %q at %d, where %q was acknowledged", m.address, text, e.Index, before)
		}
		if m.replica.IsLeader() && g.appended[[2]uint64{e.Index, e.Term}] {
			g.acknowledged[e.Index] = text
		}
	}
}

// sendSnapshot sends the last snapshot of a machine through the files of both.
func (g *group) sendSnapshot(m *machine, f consensus.SendSnapshot) {
	m.events = append(m.events, consensus.SnapshotSent{
		To: f.To,
	})
	to := g.machineOf(f.To)
	if to == nil || g.random.IntN(4) == 0 {
		return
	}
	file, err := m.folder.OpenSnapshot()
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	chunk, isLast, err := m.folder.ReadSnapshotChunk(file, 0, 1<<20)
	Expect(err).NotTo(HaveOccurred())
	Expect(isLast).To(BeTrue())
	if err = to.folder.WriteSnapshotChunk(0, chunk); err != nil {
		to.stop()
		return
	}
	s, err := to.folder.LoadReceivedSnapshot()
	if err != nil {
		to.stop()
		return
	}
	g.installSnapshot(to, s, consensus.Message{
		From:  m.folder.ID(),
		To:    f.To,
		Group: f.Group,
		Term:  f.Term,
	})
}

func (g *group) installSnapshot(to *machine, s disk.Snapshot, msg consensus.Message) {
	if to.replica.Group() != msg.Group {
		return
	}
	next, effects := to.replica.Step(g.now, consensus.SnapshotReceived{
		Message: msg,
		Meta:    s.Meta,
	})
	to.replica = next
	for _, f := range effects {
		if _, ok := f.(consensus.InstallSnapshot); ok {
			to.applied = decodeApplied(s.State)
			to.queue = append(to.queue, disk.SaveSnapshot{
				Snapshot:  s,
				KeepAfter: disk.KeepNone,
				Done:      func() {},
			})
			continue
		}
		g.perform(to, f)
	}
}

// saveSnapshot queues a snapshot of what a machine has applied.
func (g *group) saveSnapshot(m *machine) {
	index := uint64(len(m.applied))
	term, ok := m.replica.Log().Term(index)
	if !ok || index <= m.replica.Log().BaseIndex()+trailingEntries {
		return
	}
	state, err := json.Marshal(m.applied)
	Expect(err).NotTo(HaveOccurred())
	m.queue = append(m.queue, disk.SaveSnapshot{
		Snapshot: disk.Snapshot{
			Meta: consensus.SnapshotMeta{
				Index:   index,
				Term:    term,
				Members: m.replica.MembersAt(index),
			},
			State: state,
		},
		KeepAfter: index - trailingEntries,
		Done: func() {
			m.events = append(m.events, consensus.Compacted{
				Index: index - trailingEntries,
			})
		},
	})
}

// runWriter lets the writer of a machine perform what is queued. A kill or a disk that
// fails ends the process.
func (g *group) runWriter(m *machine) {
	if !m.isUp {
		return
	}
	if len(m.queue) > 0 {
		ctx, cancel := context.WithCancel(context.Background())
		isKilled := false
		m.killWriter = func() {
			isKilled = true
			cancel()
		}
		for _, op := range m.queue {
			Expect(m.writer.Enqueue(ctx, op)).To(BeTrue())
		}
		m.queue = nil
		Expect(m.writer.Enqueue(ctx, disk.After{
			Run: cancel,
		})).To(BeTrue())
		err := m.writer.Run(ctx)
		cancel()
		if err != nil || isKilled {
			m.stop()
			return
		}
	}
	events := m.events
	m.events = nil
	for _, e := range events {
		g.step(m, e)
	}
}

func (g *group) machineOf(id string) *machine {
	i := slices.IndexFunc(g.machines, func(m *machine) bool { return m.isUp && m.folder.ID() == id })
	if i < 0 {
		return nil
	}
	return g.machines[i]
}

func (g *group) leader() *machine {
	i := slices.IndexFunc(g.machines, func(m *machine) bool { return m.isUp && m.replica.IsEstablishedLeader() })
	if i < 0 {
		return nil
	}
	return g.machines[i]
}
