package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks the connections of a server. Its zero value is ready for use.
type connections struct {
	mu sync.Mutex
	// isIdle tells for each open connection whether it waits for a call.
	isIdle map[*connection]bool
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
	if c.isIdle == nil {
		c.isIdle = map[*connection]bool{}
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.isIdle[conn] = true
		conn.setIdle(true)
		if c.isClosing {
			conn.closeIdle(time.Now())
		}
	case http.StateActive:
		c.isIdle[conn] = false
		c.received++
		conn.setIdle(false)
	case http.StateClosed, http.StateHijacked:
		delete(c.isIdle, conn)
		if len(c.isIdle) == 0 && c.noneOpen != nil {
			close(c.noneOpen)
			c.noneOpen = nil
		}
	}
}

// count returns the numbers of open and of idle connections, and of received calls.
func (c *connections) count() (open, idle, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, isIdle := range c.isIdle {
		if isIdle {
			idle++
		}
	}
	return len(c.isIdle), idle, c.received
}

// closeIdle closes the connections on which no call arrives within idleGrace, also
// those that become idle later.
func (c *connections) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	for conn := range c.isIdle {
		conn.closeIdle(now)
	}
}

// awaitNone waits until no connection is open. It returns the error of ctx if that
// ends first.
func (c *connections) awaitNone(ctx context.Context) error {
	c.mu.Lock()
	if len(c.isIdle) == 0 {
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
