// Package proxy provides a TCP proxy that injects faults on the links between
// the processes of a test: closed, stalled, half-open and delayed connections.
package proxy

import (
	"net"
	"sync"
	"time"
)

// A Fault is the state of a link: None, Cut, Stall, HalfOpen or Delay.
type Fault interface {
	fault()
}

// None forwards all bytes at once.
type None struct{}

// Cut closes the open connections, and new ones right after they are accepted.
type Cut struct{}

// Stall forwards no bytes; connections stay open and new ones are accepted. The
// bytes are delivered once the fault has ended, as after a network partition.
type Stall struct{}

// HalfOpen forwards only what the client sends.
type HalfOpen struct{}

// Delay forwards each read after a delay.
type Delay struct {
	// By is the length of the delay.
	By time.Duration
}

func (None) fault()     {}
func (Cut) fault()      {}
func (Stall) fault()    {}
func (HalfOpen) fault() {}
func (Delay) fault()    {}

// A Network holds the faults on all links, by source and destination.
type Network struct {
	mu     sync.Mutex
	faults map[link]Fault
	epochs map[link]int
	change chan struct{}
}

type link struct {
	from, to string
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		faults: map[link]Fault{},
		epochs: map[link]int{},
		change: make(chan struct{}),
	}
}

// SetFault sets the fault on the link from a source IP address to a named
// destination.
func (n *Network) SetFault(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[link{
		from: from,
		to:   to,
	}] = f
	n.notify()
}

// StallOpenConnections stalls the connections that are open now on a link for
// good; new ones work. A firewall that has lost its connection table does the
// same.
func (n *Network) StallOpenConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.epochs[link{
		from: from,
		to:   to,
	}]++
	n.notify()
}

// Heal ends the faults set with SetFault. Connections stalled by
// StallOpenConnections stay so.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[link]Fault{}
	n.notify()
}

func (n *Network) notify() {
	close(n.change)
	n.change = make(chan struct{})
}

// lookup returns the fault on a link, the epoch of its new connections, and a
// channel that is closed at the next change.
func (n *Network) lookup(l link) (f Fault, epoch int, change <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, ok := n.faults[l]
	if !ok {
		f = None{}
	}
	return f, n.epochs[l], n.change
}

// A Proxy forwards connections to one destination.
type Proxy struct {
	network  *Network
	name     string
	target   string
	listener net.Listener
	done     chan struct{}
}

// New returns a proxy that listens on an address and forwards to target. The
// network holds the faults of its links under name.
func New(n *Network, name, listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		network:  n,
		name:     name,
		target:   target,
		listener: l,
		done:     make(chan struct{}),
	}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	close(p.done)
	_ = p.listener.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	from, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	l := link{
		from: from,
		to:   p.name,
	}
	fault, epoch, _ := p.network.lookup(l)
	if _, cut := fault.(Cut); cut {
		_ = client.Close()
		return
	}
	if !p.waitUntilOpen(l, epoch, false) {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	ended := make(chan struct{}, 2)
	go p.pipe(l, epoch, client, server, false, ended)
	go p.pipe(l, epoch, server, client, true, ended)
	go p.closeOnCut(l, client, server)
	<-ended
	_ = client.Close()
	_ = server.Close()
}

// closeOnCut closes both sides as soon as the link is cut or the proxy closed.
func (p *Proxy) closeOnCut(l link, client, server net.Conn) {
	for {
		fault, _, change := p.network.lookup(l)
		if _, cut := fault.(Cut); cut {
			_ = client.Close()
			_ = server.Close()
			return
		}
		select {
		case <-change:
		case <-p.done:
			_ = client.Close()
			_ = server.Close()
			return
		}
	}
}

const bufferBytes = 64 << 10

func (p *Proxy) pipe(l link, epoch int, src, dst net.Conn, fromServer bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !p.waitUntilOpen(l, epoch, fromServer) {
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilOpen waits until the link forwards bytes in the given direction. It
// reports false if the link is cut or the proxy closed.
func (p *Proxy) waitUntilOpen(l link, epoch int, fromServer bool) bool {
	for {
		fault, current, change := p.network.lookup(l)
		open := current == epoch
		switch f := fault.(type) {
		case None:
		case Cut:
			return false
		case Stall:
			open = false
		case HalfOpen:
			open = open && !fromServer
		case Delay:
			if open {
				return p.sleep(f.By)
			}
		}
		if open {
			return true
		}
		select {
		case <-change:
		case <-p.done:
			return false
		}
	}
}

func (p *Proxy) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.done:
		return false
	}
}
