package control

import (
	"time"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// Join is a controller's own request to be added to the group.
type Join struct {
	// Member is the controller that asks to join.
	Member member.Member
}

func (Join) event() {}

// groupCompletionTimeout is how long a new leader waits for the configured
// number of voters. After it, those that are missing count as lost, and the leader
// accepts commands with fewer voters.
const groupCompletionTimeout = 6 * time.Second

// joinRequestRetention is how long the leader remembers a request to join. It is longer
// than the interval at which a controller repeats its request.
const joinRequestRetention = time.Second

// firstRequestsTimeout is how long after its election a leader has heard from all
// controllers that ask to join: it can take requests once it has a lease, and each
// controller asks again within half a second.
const firstRequestsTimeout = 750 * time.Millisecond

// joinRequest is a controller's request to join that the leader remembers.
type joinRequest struct {
	member member.Member
	at     time.Time
}

// withJoinRequest returns l with the request as the last one from its address, and
// without those that are too old. A controller that asks again keeps its place.
func (l *leadership) withJoinRequest(r joinRequest) *leadership {
	next := *l
	next.joinRequests = nil
	isRepeated := false
	for _, old := range l.joinRequests {
		switch {
		case old.member.Address == r.member.Address:
			isRepeated = true
			next.joinRequests = append(next.joinRequests, r)
		case r.at.Sub(old.at) <= joinRequestRetention:
			next.joinRequests = append(next.joinRequests, old)
		}
	}
	if !isRepeated {
		next.joinRequests = append(next.joinRequests, r)
	}
	return &next
}

func (c Core) stepJoin(now time.Time, e Join) (Core, []Effect) {
	if c.leadership == nil || c.cfg.Voters == 0 {
		return c, nil
	}
	c.leadership = c.leadership.withJoinRequest(joinRequest{
		member: e.Member,
		at:     now,
	})
	return c.admit(now)
}

// admit makes the next change of the group that a remembered request to join asks for.
// A request may come while another change is under way, or shortly before a voter counts
// as dead; waiting for the next one would take a part of the time to catch up.
func (c Core) admit(now time.Time) (Core, []Effect) {
	if c.leadership == nil || !c.replica.MayChangeMembers() {
		return c, nil
	}
	// A dead voter may be back at its address without its disk. It takes its own place, and
	// no other controller may have taken that before it could ask this leader.
	hasHeardAll := now.Sub(c.leadership.since) > firstRequestsTimeout && c.replica.MayJudgeSilence(now)
	isDead := func(id string) bool {
		return hasHeardAll && c.replica.IsSilent(now, id, c.cfg.deadMemberTimeout())
	}
	for _, r := range c.leadership.joinRequests {
		if now.Sub(r.at) > joinRequestRetention {
			continue
		}
		if change, ok := c.replica.Members().JoinChange(r.member, c.cfg.Voters, isDead); ok {
			return c.stepReplica(now, consensus.ChangeMembers{
				Change: change,
			})
		}
	}
	return c, nil
}

// AcceptsCommands reports whether the group has enough voters to accept
// commands: an accepted command must survive as many failures as the configured
// number of voters tolerates. If v of 2f+1 voters are there and the others count as
// lost, v-f-1 more may be lost. With v > f, f+1 voters are left then, which are a
// majority and hold every committed entry. With fewer, none need be left.
func (c Core) AcceptsCommands(now time.Time) bool {
	voters := c.replica.Members().Voters()
	switch {
	case c.leadership == nil || voters >= c.cfg.Voters:
		return true
	case voters < c.cfg.Voters/2+1:
		return false
	}
	return now.Sub(c.leadership.since) > groupCompletionTimeout
}
