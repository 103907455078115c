package main

import (
	"net"
	"sync"
	"time"
)

// A proxy forwards connections. While it is cut, it holds back all bytes in both
// directions without a reset, as a partition does; the bytes of a connection whose
// client has gone meanwhile are lost.
type proxy struct {
	listener net.Listener
	target   string
	// only, if set, is the one source to which a cut applies; to except it never does.
	only, except string
	mu           sync.Mutex
	open         chan struct{}
	conns        map[net.Conn]bool
	// lastAt is when the last connection was opened.
	lastAt time.Time
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	open := make(chan struct{})
	close(open)
	p := &proxy{
		listener: l,
		target:   target,
		open:     open,
		conns:    map[net.Conn]bool{},
	}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.lastAt = time.Now()
		p.mu.Unlock()
		go p.handle(conn)
	}
}

// alwaysOpen is the gate of connections to which no cut applies.
var alwaysOpen = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// gate returns a channel that is closed while the bytes of a client may pass.
func (p *proxy) gate(client net.Conn) chan struct{} {
	if source, _, _ := net.SplitHostPort(client.RemoteAddr().String()); p.only != "" && source != p.only || source == p.except {
		return alwaysOpen
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// isCut reports whether a cut holds the bytes of a client back.
func (p *proxy) isCut(client net.Conn) bool {
	select {
	case <-p.gate(client):
		return false
	default:
		return true
	}
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// sinceLast returns how long ago the last connection was opened.
func (p *proxy) sinceLast() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastAt)
}

func (p *proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) handle(client net.Conn) {
	p.track(client, true)
	defer p.track(client, false)
	defer func() { _ = client.Close() }()
	<-p.gate(client)
	server, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil {
		return
	}
	p.track(server, true)
	defer p.track(server, false)
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	go p.pump(client, client, server, done)
	go p.pump(client, server, client, done)
	<-done
}

// pump copies from one side to the other. It goes on reading during a cut, so that it
// sees that the sender has gone and drops what it sent.
func (p *proxy) pump(client, from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				chunks <- b[:n]
			}
			if err != nil {
				switch {
				case !p.isCut(client):
				case from == client:
					_ = to.Close()
				default:
					// The end of the other side is not seen during a cut.
					<-p.gate(client)
				}
				return
			}
		}
	}()
	for b := range chunks {
		<-p.gate(client)
		if _, err := to.Write(b); err != nil {
			return
		}
	}
}
