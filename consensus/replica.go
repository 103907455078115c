// Package consensus implements the Raft algorithm by which the controllers
// agree on one log. A Replica is an immutable value: Step takes an event and
// returns the next value with the effects for the caller to perform. The
// package does no input or output and reads no clock.
package consensus

import (
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// A StoredState is what the disk held when the process started.
type StoredState struct {
	// Hard is the last stored term and vote.
	Hard HardState
	// Snapshot describes the last snapshot; the zero value means none.
	Snapshot SnapshotMeta
	// Entries holds the entries after the snapshot.
	Entries []Entry
}

// membershipEntry is a set of members and the index of the log entry that
// introduced it.
type membershipEntry struct {
	index uint64
	set   member.Set
}

// A Replica is one controller's state in the Raft algorithm.
type Replica struct {
	cfg          Config
	hardState    HardState
	syncedHard   HardState
	log          Log
	commitIndex  uint64
	appliedIndex uint64
	syncedIndex  uint64
	// syncBeganAt is when the disk began to sync the entries after syncedIndex: when it
	// got the first of them, or at the end of the sync before.
	syncBeganAt time.Time
	// memberships holds the set of members at the base entry of the log and
	// those of later entries, the latest last.
	memberships []membershipEntry
	// joiningGroup is the group of the leader that adds this replica, until the
	// log holds a set of members.
	joiningGroup string
	role         Role
	leaderID     string
	// leaderContactAt is when the replica last heard from a leader.
	leaderContactAt  time.Time
	search           search
	electionDeadline time.Time
	electionJitter   time.Duration
	heartbeatDue     time.Time
	// tickedAt is the time of the last tick, and resumedAt that of the last one that was
	// late. lateSince is that of the first late one since the election timer was set, or
	// since a majority answered this leader. They are zero for none.
	tickedAt, resumedAt, lateSince time.Time
}

// NewReplica returns a replica with the given stored state. It counts as having
// just heard from a leader, so that a voter that restarts cannot help to elect
// a new leader while the lease of the present one is valid.
func NewReplica(now time.Time, cfg Config, stored StoredState) Replica {
	r := Replica{
		cfg:              cfg,
		hardState:        stored.Hard,
		syncedHard:       stored.Hard,
		log:              NewLog(stored.Snapshot.Index, stored.Snapshot.Term),
		commitIndex:      stored.Snapshot.Index,
		appliedIndex:     stored.Snapshot.Index,
		role:             Follower{},
		leaderContactAt:  now,
		electionDeadline: now.Add(cfg.ElectionTimeout),
		memberships: []membershipEntry{
			{
				index: stored.Snapshot.Index,
				set:   stored.Snapshot.Members,
			},
		},
	}
	for _, e := range stored.Entries {
		r = r.withEntry(e)
	}
	r.syncedIndex = r.log.LastIndex()
	return r
}

// Members returns the set of members in force: the latest in the log, whether
// committed or not.
func (r Replica) Members() member.Set {
	return r.memberships[len(r.memberships)-1].set
}

// MembersAt returns the set of members in force at the entry with the index.
func (r Replica) MembersAt(index uint64) member.Set {
	set := r.memberships[0].set
	for _, s := range r.memberships {
		if s.index <= index {
			set = s.set
		}
	}
	return set
}

// Group returns the name of the group that the replica belongs to or is being
// added to, or "" if there is none.
func (r Replica) Group() string {
	if group := r.Members().Group; group != "" {
		return group
	}
	return r.joiningGroup
}

// Role returns the replica's role in its current term.
func (r Replica) Role() Role {
	return r.role
}

// IsLeader reports whether the replica is the leader of its current term.
func (r Replica) IsLeader() bool {
	_, ok := r.role.(Leader)
	return ok
}

// Leader returns the identity of the leader, or "" if it is unknown.
func (r Replica) Leader() string {
	return r.leaderID
}

// IsMember reports whether the replica is a member that leads, or that has heard from
// a leader within the timeout. A learner that was removed may not know it from its
// log: it keeps the leader that it knew, since it starts no elections, but hears
// nothing from it.
func (r Replica) IsMember(now time.Time, timeout time.Duration) bool {
	_, ok := r.Members().Get(r.cfg.ID)
	hearsLeader := r.IsLeader() || r.leaderID != "" && now.Sub(r.leaderContactAt) <= timeout
	return ok && hearsLeader
}

// Hard returns the replica's term and vote.
func (r Replica) Hard() HardState {
	return r.hardState
}

// Log returns the replica's log.
func (r Replica) Log() Log {
	return r.log
}

// CommitIndex returns the index of the last entry known to be committed.
func (r Replica) CommitIndex() uint64 {
	return r.commitIndex
}

// IsEstablishedLeader reports whether the replica is a leader that has
// committed and applied an entry of its own term. Only then does its state hold
// every entry that earlier leaders committed.
func (r Replica) IsEstablishedLeader() bool {
	l, ok := r.role.(Leader)
	return ok && r.appliedIndex >= l.termStartIndex
}

// HasUnapplied reports whether entries are committed that no step has applied yet. The
// caller then sends ApplyDue.
func (r Replica) HasUnapplied() bool {
	return r.appliedIndex < r.commitIndex
}

// LeaseExpiry returns when the leader's lease ends. Until then no other leader
// can be elected, so the leader may answer from its own state. It returns the
// zero time if the replica is not the leader or is handing leadership over.
func (r Replica) LeaseExpiry(now time.Time) time.Time {
	l, ok := r.role.(Leader)
	if !ok || l.transferee != "" {
		return time.Time{}
	}
	contact := l.quorumContact(now, r.cfg.ID, r.Members())
	if contact.IsZero() {
		return time.Time{}
	}
	return contact.Add(r.cfg.ElectionTimeout * leaseNumerator / leaseDenominator)
}

// A lease lasts 9/10 of the election timeout, to allow for clock drift.
const (
	leaseNumerator   = 9
	leaseDenominator = 10
)

// HasLease reports whether the replica is an established leader with a valid
// lease, so that it may answer from its own state.
func (r Replica) HasLease(now time.Time) bool {
	return r.IsEstablishedLeader() && now.Before(r.LeaseExpiry(now))
}

// Progress returns the replication state of a member. It returns false if the
// replica is not the leader or does not track the member.
func (r Replica) Progress(id string) (Progress, bool) {
	l, ok := r.role.(Leader)
	if !ok {
		return Progress{}, false
	}
	p, ok := l.progress[id]
	return p, ok
}

// Step returns the replica after an event, with the effects to perform in
// order.
func (r Replica) Step(now time.Time, e Event) (Replica, []Effect) {
	r = r.withRefusal(e)
	before := r
	var out []Effect
	switch e := e.(type) {
	case Tick:
		r.electionJitter = e.Jitter
		r, out = r.stepTick(now)
	case MessageReceived:
		r, out = r.stepMessage(now, e.Message)
	case Propose:
		r, out = r.stepPropose(now, e)
	case ChangeMembers:
		r, out = r.stepChangeMembers(now, e)
	case FormGroup:
		r, out = r.stepFormGroup(now, e)
	case InstallGroup:
		r, out = r.stepInstallGroup(now, e)
	case EntriesSynced:
		r = r.stepEntriesSynced(now, e)
	case HardStateSynced:
		r, out = r.stepHardStateSynced(now, e)
	case Compacted:
		r = r.stepCompacted(e)
	case SnapshotReceived:
		r, out = r.stepSnapshotReceived(now, e)
	case SnapshotSent:
		r = r.stepSnapshotSent(now, e)
	case TransferLeadership:
		r, out = r.stepTransferLeadership(now)
	case ConfirmLeadership:
		r, out = r.stepConfirmLeadership(e)
	case RoundDue, ApplyDue:
	}
	if _, isDue := e.(ApplyDue); isDue || !before.HasUnapplied() {
		// Otherwise all events that are queued before the ApplyDue would take that long.
		r, out = r.applyCommitted(out)
	}
	r, more := r.answerConfirmations(now)
	out = append(out, more...)
	out = append(out, r.refuseConfirmations(before)...)
	out = append(out, r.endedElection(now, before)...)
	out = append(out, r.leadershipLost(now, before, e)...)
	if r.leaderID != before.leaderID || r.hardState.Term != before.hardState.Term || RoleName(r.role) != RoleName(before.role) {
		out = append(out, RoleChanged{
			Role:   RoleName(r.role),
			Term:   r.hardState.Term,
			Leader: r.leaderID,
		})
	}
	return r, out
}

// applyCommitted adds an Apply effect for the next entries that are committed. A replica
// that has started hears of all entries since its snapshot at once, and must go on sending
// and answering heartbeats while it applies them.
func (r Replica) applyCommitted(out []Effect) (Replica, []Effect) {
	if !r.HasUnapplied() {
		return r, out
	}
	n := min(int(r.commitIndex-r.appliedIndex), max(1, r.cfg.MaxApplyEntries))
	entries := r.log.Slice(r.appliedIndex+1, n, r.cfg.MaxApplyBytes)
	r.appliedIndex += uint64(len(entries))
	return r, append(out, Apply{
		Entries: entries,
	})
}

func (r Replica) stepCompacted(e Compacted) Replica {
	if e.Index <= r.log.BaseIndex() || e.Index > r.appliedIndex {
		return r
	}
	set := r.MembersAt(e.Index)
	remaining := []membershipEntry{
		{
			index: e.Index,
			set:   set,
		},
	}
	for _, s := range r.memberships {
		if s.index > e.Index {
			remaining = append(remaining, s)
		}
	}
	r.memberships = remaining
	r.log = r.log.Compacted(e.Index)
	return r
}

// withEntry returns r with an entry appended to its log.
func (r Replica) withEntry(e Entry) Replica {
	r.log = r.log.WithEntry(e)
	if m, ok := e.Payload.(Members); ok {
		r.memberships = append(r.memberships[:len(r.memberships):len(r.memberships)], membershipEntry{
			index: e.Index,
			set:   m.Set,
		})
	}
	return r
}

// truncated returns r without the entries from the index from onwards.
func (r Replica) truncated(from uint64) Replica {
	r.log = r.log.Truncated(from)
	r.syncedIndex = min(r.syncedIndex, from-1)
	n := len(r.memberships)
	for n > 1 && r.memberships[n-1].index >= from {
		n--
	}
	r.memberships = r.memberships[:n:n]
	return r
}

// withElectionTimer returns r with its election timer reset. Every reset adds
// the jitter: replicas reset by the same message would otherwise start their
// elections together and split the votes.
func (r Replica) withElectionTimer(now time.Time) Replica {
	r.electionDeadline = now.Add(r.cfg.ElectionTimeout + r.electionJitter)
	r.lateSince = time.Time{}
	return r
}

// withTerm returns r as a follower in a later term, in which it has not voted.
func (r Replica) withTerm(term uint64) Replica {
	r.hardState = HardState{
		Term: term,
	}
	r.role = Follower{}
	r.leaderID = ""
	return r
}

func (r Replica) newMessage(to string, body Body) Message {
	return Message{
		From:  r.cfg.ID,
		To:    to,
		Group: r.Group(),
		Term:  r.hardState.Term,
		Body:  body,
	}
}

func (r Replica) send(to string, body Body) Effect {
	return Send{
		Message: r.newMessage(to, body),
	}
}

// sendAfterSync returns an effect that sends a message once everything
// persisted before it is durable.
func (r Replica) sendAfterSync(to string, body Body) Effect {
	return Send{
		Message:   r.newMessage(to, body),
		AfterSync: true,
	}
}

func (r Replica) persistHardState() Effect {
	return Persist{
		Hard: r.hardState,
	}
}
