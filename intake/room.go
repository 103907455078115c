package intake

import (
	"cmp"
	"slices"
	"time"
)

// minStall is how long a body must have made no progress before it is given up for another
// one. A packet that is lost on the way stalls a body for 200 to 400 ms.
const minStall = 500 * time.Millisecond

// A holder is a body that has arrived in part.
type holder struct {
	bytes  int64
	lastAt time.Time
}

// A decision tells whether bytes are taken in.
//
//sumtype:decl
type decision interface {
	isDecision()
}

// accept takes the bytes in.
type accept struct{}

// evict takes the bytes in after other bodies have been given up.
type evict struct {
	// victims holds the indexes of these bodies.
	victims []int
}

// refuse does not take the bytes in.
type refuse struct{}

func (accept) isDecision() {}
func (evict) isDecision()  {}
func (refuse) isDecision() {}

// makeRoom decides on bytes of a body. If they do not fit, the bodies that have been longest
// without progress are given up for them, provided that they have stalled.
func makeRoom(free, wanted int64, holders []holder, now time.Time) decision {
	if wanted <= free {
		return accept{}
	}
	var victims []int
	for i, h := range holders {
		if now.Sub(h.lastAt) >= minStall {
			victims = append(victims, i)
		}
	}
	slices.SortStableFunc(victims, func(a, b int) int {
		return holders[a].lastAt.Compare(holders[b].lastAt)
	})
	for n, i := range victims {
		if free += holders[i].bytes; wanted <= free {
			return evict{
				victims: victims[:n+1],
			}
		}
	}
	return refuse{}
}

// A Phase is what a connection waits for, in the order in which connections are closed when
// there are too many.
type Phase int32

// Phases of a connection.
const (
	// Waiting for a request, or for the rest of its headers.
	Waiting Phase = iota
	// ReadingBody waits for the rest of a body. Nothing has run.
	ReadingBody
	// Writing waits for the client to read an answer.
	Writing
	// TakenOver belongs to another protocol. Its clients send pings.
	TakenOver
	// Running waits for the handler. It is never closed, since it may have had effects.
	Running
)

// A Connection is what the decision on connections knows of one of them.
type Connection struct {
	Phase Phase
	// LastAt is the time of the last progress.
	LastAt time.Time
	// IsSlow is true for a body that has arrived below the lowest rate so far.
	IsSlow bool
}

// Victim returns the index of the connection to be closed when there are too many: of those
// without progress for some time the one that has been longest without it in the first phase,
// and otherwise the one that has waited longest for a request. A slow body counts as one without
// progress; another one or an answer that makes progress is not cut off. It returns -1 if there is none.
func Victim(list []Connection, now time.Time) int {
	victim := -1
	for i, c := range list {
		if c.mayBeClosed(now) && (victim < 0 || c.compare(list[victim], now) < 0) {
			victim = i
		}
	}
	return victim
}

func (c Connection) hasStalled(now time.Time) bool {
	return c.Phase == ReadingBody && c.IsSlow || now.Sub(c.LastAt) >= minStall
}

func (c Connection) mayBeClosed(now time.Time) bool {
	return c.Phase == Waiting || c.Phase != Running && c.hasStalled(now)
}

// compare returns a negative number if c is to be closed before other.
func (c Connection) compare(other Connection, now time.Time) int {
	if c.hasStalled(now) != other.hasStalled(now) {
		if c.hasStalled(now) {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.Phase, other.Phase), c.LastAt.Compare(other.LastAt))
}
