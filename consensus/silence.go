package consensus

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// search is a replica's search for voters while it knows no leader.
type search struct {
	// startedAt is when it first asked the voters; zero if it has not.
	startedAt time.Time
	// heardAt tells when it last heard from the members that sent it anything since.
	heardAt map[string]time.Time
}

// withStart returns s as begun now, unless it has begun before.
func (s search) withStart(now time.Time) search {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	return s
}

// withContact returns s with a message from a member if the search has begun.
func (s search) withContact(now time.Time, id string) search {
	if s.startedAt.IsZero() {
		return s
	}
	s.heardAt = maps.Clone(s.heardAt)
	if s.heardAt == nil {
		s.heardAt = map[string]time.Time{}
	}
	s.heardAt[id] = now
	return s
}

// lastContact returns when a member counts as having last been heard from: at the start
// of the search if it has not answered. A learner was not asked, so it has until now.
func (s search) lastContact(now time.Time, m member.Member) time.Time {
	if at, ok := s.heardAt[m.ID]; ok {
		return at
	}
	if !m.Voter || s.startedAt.IsZero() {
		return now
	}
	return s.startedAt
}

// IsSilent reports whether a member other than this leader has not answered for longer
// than the timeout. The time before the election counts from the leader's first request
// for a vote, but each member has an election timeout to answer the leader. It returns
// false if the replica does not lead.
func (r Replica) IsSilent(now time.Time, id string, timeout time.Duration) bool {
	l, ok := r.role.(Leader)
	if !ok || id == r.cfg.ID || now.Sub(l.electedAt) <= r.cfg.ElectionTimeout {
		return false
	}
	p, known := l.progress[id]
	lastContact := p.LastContact
	if lastContact.Before(p.TrackedAt) {
		lastContact = p.TrackedAt
	}
	return known && now.Sub(lastContact) > timeout
}

// MayJudgeSilence reports whether the replica has had the time to read the answers of the
// members: its ticks have been in time for an election timeout.
func (r Replica) MayJudgeSilence(now time.Time) bool {
	return !r.isTickLate(now) && now.Sub(r.resumedAt) > r.cfg.ElectionTimeout
}
