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

func (c Core) stepJoin(now time.Time, e Join) (Core, []Effect) {
	if c.leadership == nil || c.cfg.Voters == 0 {
		return c, nil
	}
	change, ok := c.replica.Members().JoinChange(e.Member, c.cfg.Voters, func(id string) bool {
		return c.replica.IsSilent(now, id, c.cfg.deadMemberTimeout())
	})
	if !ok {
		return c, nil
	}
	return c.stepReplica(now, consensus.ChangeMembers{
		Change: change,
	})
}

// acceptsCommands reports whether the group has enough voters to accept
// commands: an accepted command must survive as many failures as the configured
// number of voters tolerates. If v of 2f+1 voters are there and the others count as
// lost, v-f-1 more may be lost. With v > f, f+1 voters are left then, which are a
// majority and hold every committed entry. With fewer, none need be left.
func (c Core) acceptsCommands(now time.Time) bool {
	voters := c.replica.Members().Voters()
	switch {
	case c.leadership == nil || voters >= c.cfg.Voters:
		return true
	case voters < c.cfg.Voters/2+1:
		return false
	}
	return now.Sub(c.leadership.since) > groupCompletionTimeout
}
