package control

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// LogMembers logs the members of the group after a change is committed.
type LogMembers struct {
	// Members is the new set of members.
	Members member.Set
	// Index is the index of its log entry.
	Index uint64
}

// LogGroupHealth logs how many controllers the group can lose, when that changes.
type LogGroupHealth struct {
	// GroupHealth is the state of the group.
	GroupHealth
}

func (LogMembers) effect()     {}
func (LogGroupHealth) effect() {}

// GroupHealth tells how many controllers the group can lose, and why it is not more.
type GroupHealth struct {
	// Tolerated is how many further voters may fail before the group stops.
	Tolerated int
	// Missing is how many voters the group has less than configured.
	Missing int
	// Silent lists the addresses of the voters that do not answer, sorted.
	Silent []string
}

// silentVoterTimeout is the time without an answer after which a voter counts as
// silent.
const silentVoterTimeout = time.Second

// GroupHealth returns the health of the group as its leader sees it. It returns false
// if this controller is not the leader.
func (c Core) GroupHealth(now time.Time) (h GroupHealth, isLeader bool) {
	if c.leadership == nil {
		return h, false
	}
	set := c.replica.Members()
	for _, m := range set.Members {
		if m.Voter && c.replica.IsSilent(now, m.ID, silentVoterTimeout) {
			h.Silent = append(h.Silent, m.Address)
		}
	}
	slices.Sort(h.Silent)
	h.Tolerated = max(set.Voters()-len(h.Silent)-set.Quorum(), 0)
	h.Missing = max(c.cfg.Voters-set.Voters(), 0)
	return h, true
}

// logGroupHealth logs the health of the group if it has changed.
func (c Core) logGroupHealth(now time.Time) (Core, []Effect) {
	h, isLeader := c.GroupHealth(now)
	if !isLeader || c.leadership.hasLoggedHealth(h) {
		return c, nil
	}
	l := *c.leadership
	l.loggedHealth = &h
	c.leadership = &l
	return c, []Effect{
		LogGroupHealth{
			GroupHealth: h,
		},
	}
}

func (l *leadership) hasLoggedHealth(h GroupHealth) bool {
	known := l.loggedHealth
	return known != nil && known.Tolerated == h.Tolerated && known.Missing == h.Missing && slices.Equal(known.Silent, h.Silent)
}

// logMembers returns the log line for a committed change of members.
func logMembers(e consensus.Entry, p consensus.Members) []Effect {
	return []Effect{
		LogMembers{
			Members: p.Set,
			Index:   e.Index,
		},
	}
}
