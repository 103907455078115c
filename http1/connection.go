package http1

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// idleGrace is how long a connection without a call still waits for one that is on its
// way when the server closes it.
const idleGrace = 300 * time.Millisecond

// A connection is one of a server's connections.
type connection struct {
	*net.TCPConn
	mu sync.Mutex
	// isIdle is true while the connection waits for a call.
	isIdle bool
	// isClosing is true if the connection is closed once it is idle.
	isClosing bool
}

// Read reads from the connection. Once the deadline of an idle connection that is to be
// closed has passed, it still returns what has arrived, which net.TCPConn does not: a
// call may have arrived while the process was delayed.
func (c *connection) Read(b []byte) (n int, err error) {
	n, err = c.TCPConn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isClosingIdle() {
		if arrived := c.readArrived(b); arrived > 0 {
			return arrived, nil
		}
	}
	return n, err
}

func (c *connection) isClosingIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdle && c.isClosing
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
	if limit := now.Add(idleGrace); c.isIdle && c.isClosing && (deadline.IsZero() || deadline.After(limit)) {
		deadline = limit
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// setIdle records whether the connection waits for a call.
func (c *connection) setIdle(isIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = isIdle
	if c.isClosing {
		// The deadline of an idle connection must not end the call that has arrived.
		_ = c.setReadDeadline(time.Now(), time.Time{})
	}
}

// closeIdle closes the connection once no call has arrived for idleGrace.
func (c *connection) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	if c.isIdle {
		_ = c.setReadDeadline(now, time.Time{})
	}
}
