// Package control holds the decisions of a controller. Its Core combines the
// consensus replica, the replicated state and the unreplicated state of
// a leader in one immutable value, which turns events into effects.
package control

import (
	"time"

	"github.com/benbjohnson/immutable"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/formation"
)

// Core is the immutable state of a controller.
type Core struct {
	cfg               Config
	replica           consensus.Replica
	state             plantainladder.State
	pendingReplies    *immutable.Map[uint64, pendingReply]
	leadership        *leadership
	lastSender        string
	lastSenderAddress string
	snapshotIndex     uint64
	// snapshotBytes is the size of the state in the last snapshot.
	snapshotBytes    uint64
	isSavingSnapshot bool
	receivedSnapshot *SnapshotReceived
	fullDisk         fullDisk
	lastPulse        pulse
	formation        formation.Formation
	// isRoundTimerRunning is true while a RoundDue event is pending.
	isRoundTimerRunning bool
	// isApplyPending is true while an ApplyDue event is pending.
	isApplyPending bool
}

// NewCore returns a core with the replica and the state recovered from disk.
func NewCore(cfg Config, r consensus.Replica, s plantainladder.State) Core {
	return Core{
		cfg:            cfg,
		replica:        r,
		state:          s,
		pendingReplies: immutable.NewMap[uint64, pendingReply](nil),
		snapshotIndex:  r.Log().BaseIndex(),
	}
}

// WithSnapshotBytes returns c with the size of the state in the snapshot that was recovered.
func (c Core) WithSnapshotBytes(n uint64) Core {
	c.snapshotBytes = n
	return c
}

// WithFormation returns c with the state of the agreement on the first group.
func (c Core) WithFormation(f formation.Formation) Core {
	c.formation = f
	return c
}

// Replica returns the consensus replica.
func (c Core) Replica() consensus.Replica {
	return c.replica
}

// State returns the replicated state after the last committed entry.
func (c Core) State() plantainladder.State {
	return c.state
}

// HasLease reports whether this controller holds the lease to answer as leader.
func (c Core) HasLease(now time.Time) bool {
	return c.leadership != nil && c.replica.HasLease(now)
}

// Step returns the next state and the effects to perform.
func (c Core) Step(now time.Time, e Event) (Core, []Effect) {
	c, out := c.step(now, e)
	c, out = c.startRoundTimer(now, out)
	c, out = c.continueApplying(out)
	c, out = c.runDispatch(now, e, out)
	return c.watchCommits(now, e, out)
}

// continueApplying requests an ApplyDue event if committed entries are left to apply.
func (c Core) continueApplying(out []Effect) (Core, []Effect) {
	if c.isApplyPending || !c.replica.HasUnapplied() {
		return c, out
	}
	c.isApplyPending = true
	return c, append(out, ContinueApplying{})
}

func (c Core) step(now time.Time, e Event) (Core, []Effect) {
	switch e := e.(type) {
	case Tick:
		c, out := c.stepReplica(now, consensus.Tick{
			Jitter: e.Jitter,
		})
		c, more := c.admit(now)
		out = append(out, more...)
		c, more = c.reconcile(now)
		out = append(out, more...)
		c, more = c.tickFormation(now, e.Jitter)
		out = append(out, more...)
		c, more = c.logGroupHealth(now)
		out = append(out, more...)
		c, more = c.snapshotIfDiskFull(now)
		out = append(out, more...)
		c, more = c.handOverIfDiskFails(now)
		out = append(out, more...)
		c, more = c.logStandstill(now, e)
		return c, append(out, more...)
	case PeerMessageReceived:
		c.lastSender, c.lastSenderAddress = e.Message.From, e.SenderAddress
		return c.stepReplica(now, consensus.MessageReceived{
			Message: e.Message,
		})
	case Submit:
		return c.stepSubmit(now, e)
	case PollReceived:
		return c.stepPollReceived(now, e)
	case EntriesSynced:
		return c.stepReplica(now, consensus.EntriesSynced{
			Index: e.Index,
			Term:  e.Term,
		})
	case HardStateSynced:
		return c.stepReplica(now, consensus.HardStateSynced(e))
	case SnapshotSaved:
		return c.stepSnapshotSaved(now, e)
	case DiskFullChanged:
		return c.stepDiskFullChanged(now, e)
	case SnapshotReceived:
		return c.stepSnapshotReceived(now, e)
	case SnapshotSent:
		return c.stepReplica(now, consensus.SnapshotSent(e))
	case FormGroup:
		return c.stepReplica(now, consensus.FormGroup{
			Token: e.Token,
			Group: e.Group,
			Self:  e.Self,
		})
	case ChangeMembers:
		return c.stepReplica(now, consensus.ChangeMembers{
			Token:  e.Token,
			Change: e.Change,
		})
	case ConfirmLeadership:
		return c.stepReplica(now, consensus.ConfirmLeadership(e))
	case RoundDue:
		c.isRoundTimerRunning = false
		return c.stepReplica(now, consensus.RoundDue{})
	case ApplyDue:
		c.isApplyPending = false
		return c.stepReplica(now, consensus.ApplyDue{})
	case StepDown:
		return c.stepReplica(now, consensus.TransferLeadership{})
	case PushAnswered:
		return c.stepPushAnswered(e), nil
	case ObservationReceived:
		return c.stepObservation(now, e), nil
	case Join:
		return c.stepJoin(now, e)
	case FormationReceived:
		return c.stepFormation(now, formation.MessageReceived{
			Message: e.Message,
		})
	case TimerFired:
		return c.stepTimerFired(), nil
	}
	return c, nil
}

