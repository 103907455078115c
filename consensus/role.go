package consensus

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// A Role is the role of a replica in its current term: Follower, PreCandidate,
// Candidate or Leader.
type Role interface {
	role()
}

// Follower accepts entries from a leader.
type Follower struct{}

// PreCandidate asks the voters whether they would vote for it, without starting
// a new term.
type PreCandidate struct {
	votes  map[string]bool
	ballot ballot
	// candidacy is the election that the replica started in its present term; it can
	// still be won. Its votes are nil if there is none.
	candidacy Candidate
}

// Candidate has started a new term and asks for votes. Its own vote counts once it is
// durable.
type Candidate struct {
	votes  map[string]bool
	ballot ballot
}

// Leader appends entries and replicates them to the members.
type Leader struct {
	electedAt time.Time
	// termStartIndex is the index of the first entry of the leader's term.
	termStartIndex uint64
	progress       map[string]Progress
	// transferee is the member that takes over the leadership; "" if no
	// transfer is under way.
	transferee       string
	transferDeadline time.Time
	// sentNS is the SentNS of the last message to a member. Each round to all members
	// has a higher one than all messages before it, even if the clock stands still.
	sentNS int64
	// roundAt is when messages were last sent to all members.
	roundAt time.Time
	// confirmations holds the requests that wait for a majority, the oldest first. The
	// first confirmationsSent of them wait for a round that has begun.
	confirmations     []confirmation
	confirmationsSent int
}

func (Follower) role()     {}
func (PreCandidate) role() {}
func (Candidate) role()    {}
func (Leader) role()       {}

// RoleName returns the name of a role in kebab case, such as "pre-candidate".
func RoleName(r Role) string {
	switch r.(type) {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return ""
}

// Progress is the replication state of one member, as tracked by the leader.
type Progress struct {
	// Match is the last entry known to be durable on the member's disk.
	Match uint64
	// Next is the next entry to send.
	Next uint64
	// LastContact is when the leader sent the latest message that the member
	// has answered.
	LastContact time.Time
	// TrackedAt is when the leader began to track a member that was added, or had last
	// heard from one that it knew at its election.
	TrackedAt time.Time
	// AnsweredNS is the highest SentNS that the member has answered.
	AnsweredNS int64
	// SnapshotRetryAt is when the leader may send the snapshot again. Until
	// then it ignores the member's rejections, since the snapshot is on its
	// way.
	SnapshotRetryAt time.Time
	// Probing is true until the member's log is known to match the leader's up
	// to Next. Meanwhile the leader sends no entries.
	Probing bool
	// Probed is the last entry that the member was found to hold when probing ended. It may
	// not be durable there.
	Probed uint64
	// Paused is true while the member takes no entries since its disk is too far behind.
	Paused bool
}

// withAccepted returns p after a reply that accepts a request.
func (p Progress) withAccepted(reply AppendReply) Progress {
	p.SnapshotRetryAt = time.Time{}
	p.Next = max(p.Next, p.Match+1)
	p.Paused = reply.Held > 0
	if p.Paused {
		// The member has dropped the entries after it.
		p.Next = min(p.Next, max(p.Match, reply.Held)+1)
	}
	if p.Probing {
		p.Probing, p.Probed = false, p.Next-1
	}
	return p
}

func (l Leader) withProgress(id string, p Progress) Leader {
	l.progress = maps.Clone(l.progress)
	l.progress[id] = p
	return l
}

// quorumMatchIndex returns the last entry that a majority of the voters holds.
func (l Leader) quorumMatchIndex(set member.Set) uint64 {
	var matches []uint64
	for _, m := range set.Members {
		if m.Voter {
			matches = append(matches, l.progress[m.ID].Match)
		}
	}
	slices.Sort(matches)
	slices.Reverse(matches)
	if len(matches) == 0 {
		return 0
	}
	return matches[set.Quorum()-1]
}

// quorumContact returns the latest time at which messages were sent that a
// majority of the voters has answered. The leader itself counts with now.
func (l Leader) quorumContact(now time.Time, self string, set member.Set) time.Time {
	var contacts []time.Time
	for _, m := range set.Members {
		switch {
		case !m.Voter:
		case m.ID == self:
			contacts = append(contacts, now)
		default:
			contacts = append(contacts, l.progress[m.ID].LastContact)
		}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int {
		return b.Compare(a)
	})
	if len(contacts) < set.Quorum() {
		return time.Time{}
	}
	return contacts[set.Quorum()-1]
}

// quorumAnsweredNS returns the highest SentNS that a majority of the voters has answered.
// The leader itself counts as having answered all.
func (l Leader) quorumAnsweredNS(self string, set member.Set) int64 {
	var answered []int64
	for _, m := range set.Members {
		switch {
		case !m.Voter:
		case m.ID == self:
			answered = append(answered, math.MaxInt64)
		default:
			answered = append(answered, l.progress[m.ID].AnsweredNS)
		}
	}
	slices.Sort(answered)
	slices.Reverse(answered)
	if len(answered) < set.Quorum() {
		return 0
	}
	return answered[set.Quorum()-1]
}

func withVote(votes map[string]bool, from string) map[string]bool {
	votes = maps.Clone(votes)
	votes[from] = true
	return votes
}

func countVotes(votes map[string]bool, set member.Set) int {
	n := 0
	for id := range votes {
		if set.IsVoter(id) {
			n++
		}
	}
	return n
}
