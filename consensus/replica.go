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

// membershipEntry is a set of members and the entry that brought it.
type membershipEntry struct {
	index uint64
	set   member.Set
}

// A Replica is one controller's view of the replicated log.
type Replica struct {
	cfg              Config
	hardState        HardState
	log              Log
	commitIndex      uint64
	appliedIndex     uint64
	syncedIndex      uint64
	memberships      []membershipEntry
	joiningGroup     string
	role             Role
	leaderID         string
	leaderContactAt  time.Time
	electionDeadline time.Time
	electionJitter   time.Duration
	heartbeatDue     time.Time
}

// NewReplica returns a replica as its disk remembers it. It counts a leader as
// just heard, so that a restart cannot break a lease.
func NewReplica(now time.Time, cfg Config, stored StoredState) Replica {
	r := Replica{
		cfg:              cfg,
		hardState:        stored.Hard,
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

// Members returns the set of members that is in force.
func (r Replica) Members() member.Set {
	return r.memberships[len(r.memberships)-1].set
}

// MembersAt returns the set of members at an entry.
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
// brought into, empty for none.
func (r Replica) Group() string {
	if group := r.Members().Group; group != "" {
		return group
	}
	return r.joiningGroup
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
	return r.leaderID
}

// Hard returns the replica's term and vote.
func (r Replica) Hard() HardState {
	return r.hardState
}

// Log returns the replica's log.
func (r Replica) Log() Log {
	return r.log
}

// CommitIndex returns the last entry known to be committed.
func (r Replica) CommitIndex() uint64 {
	return r.commitIndex
}

// IsEstablishedLeader reports whether the replica leads and has committed an entry of its
// own term, so that it holds every committed entry.
func (r Replica) IsEstablishedLeader() bool {
	l, ok := r.role.(Leader)
	return ok && r.commitIndex >= l.termStartIndex
}

// LeaseExpiry returns when the leader's right to answer from its own state
// ends: no other leader can exist before. It is the zero time for a replica
// that does not lead.
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

// A lease is 9/10 of the election timeout, for clocks that drift.
const (
	leaseNumerator   = 9
	leaseDenominator = 10
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
	case EntriesSynced:
		r = r.stepEntriesSynced(e)
	case Compacted:
		r = r.stepCompactLog(e)
	case SnapshotReceived:
		r, out = r.stepSnapshotReceived(now, e)
	case TransferLeadership:
		r, out = r.stepTransferLeadership(now)
	}
	r, out = r.applyCommitted(out)
	if r.leaderID != before.leaderID || r.hardState.Term != before.hardState.Term || RoleName(r.role) != RoleName(before.role) {
		out = append(out, RoleChanged{
			Role:   RoleName(r.role),
			Term:   r.hardState.Term,
			Leader: r.leaderID,
		})
	}
	return r, out
}

// applyCommitted hands over the entries that were committed since.
func (r Replica) applyCommitted(out []Effect) (Replica, []Effect) {
	if r.commitIndex <= r.appliedIndex {
		return r, out
	}
	entries := r.log.Slice(r.appliedIndex+1, int(r.commitIndex-r.appliedIndex), maxInt)
	r.appliedIndex = r.commitIndex
	return r, append(out, Apply{
		Entries: entries,
	})
}

const maxInt = int(^uint(0) >> 1)

func (r Replica) stepCompactLog(e Compacted) Replica {
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

// withEntry returns r with an entry at the end of its log.
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

// truncated returns r without the entries from an index on.
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

// withElectionTimer returns r with its election timer wound up anew. Every reset has
// the jitter, since replicas that were reset by the same message would start
// their elections together and split the votes.
func (r Replica) withElectionTimer(now time.Time) Replica {
	r.electionDeadline = now.Add(r.cfg.ElectionTimeout + r.electionJitter)
	return r
}

// withTerm returns r as a follower in a later term.
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

// sendAfterSync sends a message once all that was persisted is durable.
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
