package node

import (
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/formation"
)

// loadFormation returns the stored state of the agreement on the first group. On the
// first start it stores the state to begin with: a controller that finds none later has
// lost its disk.
func loadFormation(cfg Config, folder *disk.Folder, r consensus.Replica) (s formation.Stored, err error) {
	s, ok, err := folder.LoadFormation()
	hasGroup := r.Group() != ""
	if err != nil || ok || hasGroup || !cfg.IsFirstStart || len(cfg.Founders) == 0 {
		return s, err
	}
	s = formation.Stored{
		Founders: cfg.Founders,
		Founder:  cfg.Founder,
	}
	return s, folder.SaveFormation(s)
}

// saveFormation queues the storing of the state of the agreement on the first group,
// after what was queued for the log before.
func (n *Node) saveFormation(s formation.Save) {
	n.writer.Enqueue(n.ctx, disk.After{
		Run: func() {
			if err := n.folder.SaveFormation(s.Stored); err != nil {
				n.logger.Error().Err(err).Msg("Storing the agreement on the first group failed; its answers are not sent.")
				return
			}
			for _, m := range s.Then {
				n.sendFormation(m)
			}
		},
	})
}

// sendFormation sends a message on the first group without blocking. What is dropped
// is sent again.
func (n *Node) sendFormation(s formation.Send) {
	if s.ToSelf {
		n.loop.TryPost(control.FormationReceived{
			Message: s.Message,
		})
		return
	}
	n.peers.QueueFormation(s.Address, s.Message)
}

// logFormation logs a decision on the first group.
func (n *Node) logFormation(r formation.Record) {
	line := n.logger.Info()
	if r.NeedsOperator {
		line = n.logger.Warn()
	}
	var voters []string
	for _, m := range r.Group.Members {
		voters = append(voters, m.Address)
	}
	line.Uint64("round", r.Ballot.Round).Int("founder", r.Ballot.Founder).Int("from", r.From).Str("group", r.Group.Group).
		Strs("voters", voters).Int("reachable", r.Reachable).Int("required", r.Required).Strs("lost-founders", r.LostFounders).
		Bool("needs-operator", r.NeedsOperator).Dur("age", r.Age).Msg(r.Text)
}
