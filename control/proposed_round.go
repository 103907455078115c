package control

import (
	"reflect"
	"slices"
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/workflow"
)

// RoundCommit tells how a round was committed.
type RoundCommit struct {
	// Round identifies the round.
	Round uint64
	// Index is the index of its log entry.
	Index uint64
	// Took is the time from the proposal until the leader applied the entry.
	Took time.Duration
}

// LogUnseenRound logs that this leader proposed a round and does not know it to be
// committed.
type LogUnseenRound struct {
	// Reason tells why the leader will not know it.
	Reason UnseenReason
	// Round identifies the round.
	Round uint64
	// Ends and Placements are the numbers of runs that it ends and places.
	Ends, Placements int
	// Age is the time since the proposal.
	Age time.Duration
}

func (LogUnseenRound) effect() {}

// An UnseenReason is why a leader does not see its round committed.
type UnseenReason string

const (
	// UnseenLeadershipEnded means that the leadership ended first. The entry may be
	// committed later or replaced: the next leader decides.
	UnseenLeadershipEnded UnseenReason = "leadership-ended"
	// UnseenRefused means that the log did not accept the round.
	UnseenRefused UnseenReason = "refused"
)

// A proposedRound is a round that the leader has proposed, with the decisions that are in
// force once it is committed.
type proposedRound struct {
	id               uint64
	proposedAt       time.Time
	ends, placements int
	records          []dispatch.DecisionRecord
}

// logUnseen returns the log line for a round that was not seen committed.
func (p proposedRound) logUnseen(now time.Time, reason UnseenReason) Effect {
	return LogUnseenRound{
		Reason:     reason,
		Round:      p.id,
		Ends:       p.ends,
		Placements: p.placements,
		Age:        now.Sub(p.proposedAt),
	}
}

// withCommittedRound returns l after a round was committed, and that round. It returns
// false if this leader has not proposed the round.
func (l *leadership) withCommittedRound(id uint64) (*leadership, proposedRound, bool) {
	i := slices.IndexFunc(l.proposedRounds, func(p proposedRound) bool { return p.id == id })
	if i < 0 {
		return l, proposedRound{}, false
	}
	next := *l
	next.proposedRounds = slices.Delete(slices.Clone(l.proposedRounds), i, i+1)
	return &next, l.proposedRounds[i], true
}

// logUnseenRounds returns a log line for each round whose commit this leader has not seen
// by the end of its leadership.
func (l *leadership) logUnseenRounds(now time.Time) (out []Effect) {
	if l == nil {
		return nil
	}
	for _, p := range l.proposedRounds {
		out = append(out, p.logUnseen(now, UnseenLeadershipEnded))
	}
	return out
}

// proposeRound replicates a round. Its decisions are logged once it is committed.
func (c Core) proposeRound(now time.Time, r plantainladder.Round, records []dispatch.DecisionRecord) (Core, []Effect) {
	p := proposedRound{
		id:         r.ID,
		proposedAt: now,
		ends:       len(r.RunEnds),
		placements: len(r.Placements),
		records:    records,
	}
	before := c.replica.Log().LastIndex()
	c, out := c.propose(now, r)
	if c.replica.Log().LastIndex() == before {
		return c, append(out, p.logUnseen(now, UnseenRefused))
	}
	l := *c.leadership
	l.proposedRounds = append(l.proposedRounds[:len(l.proposedRounds):len(l.proposedRounds)], p)
	c.leadership = &l
	return c, out
}

// logCommittedRound returns the log lines for the decisions of a round of this leader that
// was committed. Of a round that was proposed again, both copies may be committed: only
// decisions that took effect are logged.
func (c Core) logCommittedRound(now time.Time, index uint64, command plantainladder.Command, before plantainladder.State) (Core, []Effect) {
	r, isRound := command.(plantainladder.Round)
	if !isRound {
		return c, nil
	}
	l, p, known := c.leadership.withCommittedRound(r.ID)
	if !known {
		return c, nil
	}
	c.leadership = l
	var out []Effect
	for _, n := range p.records {
		if !hasChanged(before, c.state, n.RunKey.TaskKey) {
			continue
		}
		out = append(out, LogDecision{
			Record: n,
			Commit: RoundCommit{
				Round: r.ID,
				Index: index,
				Took:  now.Sub(p.proposedAt),
			},
		})
	}
	return c, out
}

// hasChanged reports whether a task differs between two states.
func hasChanged(before, after plantainladder.State, k workflow.TaskKey) bool {
	return !reflect.DeepEqual(taskOf(before, k), taskOf(after, k))
}

func taskOf(s plantainladder.State, k workflow.TaskKey) workflow.Task {
	w, _ := s.Workflow(k.Workflow)
	t, _ := w.Task(k)
	return t
}
