package node

import (
	"context"
	"fmt"
	"time"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/wire"
)

// perform performs one effect of the controller's core. It blocks only while the
// queue of the disk writer is full.
func (n *Node) perform(f control.Effect) {
	switch f := f.(type) {
	case control.WriteLog:
		n.writer.Enqueue(n.ctx, disk.Append{
			Persist: f.Persist,
		})
	case control.SendMessage:
		n.sendMessage(f)
	case control.SaveFormation:
		n.saveFormation(f.Save)
	case control.SendFormation:
		n.sendFormation(f.Send)
	case control.LogFormation:
		n.logFormation(f.Record)
	case control.StreamSnapshot:
		n.peers.QueueSnapshot(f.Address, f.Send)
	case control.SaveSnapshot:
		go n.saveSnapshot(f)
	case control.InstallSnapshot:
		n.writer.Enqueue(n.ctx, disk.SaveSnapshot{
			Snapshot: disk.Snapshot{
				Meta:  f.Meta,
				State: f.Encoded,
			},
			KeepAfter: disk.KeepNone,
			Done:      func() {},
		})
	case control.Reply:
		n.pending.Answer(f.Token, f.Answer)
	case control.Push:
		n.pusher.Push(n.ctx, f)
	case control.SendOrder:
		n.cfg.Send(f.Order, n.postOrderCompleted)
	case control.ReadInventory:
		n.cfg.ReadInventory(n.postInventoryRead)
	case control.StartTimer:
		time.AfterFunc(f.Delay, func() {
			_ = n.loop.Post(n.ctx, control.TimerFired{})
		})
	case control.StartRoundTimer:
		time.AfterFunc(f.Delay, func() {
			_ = n.loop.Post(n.ctx, control.RoundDue{})
		})
	case control.ContinueApplying:
		// The event loop must not wait for room in its own queue.
		go func() { _ = n.loop.Post(n.ctx, control.ApplyDue{}) }()
	case control.LogDecision:
		n.logDecision(f)
	case control.LogUnseenRound:
		n.logUnseenRound(f)
	case control.LogMembers:
		n.logMembers(f)
	case control.LogGroupHealth:
		n.logger.Info().Int("tolerated", f.Tolerated).Int("missing", f.Missing).Strs("silent", f.Silent).
			Msg("The number of controllers that the group can lose was assessed anew.")
	case control.LogRole:
		n.logRole(f)
	case control.LogElection:
		n.logElection(f.Election)
	case control.LogLeadershipLost:
		n.logLeadershipLost(f.Loss)
	case control.LogStandstill:
		n.logger.Warn().Dur("steady", f.Steady).Dur("time-of-day", f.TimeOfDay).Bool("leader", f.IsLeader).
			Msg("Controller stood still, or a clock was set.")
	case control.LogCommitStalled:
		n.logCommitStalled(f)
	case control.LogCommitResumed:
		n.logger.Info().Dur("took", f.Took).Uint64("commit-index", f.CommitIndex).Msg("The leader commits again.")
	case control.LogMessage:
		n.logger.Info().Msg(f.Text)
	case control.IncrementCounter:
		n.meters.increment(f)
	}
}

// postOrderCompleted posts the result of an order to the event loop.
func (n *Node) postOrderCompleted(a dispatch.OrderCompleted) {
	_ = n.loop.Post(n.ctx, control.ObservationReceived{
		Observation: a,
	})
}

// postInventoryRead posts a reading of the inventory to the event loop.
func (n *Node) postInventoryRead(r dispatch.InventoryRead) {
	_ = n.loop.Post(n.ctx, control.ObservationReceived{
		Observation: r,
	})
}

// logUnseenRound logs that this leader does not know its round to be committed.
func (n *Node) logUnseenRound(f control.LogUnseenRound) {
	n.logger.Warn().Str("reason", string(f.Reason)).Uint64("round", f.Round).Int("ends", f.Ends).
		Int("placements", f.Placements).Dur("age", f.Age).Msg("A proposed round was not seen committed by this leader.")
}

