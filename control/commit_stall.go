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
	// isCounted is true if the wait counts as a stall, and isLogged if it was logged.
	isCounted, isLogged bool
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

// CommitStall returns for how long the leader has committed nothing although entries wait
// for that. It is zero for a shorter time than commitStallTimeout, and if the controller
// does not lead. A controller that has not run, and has not read what the others answered,
// is not stalled.
func (c Core) CommitStall(now time.Time) time.Duration {
	if c.leadership == nil || c.leadership.commitWait.since.IsZero() || !c.replica.MayJudgeSilence(now) {
		return 0
	}
	if waited := now.Sub(c.leadership.commitWait.since); waited > commitStallTimeout {
		return waited
	}
	return 0
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
	c = c.withCommitWait(w)
	_, isTick := e.(Tick)
	waited := c.CommitStall(now)
	if !isTick || waited == 0 {
		return c, out
	}
	stall := c.describeStall(now, waited)
	if !w.isCounted {
		w.isCounted = true
		out = append(out, IncrementCounter{
			Name:  CounterCommitStalls,
			Label: stall.label(),
		})
	}
	if now.Sub(w.loggedAt) >= commitStallLogInterval {
		w.isLogged, w.loggedAt = true, now
		out = append(out, stall)
	}
	return c.withCommitWait(w), out
}

func (c Core) withCommitWait(w commitWait) Core {
	if w == c.leadership.commitWait {
		return c
	}
	l := *c.leadership
	l.commitWait = w
	c.leadership = &l
	return c
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
