// Package proxy is a small TCP proxy that injects faults on the paths between
// the processes of a test: cut, silent, delayed, half-open and forgotten
// connections.
package proxy

import (
	"net"
	"sync"
	"time"
)

// A Fault is what happens on a path: None, Cut, Stall, HalfOpen or Delay.
type Fault interface {
	fault()
}

// None lets everything through.
type None struct{}

// Cut closes connections and refuses new ones.
type Cut struct{}

// Stall holds all bytes back; connections stay open and new ones are accepted.
// What was held flows once the fault has ended, as after a partition.
type Stall struct{}

// HalfOpen holds back what the server sends.
type HalfOpen struct{}

// Delay holds each piece back for a time.
type Delay struct {
	// By is the time.
	By time.Duration
}

func (None) fault()       {}
func (Cut) fault() {}
func (Stall) fault()      {}
func (HalfOpen) fault()   {}
func (Delay) fault()      {}

// A Network is the faults on all paths, by source and destination.
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

// SetFault puts a fault on the path from a source IP number to a named destination.
func (n *Network) SetFault(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[link{
		from: from,
		to:   to,
	}] = f
	n.wake()
}

// StallOpenConnections makes the connections that are open now on a path silent for good;
// new ones work.
func (n *Network) StallOpenConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.epochs[link{
		from: from,
		to:   to,
	}]++
	n.wake()
}

// Heal ends all faults.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[link]Fault{}
	n.wake()
}

func (n *Network) wake() {
	close(n.change)
	n.change = make(chan struct{})
}

// look returns the fault on a path, its epoch, and a channel that closes at
// the next change.
func (n *Network) look(p link) (f Fault, epoch int, change <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, ok := n.faults[p]
	if !ok {
		f = None{}
	}
	return f, n.epochs[p], n.change
}

// A Proxy stands before one destination.
type Proxy struct {
	network  *Network
	name     string
	target   string
	listener net.Listener
	done     chan struct{}
}

// New returns a proxy on an address, before the destination of the given name
// and address.
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

// Close ends the proxy and its connections.
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
	way := link{
		from: from,
		to:   p.name,
	}
	fault, epoch, _ := p.network.look(way)
	if _, cut := fault.(Cut); cut {
		_ = client.Close()
		return
	}
	if !p.waitOpen(way, epoch, false) {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	ended := make(chan struct{}, 2)
	go p.pipe(way, epoch, client, server, false, ended)
	go p.pipe(way, epoch, server, client, true, ended)
	go p.watchCut(way, client, server)
	<-ended
	_ = client.Close()
	_ = server.Close()
}

// watchCut closes both sides as soon as the path is cut.
func (p *Proxy) watchCut(way link, client, server net.Conn) {
	for {
		fault, _, change := p.network.look(way)
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

const pieceBytes = 64 << 10

func (p *Proxy) pipe(way link, epoch int, src, dst net.Conn, back bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, pieceBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !p.waitOpen(way, epoch, back) {
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

// waitOpen waits until bytes may pass and reports whether they ever will.
func (p *Proxy) waitOpen(way link, epoch int, back bool) bool {
	for {
		fault, now, change := p.network.look(way)
		open := now == epoch
		switch f := fault.(type) {
		case None:
		case Cut:
			return false
		case Stall:
			open = false
		case HalfOpen:
			open = open && !back
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