// logCommitStalled logs that this leader commits nothing, with what the voters hold.
func (n *Node) logCommitStalled(f control.LogCommitStalled) {
	voters := make([]string, 0, len(f.Voters))
	for _, v := range f.Voters {
		voters = append(voters, fmt.Sprintf("%s match %d contact-age %dms", v.Address, v.Match, v.ContactAge.Milliseconds()))
	}
	n.logger.Warn().Dur("waited", f.Waited).Uint64("commit-index", f.CommitIndex).Uint64("last-index", f.LastIndex).
		Uint64("synced-index", f.SyncedIndex).Strs("voters", voters).Msg("The leader commits nothing.")
}

// logDecision logs a decision on a workflow or one of its runs, with the commit of its
// round.
func (n *Node) logDecision(f control.LogDecision) {
	d := f.Record
	line := n.logger.Info().Str("reason", d.Reason)
	if d.RunKey.Workflow != "" {
		line = line.Str("workflow", d.RunKey.Workflow).Int("occurrence", d.RunKey.Occurrence).
			Int("step", d.RunKey.Step).Int("index", d.RunKey.Index).Int("run", d.RunKey.Run)
	}
	if d.Worker != "" {
		line = line.Str("worker", d.Worker)
	}
	if d.Tasks > 0 {
		line = line.Int("tasks", d.Tasks)
	}
	if d.Queue != "" {
		line = line.Str("queue", d.Queue)
	}
	if !d.CompleteBy.IsZero() {
		line = line.Time("due", d.CompleteBy)
	}
	if f.Commit.Round != 0 {
		line = line.Uint64("round", f.Commit.Round).Uint64("log-index", f.Commit.Index).Dur("commit-took", f.Commit.Took)
	}
	line.Dur("age", d.Age).Msg(d.Text)
}

// logMembers logs the members of the group by address, with what they replace.
func (n *Node) logMembers(f control.LogMembers) {
	var voters, learners []string
	for _, m := range f.Members.Members {
		text := m.Address + " " + m.ID
		if m.Replaces != "" {
			text += " for " + m.Replaces
		}
		if m.Voter {
			voters = append(voters, text)
			continue
		}
		learners = append(learners, text)
	}
	n.logger.Info().Uint64("index", f.Index).Strs("voters", voters).Strs("learners", learners).
		Msg("The members of the group have changed.")
}

// Post queues an event for the event loop. It waits while the queue is full,
// and returns the error of ctx if that ends first.
func (n *Node) Post(ctx context.Context, e control.Event) error {
	return n.loop.Post(ctx, e)
}

// Core returns the controller's last published core.
func (n *Node) Core() control.Core {
	return n.loop.State()
}

// sendMessage sends a message to another replica, after the log is synced if the
// message requires it.
func (n *Node) sendMessage(f control.SendMessage) {
	if !f.AfterSync {
		n.peers.QueueMessage(f.Address, f.SenderAddress, f.Message)
		return
	}
	queuedAt := time.Now()
	_, isVote := f.Message.Body.(consensus.VoteReply)
	n.writer.Enqueue(n.ctx, disk.After{
		// Consensus repeats what is lost, and a later message of a kind says more.
		Key: f.Message.To + " " + typeName(f.Message.Body),
		// A vote tells nothing about the entries that the voter holds.
		NeedsOnlyHardState: isVote,
		Run: func() {
			n.peers.QueueMessage(f.Address, f.SenderAddress, f.Message)
			if isVote {
				n.reportVoteSent(f, time.Since(queuedAt))
			}
		},
	})
}

// saveSnapshot encodes a state and queues the snapshot for the disk. It runs outside
// the event loop, which continues meanwhile, since states are immutable.
func (n *Node) saveSnapshot(f control.SaveSnapshot) {
	startedAt := time.Now()
	state, err := wire.MarshalState(f.State)
	if err != nil {
		n.logger.Error().Err(err).Msg("Encoding a snapshot failed.")
		return
	}
	n.meters.observeSnapshot(len(state), time.Since(startedAt))
	saved := make(chan struct{})
	n.writer.Enqueue(n.ctx, disk.SaveSnapshot{
		Snapshot: disk.Snapshot{
			Meta:  f.Meta,
			State: state,
		},
		KeepAfter: f.KeepAfter,
		Done:      func() { close(saved) },
	})
	select {
	case <-n.ctx.Done():
	case <-saved:
		_ = n.loop.Post(n.ctx, control.SnapshotSaved{
			Index:     f.Meta.Index,
			Bytes:     uint64(len(state)),
			KeepAfter: f.KeepAfter,
		})
	}
}
