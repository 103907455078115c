package node

import (
	"time"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
)

// maxVoteWait is the time that a vote waits for a disk that is fast enough.
const maxVoteWait = 100 * time.Millisecond

// logRole logs the replica's role with what its next election depends on.
func (n *Node) logRole(f control.LogRole) {
	n.logger.Info().Uint64("term", f.Term).Str("leader", f.Leader).Uint64("last-index", f.LastIndex).
		Uint64("last-term", f.LastTerm).Strs("voters", f.Voters).Msg("Replica role is now " + f.Role + ".")
}

// logElection logs a failed round of an election with the answers of the voters.
func (n *Node) logElection(f consensus.ElectionFailed) {
	refused := make([]string, 0, len(f.Refused))
	for _, v := range f.Refused {
		text := v.Voter
		if v.Reason != "" {
			text += " " + string(v.Reason)
		}
		refused = append(refused, text)
	}
	n.logger.Info().Str("round", string(f.Kind)).Str("cause", string(f.End)).Uint64("term", f.Term).Dur("took", f.Duration).
		Strs("granted", f.Granted).Strs("refused", refused).Strs("silent", f.Silent).Msg("Election failed.")
}

// logLeadershipLost logs why this controller does not lead any more.
func (n *Node) logLeadershipLost(l consensus.LeadershipLost) {
	n.logger.Warn().Uint64("term", l.Term).Str("cause", string(l.Cause)).Str("by", l.By).Dur("led", l.Duration).
		Dur("contact-age", l.ContactAge).Bool("established", l.IsEstablished).Msg("Leadership was lost.")
}

// reportVoteSent records how long a vote has waited for the disk, and logs it if that was
// too long.
func (n *Node) reportVoteSent(f control.SendMessage, waited time.Duration) {
	n.meters.voteSyncSeconds.Update(waited.Seconds())
	if waited > maxVoteWait {
		n.logger.Warn().Dur("waited", waited).Uint64("term", f.Message.Term).Str("to", f.Address).
			Msg("A vote was sent late, since it waited for the disk.")
	}
}
