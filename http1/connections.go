package http1

import (
	"net"
	"net/http"
	"sync"
)

// connections tracks the connections of a server. Its zero value is ready for use.
type connections struct {
	mu sync.Mutex
	// isIdle tells for each open connection whether it waits for a call.
	isIdle map[net.Conn]bool
	// received counts the calls whose headers were read, malformed ones included.
	received int
}

// stateChanged is the ConnState hook of the HTTP server.
func (c *connections) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle == nil {
		c.isIdle = map[net.Conn]bool{}
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.isIdle[conn] = true
	case http.StateActive:
		c.isIdle[conn] = false
		c.received++
	case http.StateClosed, http.StateHijacked:
		delete(c.isIdle, conn)
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
