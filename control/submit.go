package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
)

func (c Core) stepSubmit(now time.Time, e Submit) (Core, []Effect) {
	var reason BusyReason
	switch {
	case !c.AcceptsCommands(now):
		reason = BusyGroupIncomplete
	case c.isCommitStalled():
		// The entry would wait behind those that are not committed, and the caller would
		// not learn the outcome in time. The entries that wait show when commits go on.
		reason = BusyCommitStalled
	default:
		return c.replicate(now, e)
	}
	return c, []Effect{
		Reply{
			Token: e.Token,
			Answer: Busy{
				Reason: reason,
			},
		},
	}
}

func (c Core) replicate(now time.Time, e Submit) (Core, []Effect) {
	b, err := c.cfg.Codec.Encode(plantainladder.Envelope{
		ID:      e.ID,
		At:      now,
		Command: e.Command,
	})
	if err != nil {
		return c, []Effect{
			Reply{
				Token: e.Token,
				Answer: Refused{
					Reason: string(plantainladder.RefusedBadField),
					Detail: err.Error(),
				},
			},
		}
	}
	return c.stepReplica(now, consensus.Propose{
		Proposals: []consensus.Proposal{
			{
				Token: e.Token,
				Bytes: b,
			},
		},
	})
}

// propose replicates a command that the leader itself issues.
func (c Core) propose(now time.Time, command plantainladder.Command) (Core, []Effect) {
	return c.replicate(now, Submit{
		Command: command,
	})
}
