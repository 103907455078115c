package control

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/plantainladder/plantainladder/consensus"
)

// LogRole logs the role of the replica when its role, its term or the leader that it
// knows has changed.
type LogRole struct {
	// Role is the name of the role.
	Role string
	// Term is the current term.
	Term uint64
	// Leader is the leader's address, its identity if the address is unknown, or "" if the
	// leader is unknown.
	Leader string
	// LastIndex and LastTerm identify the last entry of the log.
	LastIndex, LastTerm uint64
	// Voters lists the addresses of the voters.
	Voters []string
}

// LogElection logs that a round of an election of this replica has failed.
type LogElection struct {
	// Election describes the round, with the addresses of the voters in place of their
	// identities.
	Election consensus.ElectionFailed
}

// LogLeadershipLost logs that this controller does not lead any more.
type LogLeadershipLost struct {
	// Loss describes it, with the address of the member in place of its identity.
	Loss consensus.LeadershipLost
}

func (LogRole) effect()           {}
func (LogElection) effect()       {}
func (LogLeadershipLost) effect() {}

// roleChanged creates or discards the leader state. Pending requests of a lost
// leadership have an unknown outcome: the next leader may commit their entries.
func (c Core) roleChanged(now time.Time, f consensus.RoleChanged) (Core, []Effect) {
	out := []Effect{
		c.logRole(f),
	}
	if c.replica.IsLeader() {
		if c.leadership == nil || c.leadership.term != f.Term {
			out = append(out, c.leadership.logUnseenRounds(now)...)
			c.leadership = newLeadership(now, f.Term, c.cfg.Dispatch)
		}
		return c, out
	}
	out = append(out, c.leadership.logUnseenRounds(now)...)
	c.leadership = nil
	for itr := c.pendingReplies.Iterator(); !itr.Done(); {
		_, pending, _ := itr.Next()
		out = append(out, pending.replies(OutcomeUnknown{})...)
	}
	c.pendingReplies = immutable.NewMap[uint64, pendingReply](nil)
	return c, out
}

// logLeadershipLost returns the log line and the counter for a lost leadership.
func (c Core) logLeadershipLost(f consensus.LeadershipLost) []Effect {
	f.By = c.addressOrID(f.By)
	return []Effect{
		LogLeadershipLost{
			Loss: f,
		},
		IncrementCounter{
			Name:  CounterLeadershipsLost,
			Label: string(f.Cause),
		},
	}
}

// logRole returns the log line for a change of the replica's role.
func (c Core) logRole(f consensus.RoleChanged) Effect {
	var voters []string
	for _, m := range c.replica.Members().Members {
		if m.Voter {
			voters = append(voters, m.Address)
		}
	}
	return LogRole{
		Role:      f.Role,
		Term:      f.Term,
		Leader:    c.addressOrID(f.Leader),
		LastIndex: c.replica.Log().LastIndex(),
		LastTerm:  c.replica.Log().LastTerm(),
		Voters:    voters,
	}
}

// logElection returns the log line for a failed round of an election.
func (c Core) logElection(f consensus.ElectionFailed) Effect {
	f.Granted = c.addressesOrIDs(f.Granted)
	f.Silent = c.addressesOrIDs(f.Silent)
	f.Refused = slices.Clone(f.Refused)
	for i, v := range f.Refused {
		f.Refused[i].Voter = c.addressOrID(v.Voter)
	}
	return LogElection{
		Election: f,
	}
}

// addressOrID returns a member's address, or its identity if the address is unknown.
func (c Core) addressOrID(id string) string {
	if address := c.addressOf(id); address != "" {
		return address
	}
	return id
}

// addressesOrIDs returns addressOrID of each member, sorted.
func (c Core) addressesOrIDs(ids []string) (addresses []string) {
	for _, id := range ids {
		addresses = append(addresses, c.addressOrID(id))
	}
	slices.Sort(addresses)
	return addresses
}