// stepReplica passes an event to the replica and handles the effects that the
// replica returns.
func (c Core) stepReplica(now time.Time, e consensus.Event) (Core, []Effect) {
	next, effects := c.replica.Step(now, e)
	c.replica = next
	var out []Effect
	for _, f := range effects {
		var more []Effect
		c, more = c.handleReplicaEffect(now, f)
		out = append(out, more...)
	}
	return c, out
}

func (c Core) handleReplicaEffect(now time.Time, f consensus.Effect) (Core, []Effect) {
	switch f := f.(type) {
	case consensus.Persist:
		return c, []Effect{
			WriteLog{
				Persist: f,
			},
		}
	case consensus.Send:
		return c, []Effect{
			c.sendMessage(f.Message, f.AfterSync),
		}
	case consensus.SendSnapshot:
		return c, []Effect{
			StreamSnapshot{
				Send:    f,
				Address: c.addressOf(f.To),
			},
		}
	case consensus.Apply:
		return c.applyCommitted(now, f.Entries)
	case consensus.Appended:
		return c.replyOnceCommitted(f)
	case consensus.LeadershipConfirmed:
		return c, []Effect{
			Reply{
				Token:  f.Token,
				Answer: LeadershipConfirmed{},
			},
		}
	case consensus.Refused:
		return c.replyRefused(f)
	case consensus.RoleChanged:
		return c.roleChanged(now, f)
	case consensus.ElectionFailed:
		return c, []Effect{
			c.logElection(f),
		}
	case consensus.LeadershipLost:
		return c, c.logLeadershipLost(f)
	case consensus.InstallSnapshot:
		return c.installSnapshot()
	}
	return c, nil
}

func (c Core) sendMessage(m consensus.Message, afterSync bool) SendMessage {
	return SendMessage{
		Message:       m,
		Address:       c.addressOf(m.To),
		SenderAddress: c.addressOf(m.From),
		AfterSync:     afterSync,
	}
}

// KeepAlives returns the messages to send while the event loop of a leader is late; see
// consensus.Replica.KeepAlives.
func (c Core) KeepAlives() (list []SendMessage) {
	for _, m := range c.replica.KeepAlives() {
		list = append(list, c.sendMessage(m, false))
	}
	return list
}

// applyCommitted applies committed entries and replies to the requests that
// wait for them.
func (c Core) applyCommitted(now time.Time, entries []consensus.Entry) (Core, []Effect) {
	var out []Effect
	for _, e := range entries {
		var o plantainladder.Outcome
		var more []Effect
		c, o, more = c.applyEntry(now, e)
		out = append(out, more...)
		pending, ok := c.pendingReplies.Get(e.Index)
		if !ok {
			continue
		}
		c.pendingReplies = c.pendingReplies.Delete(e.Index)
		var a Answer = Committed{
			Outcome: o,
		}
		if pending.term != e.Term {
			a = OutcomeUnknown{}
		}
		out = append(out, pending.replies(a)...)
	}
	if c.leadership != nil {
		c.leadership = c.leadership.withDirty()
	}
	c, more := c.snapshotIfDue()
	return c, append(out, more...)
}

func (c Core) applyEntry(now time.Time, e consensus.Entry) (Core, plantainladder.Outcome, []Effect) {
	data, ok := e.Payload.(consensus.Data)
	if !ok {
		var out []Effect
		if m, isMembers := e.Payload.(consensus.Members); isMembers {
			out = logMembers(e, m)
		}
		return c, plantainladder.Outcome{
			Index: e.Index,
		}, out
	}
	envelope, err := c.cfg.Codec.Decode(data.Bytes)
	if err != nil {
		return c.skipEntry(e, err)
	}
	before := c.state
	next, o := before.Apply(e.Index, envelope)
	c.state = next
	if c.leadership == nil {
		return c, o, nil
	}
	counter := IncrementCounter{
		Name:  CounterCommands,
		Label: "accepted",
	}
	if !o.IsAccepted() {
		counter = IncrementCounter{
			Name:  CounterRefusals,
			Label: string(o.Reason),
		}
	}
	out := []Effect{
		counter,
	}
	if e.Term != c.leadership.term {
		// Entries of earlier terms were logged by the leaders of those terms.
		return c, o, out
	}
	c, more := c.logCommittedRound(now, e.Index, envelope.Command, before)
	out = append(out, more...)
	return c, o, append(out, logCommand(before, next, envelope)...)
}

// skipEntry ignores an entry that cannot be decoded. All replicas hold the same
// bytes, so all of them skip it and their states stay equal.
func (c Core) skipEntry(e consensus.Entry, err error) (Core, plantainladder.Outcome, []Effect) {
	o := plantainladder.Outcome{
		Reason: plantainladder.RefusedBadField,
		Detail: err.Error(),
		Index:  e.Index,
	}
	return c, o, []Effect{
		LogMessage{
			Text: "Log entry cannot be decoded and is skipped.",
		},
	}
}
