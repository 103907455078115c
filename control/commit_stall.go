package control

import (
	"slices"
	"strings"
	"time"
)

const (
	// commitStallTimeout is the time without a commit from which on a leader with
	// uncommitted entries counts as stalled: several times a slow sync of a disk.
	commitStallTimeout = time.Second
	// commitStallLogInterval is the least time between two lines on stalled commits.
	commitStallLogInterval = 10 * time.Second
)

// LogCommitStalled logs that a leader commits nothing although entries wait for that.
type LogCommitStalled struct {
	// Waited is the time for which the oldest uncommitted entry has waited.
	Waited time.Duration
	// CommitIndex is the last committed entry, LastIndex the last entry of the log, and
	// SyncedIndex the last entry on the leader's own disk.
	CommitIndex, LastIndex, SyncedIndex uint64
	// Voters holds the replication state of the other voters, sorted by address.
	Voters []VoterProgress
}

// LogCommitResumed logs that a leader commits again.
type LogCommitResumed struct {
	// Took is the time for which the oldest uncommitted entry waited.
	Took time.Duration
	// CommitIndex is the last committed entry.
	CommitIndex uint64
}

// VoterProgress is the replication state of a voter as its leader sees it.
type VoterProgress struct {
	// Address is the voter's address.
	Address string
	// Match is the last entry that is known to be on the voter's disk.
	Match uint64
	// ContactAge is the time since the leader sent the last message that the voter has
	// answered.
	ContactAge time.Duration
}

func (LogCommitStalled) effect() {}
func (LogCommitResumed) effect() {}

// Labels of CounterCommitStalls: what the oldest uncommitted entry waits for.
const (
	// LabelOwnDisk means that the entry is not on the leader's own disk.
	LabelOwnDisk = "own-disk"
	// LabelVoters means that too few other voters have it on their disks.
	LabelVoters = "voters"
)

// commitWait is the wait of a leader's oldest uncommitted entry.
type commitWait struct {
	// commitIndex is the last committed entry.
	commitIndex uint64
	// since is when the oldest uncommitted entry began to wait, or became the oldest one;
	// zero if all entries are committed.
	since time.Time
	// isStalled is true if a tick has found the wait too long, and isLogged if that was
	// logged.
	isStalled, isLogged bool
	// loggedAt is when a stall was last logged, in this wait or before.
	loggedAt time.Time
}

// withProgress returns w for a log with the given indices.
func (w commitWait) withProgress(now time.Time, commitIndex, lastIndex uint64) commitWait {
	switch {
	case lastIndex <= commitIndex:
		return commitWait{
			commitIndex: commitIndex,
			loggedAt:    w.loggedAt,
		}
	case commitIndex != w.commitIndex || w.since.IsZero():
		return commitWait{
			commitIndex: commitIndex,
			since:       now,
			loggedAt:    w.loggedAt,
		}
	}
	return w
}

func (w commitWait) isTooLong(now time.Time) bool {
	return !w.since.IsZero() && now.Sub(w.since) > commitStallTimeout
}

// CommitStall returns for how long the leader has committed nothing although entries wait
// for that. It is zero if the leader is not stalled, or if the controller does not lead.
func (c Core) CommitStall(now time.Time) time.Duration {
	if !c.isCommitStalled() {
		return 0
	}
	return now.Sub(c.leadership.commitWait.since)
}

func (c Core) isCommitStalled() bool {
	return c.leadership != nil && c.leadership.commitWait.isStalled
}

// watchCommits records how long the oldest uncommitted entry waits, and logs when the
// leader stalls and commits again.
func (c Core) watchCommits(now time.Time, e Event, out []Effect) (Core, []Effect) {
	if c.leadership == nil {
		return c, out
	}
	before := c.leadership.commitWait
	w := before.withProgress(now, c.replica.CommitIndex(), c.replica.Log().LastIndex())
	if before.isLogged && !w.isLogged {
		out = append(out, LogCommitResumed{
			Took:        now.Sub(before.since),
			CommitIndex: w.commitIndex,
		})
	}
	if _, isTick := e.(Tick); isTick && w.isTooLong(now) {
		w, out = c.noteStall(now, w, out)
	}
	if w == before {
		return c, out
	}
	l := *c.leadership
	l.commitWait = w
	c.leadership = &l
	return c, out
}

// noteStall counts and logs a wait that is too long. A controller that has not run, and so
// has not read what the others answered, does not count as stalled.
func (c Core) noteStall(now time.Time, w commitWait, out []Effect) (commitWait, []Effect) {
	isLineDue := now.Sub(w.loggedAt) >= commitStallLogInterval
	if w.isStalled && !isLineDue || !w.isStalled && !c.replica.MayJudgeSilence(now) {
		return w, out
	}
	stall := c.describeStall(now, now.Sub(w.since))
	if !w.isStalled {
		w.isStalled = true
		out = append(out, IncrementCounter{
			Name:  CounterCommitStalls,
			Label: stall.label(),
		})
	}
	if isLineDue {
		w.isLogged, w.loggedAt = true, now
		out = append(out, stall)
	}
	return w, out
}

// describeStall returns the log line for a leader that commits nothing.
func (c Core) describeStall(now time.Time, waited time.Duration) LogCommitStalled {
	own, _ := c.replica.Progress(c.replica.Leader())
	stall := LogCommitStalled{
		Waited:      waited,
		CommitIndex: c.replica.CommitIndex(),
		LastIndex:   c.replica.Log().LastIndex(),
		SyncedIndex: own.Match,
	}
	for _, m := range c.replica.Members().Members {
		p, known := c.replica.Progress(m.ID)
		if !m.Voter || !known || m.ID == c.replica.Leader() {
			continue
		}
		contact := p.LastContact
		if contact.Before(p.TrackedAt) {
			contact = p.TrackedAt
		}
		stall.Voters = append(stall.Voters, VoterProgress{
			Address:    m.Address,
			Match:      p.Match,
			ContactAge: now.Sub(contact),
		})
	}
	slices.SortFunc(stall.Voters, func(a, b VoterProgress) int {
		return strings.Compare(a.Address, b.Address)
	})
	return stall
}

// label returns the label with which the stall is counted.
func (f LogCommitStalled) label() string {
	if f.SyncedIndex <= f.CommitIndex {
		return LabelOwnDisk
	}
	return LabelVoters
}
