package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/plantainladder/plantainladder/intake"
)

const (
	// idleGrace is how long a connection without a call still waits for one that is on its
	// way when the server closes it.
	idleGrace = 300 * time.Millisecond
	// stoppingStall is how long a body or an answer may make no progress once the server
	// closes its connections.
	stoppingStall = 500 * time.Millisecond
	// pieceBytes is the size of the pieces of an answer, each of which must be written within
	// the stall timeout.
	pieceBytes = 32 << 10
)

// A connection is one of a server's connections.
type connection struct {
	*net.TCPConn
	server *Server
	// phase is an intake.Phase, and lastAt the time of the last progress, as the time.Duration
	// since the start of the server.
	phase  atomic.Int32
	lastAt atomic.Int64
	// body is the progress of the body that the handler waits for; it holds in ReadingBody.
	body atomic.Pointer[intake.Progress]
	// isCut is true once the connection was closed at the limit of connections.
	isCut atomic.Bool
	// interrupted is true once the body under way was given up for another one.
	interrupted atomic.Bool
	mu          sync.Mutex
	// isClosing is true if the connection is closed once it is idle.
	isClosing bool
	// hasBegun is true if a part of a call's headers has arrived.
	hasBegun bool
}

func (c *connection) state(now time.Time) intake.Connection {
	body := c.body.Load()
	return intake.Connection{
		Phase:  intake.Phase(c.phase.Load()),
		LastAt: c.server.startedAt.Add(time.Duration(c.lastAt.Load())),
		IsSlow: body != nil && c.server.cfg.Limits.IsSlow(*body, now),
	}
}

func (c *connection) isIn(p intake.Phase) bool {
	return intake.Phase(c.phase.Load()) == p
}

func (c *connection) setPhase(p intake.Phase) {
	c.phase.Store(int32(p))
}

// advance records that the connection has made progress.
func (c *connection) advance(now time.Time) {
	c.lastAt.Store(int64(now.Sub(c.server.startedAt)))
}

// Read reads from the connection. Once the deadline of a body has passed, or of an idle
// connection that is to be closed, it still returns what has arrived, which net.TCPConn does
// not: it may have arrived in time while the process was delayed.
func (c *connection) Read(b []byte) (n int, err error) {
	n, err = c.TCPConn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.readsLate() {
		if arrived := c.readArrived(b); arrived > 0 {
			n, err = arrived, nil
		}
	}
	switch {
	case c.isIn(intake.Waiting):
		c.noteHeader(n, errors.Is(err, os.ErrDeadlineExceeded))
	case n > 0:
		c.advance(time.Now())
	}
	return n, err
}

// readsLate reports whether what has arrived is read after the deadline.
func (c *connection) readsLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIn(intake.Waiting) && c.isClosing || c.isIn(intake.ReadingBody) && !c.interrupted.Load()
}

// noteHeader records bytes of a call's headers, or that the rest is late.
func (c *connection) noteHeader(n int, isLate bool) {
	c.mu.Lock()
	isSlow := isLate && c.hasBegun
	// The parser reads again after an error, which counts once.
	c.hasBegun = (c.hasBegun || n > 0) && !isLate
	c.mu.Unlock()
	if isSlow {
		c.server.countRefusal(SlowHeader, time.Now())
	}
}

// readArrived reads without waiting. It returns 0 if nothing has arrived.
func (c *connection) readArrived(b []byte) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) {
		n, _ = syscall.Read(int(fd), b)
	})
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// Write writes to the connection. A client that reads too slowly gets no more.
func (c *connection) Write(b []byte) (n int, err error) {
	stall := c.server.cfg.Limits.StallTimeout
	if stall == 0 || c.isIn(intake.TakenOver) {
		return c.TCPConn.Write(b)
	}
	before, ok := c.enter(intake.Writing)
	if !ok {
		return 0, net.ErrClosed
	}
	defer c.enter(before)
	for n < len(b) {
		now := time.Now()
		c.advance(now)
		if err = c.setAnswerDeadline(now, stall); err != nil {
			return n, err
		}
		written, err := c.TCPConn.Write(b[n:min(n+pieceBytes, len(b))])
		n += written
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.server.countRefusal(SlowAnswer, time.Now())
			}
			return n, err
		}
	}
	return n, nil
}

// ReadFrom writes what it reads from r, piece by piece as Write does.
func (c *connection) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

