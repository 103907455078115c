package control

import (
	"time"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// Join asks for a controller to be brought into the group, by itself.
type Join struct {
	// Member is the controller.
	Member member.Member
}

func (Join) event() {}

const (
	// deadAfter is how long a member may be silent before another controller
	// may take its place. It is longer than a restart takes.
	deadMemberTimeout = 6 * time.Second
	// openAfter is how long a new leader waits for the group to be complete
	// before it takes commands with the voters that there are.
	completionTimeout = 6 * time.Second
)

func (c Core) stepJoin(now time.Time, e Join) (Core, []Effect) {
	if c.leadership == nil || c.cfg.Voters == 0 {
		return c, nil
	}
	change, ok := c.replica.Members().JoinChange(e.Member, c.cfg.Voters, func(id string) bool {
		return c.isMemberDead(now, id)
	})
	if !ok {
		return c, nil
	}
	return c.stepReplica(now, consensus.ChangeMembers{
		Change: change,
	})
}

func (c Core) isMemberDead(now time.Time, id string) bool {
	p, ok := c.replica.Progress(id)
	lastContact := p.LastContact
	if lastContact.Before(c.leadership.since) {
		lastContact = c.leadership.since
	}
	return ok && id != c.replica.Leader() && now.Sub(lastContact) > deadMemberTimeout
}

// isOpen reports whether the group is complete enough to take commands: what
// is accepted must survive the losses that the group was made for.
func (c Core) acceptsCommands(now time.Time) bool {
	return c.leadership == nil || c.replica.Members().Voters() >= c.cfg.Voters || now.Sub(c.leadership.since) > completionTimeout
}
