// Package formation decides on the first group of controllers when a system starts for
// the first time. The founders, a few controllers whose addresses all controllers are
// told, agree on one set of voters by single-decree Paxos, in which they are the
// acceptors. A founder whose disk was lost takes no part any more, so that at most one
// group is ever chosen.
package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// A Ballot numbers an attempt to agree on the first group. Each founder has ballots of
// its own.
type Ballot struct {
	// Round is the higher part of the number.
	Round uint64 `json:"round"`
	// Founder is the position of the founder that made the attempt.
	Founder int `json:"founder"`
}

// IsBefore reports whether b is lower than other.
func (b Ballot) IsBefore(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Founder < other.Founder
}

// Stored is the part of a Formation that must survive a restart. A controller without
// it takes no part.
type Stored struct {
	// Founders holds the addresses of the founders, the same on all controllers.
	Founders []string `json:"founders"`
	// Founder is the position of this controller among the founders, or NoFounder.
	Founder int `json:"founder"`
	// Promised is the highest ballot that this founder has answered.
	Promised Ballot `json:"promised"`
	// Accepted is the ballot in which it accepted Group.
	Accepted Ballot `json:"accepted"`
	// Group is the accepted group, without a name if there is none.
	Group member.Set `json:"group"`
}

// NoFounder is the position of a controller that is no founder.
const NoFounder = -1

// A Config holds the settings of a Formation.
type Config struct {
	// Self is this controller as a member.
	Self member.Member
	// Voters is the number of voters of a complete group.
	Voters int
	// Group is the random name of a group that this controller proposes.
	Group string
}

// minVoters is the smallest number of voters of a first group. If as many controllers
// as the group tolerates are lost, this many are left.
func (cfg Config) minVoters() int {
	return cfg.Voters/2 + 1
}

// candidate is a controller that may become a voter of the first group.
type candidate struct {
	member  member.Member
	founder int
	seenAt  time.Time
}

// Formation is the state of the agreement on one controller.
type Formation struct {
	cfg       Config
	stored    Stored
	startedAt time.Time
	attempt   Attempt
	// candidates maps the addresses of the controllers that have introduced themselves.
	candidates map[string]candidate
	// lostFounders maps the positions of the founders that take no part any more to the
	// time at which they last said so.
	lostFounders map[int]time.Time
	// highestRound is the highest round that another founder has reported.
	highestRound uint64
	// failedAttempts is how many attempts of this founder another one's has ended.
	failedAttempts int
	// isOver is true once this controller belongs to a group.
	isOver      bool
	jitter      time.Duration
	introduceAt time.Time
	resendAt    time.Time
	attemptAt   time.Time
	logAt       time.Time
}

// New returns the state of a controller with the given stored part. Without founders
// it takes no part.
func New(now time.Time, cfg Config, stored Stored) Formation {
	return Formation{
		cfg:       cfg,
		stored:    stored,
		startedAt: now,
		attempt:   None{},
		logAt:     now.Add(logInterval),
	}
}

// Attempt is this founder's own attempt to have a group chosen: None, Preparing or
// Accepting.
type Attempt interface {
	attempt()
}

// None means that there is no attempt.
type None struct{}

// Preparing collects promises to refuse lower ballots.
type Preparing struct {
	ballot   Ballot
	promises map[int]Promise
}

// Accepting collects the founders that have accepted the group.
type Accepting struct {
	ballot   Ballot
	group    member.Set
	accepted map[int]bool
}

func (None) attempt()      {}
func (Preparing) attempt() {}
func (Accepting) attempt() {}

func (p Preparing) withPromise(from int, promise Promise) Preparing {
	p.promises = maps.Clone(p.promises)
	if p.promises == nil {
		p.promises = map[int]Promise{}
	}
	p.promises[from] = promise
	return p
}

func (a Accepting) withAccepted(from int) Accepting {
	a.accepted = maps.Clone(a.accepted)
	if a.accepted == nil {
		a.accepted = map[int]bool{}
	}
	a.accepted[from] = true
	return a
}

func (f Formation) takesPart() bool {
	return len(f.stored.Founders) > 0
}

func (f Formation) isFounder() bool {
	return f.takesPart() && f.stored.Founder != NoFounder
}

// majority returns the smallest number of founders that is a majority.
func (f Formation) majority() int {
	return len(f.stored.Founders)/2 + 1
}

func (f Formation) withCandidate(c candidate) Formation {
	f.candidates = maps.Clone(f.candidates)
	if f.candidates == nil {
		f.candidates = map[string]candidate{}
	}
	f.candidates[c.member.Address] = c
	return f
}

func (f Formation) withLostFounder(now time.Time, founder int) Formation {
	f.lostFounders = maps.Clone(f.lostFounders)
	if f.lostFounders == nil {
		f.lostFounders = map[int]time.Time{}
	}
	f.lostFounders[founder] = now
	return f
}

// withoutAttempt returns f without an attempt of its own, until the others have had
// time for theirs.
func (f Formation) withoutAttempt(now time.Time) Formation {
	if _, isNone := f.attempt.(None); !isNone {
		f.failedAttempts = min(f.failedAttempts+1, maxBackoffDoublings)
	}
	f.attempt = None{}
	backoff := attemptBackoff << f.failedAttempts
	f.attemptAt = now.Add(backoff*time.Duration(f.stored.Founder+1) + f.jitter)
	return f
}

// reachable returns the candidates that were heard from lately and this controller:
// first itself, then founders, then others.
func (f Formation) reachable(now time.Time) []candidate {
	list := []candidate{
		{
			member:  f.cfg.Self,
			founder: f.stored.Founder,
		},
	}
	for _, c := range f.candidates {
		if now.Sub(c.seenAt) <= candidateTimeout && c.member.ID != f.cfg.Self.ID {
			list = append(list, c)
		}
	}
	slices.SortFunc(list[1:], func(a, b candidate) int {
		switch {
		case a.founder == b.founder && a.member.ID < b.member.ID:
			return -1
		case a.founder == b.founder:
			return 1
		case a.founder == NoFounder:
			return 1
		case b.founder == NoFounder:
			return -1
		}
		return a.founder - b.founder
	})
	return list
}

// newGroup returns the group to propose, or false while too few controllers are in
// reach or more may still introduce themselves.
func (f Formation) newGroup(now time.Time) (member.Set, bool) {
	list := f.reachable(now)
	waited := now.Sub(f.startedAt) - time.Duration(f.stored.Founder)*founderDelay
	isComplete := len(list) >= f.cfg.Voters && waited >= 0
	if !isComplete && (len(list) < f.cfg.minVoters() || waited < completionTimeout) {
		return member.Set{}, false
	}
	set := member.Set{
		Group: f.cfg.Group,
	}
	for _, c := range list[:min(len(list), f.cfg.Voters)] {
		set = set.WithMember(c.member.WithVoter())
	}
	return set, true
}
