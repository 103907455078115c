package consensus

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// A Role is what a replica is in its term: Follower, PreCandidate, Candidate
// or Leader.
type Role interface {
	role()
}

// Follower takes entries from a leader.
type Follower struct{}

// PreCandidate asks whether an election could be won.
type PreCandidate struct {
	votes map[string]bool
}

// Candidate asks for votes.
type Candidate struct {
	votes map[string]bool
}

// Leader appends and replicates entries.
type Leader struct {
	electedAt        time.Time
	termStartIndex   uint64
	progress         map[string]Progress
	transferee       string
	transferDeadline time.Time
}

func (Follower) role()     {}
func (PreCandidate) role() {}
func (Candidate) role()    {}
func (Leader) role()       {}

// RoleName returns the name of a role in kebab case.
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

// Progress is what a leader knows of one member.
type Progress struct {
	// Match is the last entry known to be on the member's disk.
	Match uint64
	// Next is the next entry to send.
	Next uint64
	// LastContact is when the last message that the member answered was sent.
	LastContact time.Time
	// SnapshotRetryAt holds appends back while a snapshot is on its way.
	SnapshotRetryAt time.Time
	// Probing is true until the member's log is known to match.
	Probing bool
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

// quorumContact returns the latest time such that a majority of the voters,
// this replica among them, answered a message sent then or later.
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
