package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
)

func (c Core) stepSubmit(now time.Time, e Submit) (Core, []Effect) {
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
	return c.stepSubmit(now, Submit{
		Command: command,
	})
}
