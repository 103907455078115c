package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantainladder/plantainladder/intake"
)

// connections tracks the connections of a server.
type connections struct {
	server *Server
	mu     sync.Mutex
	// open holds the connections of net/http and those that handlers have taken over.
	open map[*connection]bool
	// received counts the calls whose headers were read, malformed ones included.
	received int
	// isClosing is true if connections without a call are being closed.
	isClosing bool
	// noneOpen is closed and removed once no connection is open; nil if nobody waits.
	noneOpen chan struct{}
}

// stateChanged is the ConnState hook of the HTTP server.
func (c *connections) stateChanged(tcp net.Conn, state http.ConnState) {
	conn := tcp.(*connection)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*connection]bool{}
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.open[conn] = true
		conn.setIdle(true)
		if c.isClosing {
			conn.closeIdle(time.Now())
		}
		if state == http.StateNew {
			c.closeSurplus(time.Now())
		}
	case http.StateActive:
		c.received++
		conn.setIdle(false)
	case http.StateHijacked:
		conn.setPhase(intake.TakenOver)
	case http.StateClosed:
		c.remove(conn)
	}
}

// remove forgets a connection that is closed.
func (c *connections) remove(conn *connection) {
	delete(c.open, conn)
	if len(c.open) == 0 && c.noneOpen != nil {
		close(c.noneOpen)
		c.noneOpen = nil
	}
}

// takenOverClosed is called when a connection is closed that a handler has taken over.
func (c *connections) takenOverClosed(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(conn)
}

// closeSurplus closes a connection if there are too many. If all others are busy, it is the one
// that was accepted last.
func (c *connections) closeSurplus(now time.Time) {
	limit := c.server.cfg.Limits.MaxConnections
	if limit == 0 || len(c.open) <= limit {
		return
	}
	list := make([]*connection, 0, len(c.open))
	states := make([]intake.Connection, 0, len(c.open))
	for conn := range c.open {
		if conn.isCut.Load() {
			continue
		}
		list = append(list, conn)
		states = append(states, conn.state(now))
	}
	if len(list) <= limit {
		return
	}
	for {
		victim := intake.Victim(states, now)
		if victim < 0 {
			return
		}
		if list[victim].cut(states[victim].Phase) {
			c.server.countRefusal(TooManyConnections, now)
			return
		}
		// It has made progress since its state was read.
		states[victim].Phase = intake.Running
	}
}

// count returns the numbers of open and of idle connections, and of received calls.
func (c *connections) count() (open, idle, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.isIn(intake.Waiting) {
			idle++
		}
	}
	return len(c.open), idle, c.received
}

// closeIdle closes the connections on which no call arrives within idleGrace, also
// those that become idle later.
func (c *connections) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	for conn := range c.open {
		conn.closeIdle(now)
	}
}

// awaitNone waits until no connection is open. It returns the error of ctx if that
// ends first.
func (c *connections) awaitNone(ctx context.Context) error {
	c.mu.Lock()
	if len(c.open) == 0 {
		c.mu.Unlock()
		return nil
	}
	noneOpen := make(chan struct{})
	c.noneOpen = noneOpen
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-noneOpen:
		return nil
	}
}