func (c *connection) setAnswerDeadline(now time.Time, stall time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		stall = min(stall, stoppingStall)
	}
	return c.SetWriteDeadline(now.Add(stall))
}

// Close closes the connection. net/http does not tell the end of one that a handler has
// taken over.
func (c *connection) Close() error {
	if c.isIn(intake.TakenOver) {
		c.server.connections.takenOverClosed(c)
	}
	return c.TCPConn.Close()
}

// enter moves the connection to another phase and returns the one before. It returns false if
// the connection was cut.
func (c *connection) enter(p intake.Phase) (before intake.Phase, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCut.Load() {
		return before, false
	}
	return intake.Phase(c.phase.Swap(int32(p))), true
}

// cut closes the connection at the limit of connections, and reports whether it did: not if the
// connection has left the phase in which it was chosen, since its call may run now. The goroutine
// that serves it ends with the error of its next read or write.
func (c *connection) cut(chosenIn intake.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIn(chosenIn) {
		return false
	}
	c.isCut.Store(true)
	_ = c.TCPConn.Close()
	return true
}

// SetReadDeadline sets the read deadline that net/http asks for, or idleGrace if that
// is sooner and the connection is idle and to be closed. net/http closes the connection
// after the deadline, if nothing has arrived; a call to Close could reset it with a call
// unread.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setReadDeadline(time.Now(), deadline)
}

func (c *connection) setReadDeadline(now, deadline time.Time) error {
	if limit := now.Add(idleGrace); c.isIn(intake.Waiting) && c.isClosing && (deadline.IsZero() || deadline.After(limit)) {
		deadline = limit
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// setIdle records whether the connection waits for a call.
func (c *connection) setIdle(isIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(intake.Running)
	if isIdle {
		c.setPhase(intake.Waiting)
	}
	c.hasBegun = false
	c.advance(time.Now())
	if c.isClosing {
		// The deadline of an idle connection must not end the call that has arrived.
		_ = c.setReadDeadline(time.Now(), time.Time{})
	}
}

// closeIdle closes the connection once no call has arrived for idleGrace. A body or an answer
// that makes no progress ends after stoppingStall.
func (c *connection) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	switch intake.Phase(c.phase.Load()) {
	case intake.Waiting:
		_ = c.setReadDeadline(now, time.Time{})
	case intake.ReadingBody:
		_ = c.TCPConn.SetReadDeadline(now.Add(stoppingStall))
	case intake.Writing:
		_ = c.SetWriteDeadline(now.Add(stoppingStall))
	case intake.Running, intake.TakenOver:
	}
}

// startBody prepares the connection for the body of a call. Until the handler reads it, the call
// is running.
func (c *connection) startBody(deadline, now time.Time) {
	c.interrupted.Store(false)
	c.setBodyDeadline(deadline, now)
}

// startRead records that the handler waits for bytes of a body. It returns false if the
// connection was cut.
func (c *connection) startRead(p intake.Progress, now time.Time) bool {
	// The time in which the handler did not read is no stall of the client.
	c.advance(now)
	c.body.Store(&p)
	c.setBodyDeadline(c.server.cfg.Limits.Deadline(p), now)
	_, ok := c.enter(intake.ReadingBody)
	return ok
}

// endRead records that the handler has what it waited for. It returns false if the connection
// was cut meanwhile: the handler must not act on the body.
func (c *connection) endRead() bool {
	_, ok := c.enter(intake.Running)
	return ok
}

// setBodyDeadline sets the time until which the next bytes of a body must arrive; zero for no
// limit.
func (c *connection) setBodyDeadline(deadline, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := now.Add(stoppingStall); c.isClosing && (deadline.IsZero() || deadline.After(limit)) {
		deadline = limit
	}
	if c.interrupted.Load() {
		deadline = now
	}
	_ = c.TCPConn.SetReadDeadline(deadline)
}

// endBody removes the deadline of a body that has arrived.
func (c *connection) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.TCPConn.SetReadDeadline(time.Time{})
}

// interruptBody ends the reading of the body under way.
func (c *connection) interruptBody() {
	c.drainBody(time.Now())
}

// drainBody lets the rest of a refused body be read until a deadline.
func (c *connection) drainBody(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted.Store(true)
	_ = c.TCPConn.SetReadDeadline(deadline)
}

func (c *connection) isInterrupted() bool {
	return c.interrupted.Load()
}
