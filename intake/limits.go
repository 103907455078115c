// Package intake decides how much a process takes in from clients that nobody controls: how
// many bytes of requests it holds, how long a request may take to arrive, and which
// connection is closed when there are too many.
package intake

import "time"

// FreeBytes is the part of each body that is not charged to a Budget: it is within what a
// connection is expected to hold. Pings and most jobs are smaller.
const FreeBytes = 4 << 10

// quantum is the unit of charges. A body that grows is charged before its buffer is full.
const quantum = 16 << 10

// minRatedTime is the age from which the rate of a body counts. On a link of 1.5 Mbit/s, three
// times the lowest rate, a packet that is lost takes 0.4 s of the first second.
const minRatedTime = time.Second

// Limits holds the limits of one server. A zero value of a field means no limit.
type Limits struct {
	// MaxConnections is the largest number of open connections.
	MaxConnections int
	// BodyGrace is how long a body may take whatever its size is.
	BodyGrace time.Duration
	// BodyRate is the lowest rate of a body that takes longer, in bytes a second.
	BodyRate int64
	// BodyTimeout is how long a body may take at most.
	BodyTimeout time.Duration
	// StallTimeout is how long a body or an answer may make no progress.
	StallTimeout time.Duration
	// SocketBytes is the size of the receive and of the send buffer of each socket. The
	// kernel uses up to twice as much.
	SocketBytes int
}

// A Progress is how far a body has arrived. It is immutable.
type Progress struct {
	startedAt time.Time
	lastAt    time.Time
	received  int64
}

// NewProgress returns the progress of a body that begins.
func NewProgress(now time.Time) Progress {
	return Progress{
		startedAt: now,
		lastAt:    now,
	}
}

// WithBytes returns p after n more bytes have arrived.
func (p Progress) WithBytes(n int, now time.Time) Progress {
	p.received += int64(n)
	p.lastAt = now
	return p
}

// Received returns the number of bytes that have arrived.
func (p Progress) Received() int64 {
	return p.received
}

// charge returns the number of bytes that the body is charged for.
func (p Progress) charge() int64 {
	over := max(p.received-FreeBytes, 0)
	return (over + quantum - 1) / quantum * quantum
}

// Deadline returns the time until which the next bytes of a body must arrive; zero if
// there is no limit.
func (l Limits) Deadline(p Progress) (deadline time.Time) {
	if l.BodyRate > 0 {
		arriving := time.Duration(float64(p.received) / float64(l.BodyRate) * float64(time.Second))
		deadline = earlier(deadline, p.startedAt.Add(l.BodyGrace+arriving))
	}
	if l.BodyTimeout > 0 {
		deadline = earlier(deadline, p.startedAt.Add(l.BodyTimeout))
	}
	if l.StallTimeout > 0 {
		deadline = earlier(deadline, p.lastAt.Add(l.StallTimeout))
	}
	return deadline
}

// IsSlow reports whether a body has arrived below the lowest rate so far. The deadline allows
// this for as long as BodyGrace, if there is room for the body's connection.
func (l Limits) IsSlow(p Progress, now time.Time) bool {
	age := now.Sub(p.startedAt)
	return age >= minRatedTime && float64(p.received) < age.Seconds()*float64(l.BodyRate)
}

// earlier returns the earlier one of two times, of which a may be zero for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
