// Package consensus holds the rules by which the controllers agree on one log:
// a replica is an immutable value, and Step returns the next value and what is
// to be done. It does no input or output and reads no clock.
package consensus

import (
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// A Config describes a Replica.
type Config struct {
	// ID is the identity of the replica's disk.
	ID string
	// ElectionTimeout is the least time without a leader before an election.
	// A vote is refused for as long after a leader was heard.
	ElectionTimeout time.Duration
	// Heartbeat is the period of a leader's messages.
	Heartbeat time.Duration
	// MaxBatchEntries bounds the entries of one message.
	MaxBatchEntries int
	// MaxBatchBytes bounds the data of one message.
	MaxBatchBytes int
	// MaxUncommitted bounds the entries that wait for a majority.
	MaxUncommitted uint64
}

// A StoredState value is what the disk held when the process started.
type StoredState struct {
	// Hard is the last term and vote.
	Hard HardState
	// Snapshot describes the last snapshot; its zero value means none.
	Snapshot SnapshotMeta
	// Entries holds the entries behind the snapshot.
	Entries []Entry
}

// memberSet is a set of members and the entry that brought it.
type memberSet struct {
	index uint64
	set   member.Set
}

// A Replica is one controller's view of the replicated log.
type Replica struct {
	cfg        Config
	hard       HardState
	log        Log
	commit     uint64
	handed     uint64
	synced     uint64
	sets       []memberSet
	joining    string
	role       Role
	leader     string
	heard      time.Time
	electionAt time.Time
	jitter     time.Duration
	beatAt     time.Time
}

// NewReplica returns a replica as its disk remembers it. It counts a leader as
// just heard, so that a restart cannot break a lease.
func NewReplica(now time.Time, cfg Config, saved StoredState) Replica {
	r := Replica{
		cfg:        cfg,
		hard:       saved.Hard,
		log:        NewLog(saved.Snapshot.Index, saved.Snapshot.Term),
		commit:     saved.Snapshot.Index,
		handed:     saved.Snapshot.Index,
		role:       Follower{},
		heard:      now,
		electionAt: now.Add(cfg.ElectionTimeout),
		sets: []memberSet{
			{
				index: saved.Snapshot.Index,
				set:   saved.Snapshot.Members,
			},
		},
	}
	for _, e := range saved.Entries {
		r = r.withEntry(e)
	}
	r.synced = r.log.LastIndex()
	return r
}

// Members returns the set of members that is in force.
func (r Replica) Members() member.Set {
	return r.sets[len(r.sets)-1].set
}

// MembersAt returns the set of members at an entry.
func (r Replica) MembersAt(index uint64) member.Set {
	set := r.sets[0].set
	for _, s := range r.sets {
		if s.index <= index {
			set = s.set
		}
	}
	return set
}

// Group returns the name of the group that the replica belongs to or is being
// brought into, empty for none.
func (r Replica) Group() string {
	if group := r.Members().Group; group != "" {
		return group
	}
	return r.joining
}

// Role returns the replica's role.
func (r Replica) Role() Role {
	return r.role
}

// IsLeader reports whether the replica leads.
func (r Replica) IsLeader() bool {
	_, ok := r.role.(Leader)
	return ok
}

// Leader returns the identity of the leader, empty if unknown.
func (r Replica) Leader() string {
	return r.leader
}

// Hard returns the replica's term and vote.
func (r Replica) Hard() HardState {
	return r.hard
}

// Log returns the replica's log.
func (r Replica) Log() Log {
	return r.log
}

// CommitIndex returns the last entry known to be committed.
func (r Replica) CommitIndex() uint64 {
	return r.commit
}

// IsEstablishedLeader reports whether the replica leads and has committed an entry of its
// own term, so that it holds every committed entry.
func (r Replica) IsEstablishedLeader() bool {
	l, ok := r.role.(Leader)
	return ok && r.commit >= l.termStart
}

// LeaseExpiry returns when the leader's right to answer from its own state
// ends: no other leader can exist before. It is the zero time for a replica
// that does not lead.
func (r Replica) LeaseExpiry(now time.Time) time.Time {
	l, ok := r.role.(Leader)
	if !ok || l.transferTo != "" {
		return time.Time{}
	}
	acked := l.quorumAcked(now, r.cfg.ID, r.Members())
	if acked.IsZero() {
		return time.Time{}
	}
	return acked.Add(r.cfg.ElectionTimeout * leaseShare / leaseWhole)
}

// A lease is 9/10 of the election timeout, for clocks that drift.
const (
	leaseShare = 9
	leaseWhole = 10
)

// HasLease reports whether the replica may answer from its own state.
func (r Replica) HasLease(now time.Time) bool {
	return r.IsEstablishedLeader() && now.Before(r.LeaseExpiry(now))
}

// Progress returns what a leader knows of a member.
func (r Replica) Progress(id string) (Progress, bool) {
	l, ok := r.role.(Leader)
	if !ok {
		return Progress{}, false
	}
	p, ok := l.progress[id]
	return p, ok
}

// Step returns the replica after an event and what is to be done.
func (r Replica) Step(now time.Time, e Event) (Replica, []Effect) {
	before := r
	var out []Effect
	switch e := e.(type) {
	case Tick:
		r.jitter = e.Jitter
		r, out = r.stepTick(now)
	case MessageReceived:
		r, out = r.stepReceive(now, e.Message)
	case Propose:
		r, out = r.stepPropose(now, e)
	case ChangeMembers:
		r, out = r.stepChange(now, e)
	case FormGroup:
		r, out = r.stepForm(now, e)
	case EntriesSynced:
		r = r.stepSynced(e)
	case Compacted:
		r = r.stepCompacted(e)
	case SnapshotReceived:
		r, out = r.stepSnapshot(now, e)
	case TransferLeadership:
		r, out = r.stepTransfer(now)
	}
	r, out = r.handCommitted(out)
	if r.leader != before.leader || r.hard.Term != before.hard.Term || RoleName(r.role) != RoleName(before.role) {
		out = append(out, RoleChanged{
			Role:   RoleName(r.role),
			Term:   r.hard.Term,
			Leader: r.leader,
		})
	}
	return r, out
}

// handCommitted hands over the entries that were committed since.
func (r Replica) handCommitted(out []Effect) (Replica, []Effect) {
	if r.commit <= r.handed {
		return r, out
	}
	entries := r.log.Slice(r.handed+1, int(r.commit-r.handed), maxInt)
	r.handed = r.commit
	return r, append(out, Apply{
		Entries: entries,
	})
}

const maxInt = int(^uint(0) >> 1)

func (r Replica) stepCompacted(e Compacted) Replica {
	if e.Index <= r.log.BaseIndex() || e.Index > r.handed {
		return r
	}
	set := r.MembersAt(e.Index)
	kept := []memberSet{
		{
			index: e.Index,
			set:   set,
		},
	}
	for _, s := range r.sets {
		if s.index > e.Index {
			kept = append(kept, s)
		}
	}
	r.sets = kept
	r.log = r.log.Compacted(e.Index)
	return r
}

// withEntry returns r with an entry at the end of its log.
func (r Replica) withEntry(e Entry) Replica {
	r.log = r.log.WithEntry(e)
	if m, ok := e.Payload.(Members); ok {
		r.sets = append(r.sets[:len(r.sets):len(r.sets)], memberSet{
			index: e.Index,
			set:   m.Set,
		})
	}
	return r
}

// truncated returns r without the entries from an index on.
func (r Replica) truncated(from uint64) Replica {
	r.log = r.log.Truncated(from)
	r.synced = min(r.synced, from-1)
	n := len(r.sets)
	for n > 1 && r.sets[n-1].index >= from {
		n--
	}
	r.sets = r.sets[:n:n]
	return r
}

// withTimer returns r with its election timer wound up anew. Every reset has
// the jitter, since replicas that were reset by the same message would start
// their elections together and split the votes.
func (r Replica) withTimer(now time.Time) Replica {
	r.electionAt = now.Add(r.cfg.ElectionTimeout + r.jitter)
	return r
}

// withTerm returns r as a follower in a later term.
func (r Replica) withTerm(term uint64) Replica {
	r.hard = HardState{
		Term: term,
	}
	r.role = Follower{}
	r.leader = ""
	return r
}

func (r Replica) letter(to string, m Body) Message {
	return Message{
		From:  r.cfg.ID,
		To:    to,
		Group: r.Group(),
		Term:  r.hard.Term,
		Body:  m,
	}
}

func (r Replica) send(to string, m Body) Effect {
	return Send{
		Message: r.letter(to, m),
	}
}

// sendDurably sends a message once all that was persisted is durable.
func (r Replica) sendDurably(to string, m Body) Effect {
	return Send{
		Message:   r.letter(to, m),
		AfterSync: true,
	}
}

func (r Replica) persistHard() Effect {
	return Persist{
		Hard: r.hard,
	}
}
