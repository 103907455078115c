package consensus

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// A VoteRefusal is the reason for which a voter refused its vote; "" if it gave it, or if
// the voter does not tell.
type VoteRefusal string

// Reasons for which a voter refuses its vote.
const (
	// RefusedLaterTerm means that the voter's term is at least as late as that of the
	// election.
	RefusedLaterTerm VoteRefusal = "later-term"
	// RefusedLogBehind means that the candidate's log lacks entries that the voter holds.
	RefusedLogBehind VoteRefusal = "log-behind"
	// RefusedLease means that a leader that the voter knows may hold a lease.
	RefusedLease VoteRefusal = "lease"
	// RefusedVoted means that the voter has voted for another candidate in this term.
	RefusedVoted VoteRefusal = "voted"
	// RefusedVoteUnsynced means that an earlier vote is still on its way to the voter's
	// disk.
	RefusedVoteUnsynced VoteRefusal = "vote-unsynced"
)

// voteRefusal returns the reason for which r refuses its vote, or "" if it gives it. A
// pre-vote is for a later term; before a vote, r has entered the term of the election.
func (r Replica) voteRefusal(msg Message, request Vote) VoteRefusal {
	isUpToDate := request.LastTerm > r.log.LastTerm() ||
		request.LastTerm == r.log.LastTerm() && request.LastIndex >= r.log.LastIndex()
	hasVotedForOther := r.hardState.Vote != "" && r.hardState.Vote != msg.From
	switch {
	case msg.Term < r.hardState.Term || request.PreVote && msg.Term == r.hardState.Term:
		return RefusedLaterTerm
	case !isUpToDate:
		return RefusedLogBehind
	case !request.PreVote && hasVotedForOther:
		return RefusedVoted
	case request.PreVote && r.isVoteUnsynced():
		return RefusedVoteUnsynced
	}
	return ""
}

// An ElectionKind is one of the two rounds of an election.
type ElectionKind string

// Rounds of an election.
const (
	// ElectionPreVote is the round that changes no term.
	ElectionPreVote ElectionKind = "pre-vote"
	// ElectionVote is the round in which votes are given.
	ElectionVote ElectionKind = "vote"
)

// An ElectionEnd is the reason for which an election ended without its candidate becoming
// the leader.
type ElectionEnd string

// Reasons for which an election fails.
const (
	// EndedTimeout means that no majority voted in time.
	EndedTimeout ElectionEnd = "timeout"
	// EndedLaterTerm means that a later term has begun elsewhere.
	EndedLaterTerm ElectionEnd = "later-term"
	// EndedOtherLeader means that another replica leads.
	EndedOtherLeader ElectionEnd = "other-leader"
)

// ElectionFailed reports that a round of an election of this replica ended without a
// majority.
type ElectionFailed struct {
	// Kind is the round.
	Kind ElectionKind
	// End is why the round ended.
	End ElectionEnd
	// Term is the term that a leader was to be elected for.
	Term uint64
	// Duration is the time since the round began.
	Duration time.Duration
	// Granted lists the voters that gave their vote, this one included, sorted.
	Granted []string
	// Refused lists the voters that refused it, sorted by identity.
	Refused []RefusedVote
	// Silent lists the voters from which no answer came, sorted.
	Silent []string
}

// A RefusedVote is the refusal of one voter.
type RefusedVote struct {
	// Voter is the voter's identity.
	Voter string
	// Reason is why it refused; "" if it does not tell.
	Reason VoteRefusal
}

func (ElectionFailed) effect() {}

// A ballot is a round of an election, as its candidate sees it, without the votes given.
type ballot struct {
	startedAt time.Time
	// refusals holds the refusals by voter.
	refusals map[string]VoteRefusal
}

func newBallot(now time.Time) ballot {
	return ballot{
		startedAt: now,
	}
}

// withRefusal returns b with the refusal of a voter.
func (b ballot) withRefusal(voter string, reason VoteRefusal) ballot {
	refusals := maps.Clone(b.refusals)
	if refusals == nil {
		refusals = map[string]VoteRefusal{}
	}
	refusals[voter] = reason
	b.refusals = refusals
	return b
}

// withRefusal returns r with a refusal recorded, if the event brings one for the round of
// an election that is under way.
func (r Replica) withRefusal(e Event) Replica {
	received, ok := e.(MessageReceived)
	if !ok {
		return r
	}
	msg := received.Message
	reply, ok := msg.Body.(VoteReply)
	if !ok || reply.Granted || !r.accepts(msg) {
		return r
	}
	switch c := r.role.(type) {
	case PreCandidate:
		if reply.PreVote {
			c.ballot = c.ballot.withRefusal(msg.From, reply.Refusal)
			r.role = c
		}
	case Candidate:
		if !reply.PreVote && msg.Term >= r.hardState.Term {
			c.ballot = c.ballot.withRefusal(msg.From, reply.Refusal)
			r.role = c
		}
	case Follower, Leader:
	}
	return r
}

// endedElection returns an ElectionFailed if the replica before the present step was in a
// round of an election that has ended without success.
func (r Replica) endedElection(now time.Time, before Replica) []Effect {
	failed := ElectionFailed{
		Term: before.hardState.Term,
	}
	var b ballot
	var votes map[string]bool
	switch c := before.role.(type) {
	case PreCandidate:
		if r.hasWonPreVote(before) || r.isInSameRound(c.ballot) {
			return nil
		}
		failed.Kind, b, votes = ElectionPreVote, c.ballot, c.votes
		failed.Term++
	case Candidate:
		if r.IsLeader() || r.isInSameRound(c.ballot) {
			return nil
		}
		failed.Kind, b, votes = ElectionVote, c.ballot, c.votes
	case Follower, Leader:
		return nil
	}
	failed.End = r.endSince(before)
	failed.Duration = now.Sub(b.startedAt)
	failed.Granted, failed.Refused, failed.Silent = b.answers(before.Members(), votes)
	return []Effect{
		failed,
	}
}

// hasWonPreVote reports whether the pre-vote of the replica before has led to an election
// in the term that follows, or has become needless since the replica leads.
func (r Replica) hasWonPreVote(before Replica) bool {
	_, isCandidate := r.role.(Candidate)
	return r.IsLeader() || isCandidate && r.hardState.Term == before.hardState.Term+1
}

// isInSameRound reports whether the round of the ballot is still under way.
func (r Replica) isInSameRound(b ballot) bool {
	switch c := r.role.(type) {
	case PreCandidate:
		return c.ballot.startedAt.Equal(b.startedAt)
	case Candidate:
		return c.ballot.startedAt.Equal(b.startedAt)
	case Follower, Leader:
	}
	return false
}

// endSince returns why the round of an election in which the replica was before is over.
func (r Replica) endSince(before Replica) ElectionEnd {
	switch {
	case r.leaderID != "":
		return EndedOtherLeader
	case r.hardState.Term > before.hardState.Term:
		return EndedLaterTerm
	}
	return EndedTimeout
}

// answers sorts the voters of a set by their answer.
func (b ballot) answers(set member.Set, votes map[string]bool) (granted []string, refused []RefusedVote, silent []string) {
	for _, m := range set.Members {
		reason, hasRefused := b.refusals[m.ID]
		switch {
		case !m.Voter:
		case votes[m.ID]:
			granted = append(granted, m.ID)
		case hasRefused:
			refused = append(refused, RefusedVote{
				Voter:  m.ID,
				Reason: reason,
			})
		default:
			silent = append(silent, m.ID)
		}
	}
	slices.Sort(granted)
	slices.Sort(silent)
	slices.SortFunc(refused, func(v, w RefusedVote) int {
		return strings.Compare(v.Voter, w.Voter)
	})
	return granted, refused, silent
}
