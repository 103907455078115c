package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// A blackhole takes the place of a listener whose machine has no power: opening packets
// get no answer, since its queue of new connections is full.
type blackhole struct {
	fd    int
	conns []net.Conn
}

func newBlackhole(address string) (*blackhole, error) {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	b := &blackhole{
		fd: fd,
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{
		Port: a.Port,
		Addr: [4]byte(a.IP.To4()),
	}); err != nil {
		return b, err
	}
	if err = syscall.Listen(fd, 0); err != nil {
		return b, err
	}
	for range 2 {
		if conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			b.conns = append(b.conns, conn)
		}
	}
	return b, nil
}

func (b *blackhole) close() {
	for _, c := range b.conns {
		_ = c.Close()
	}
	_ = syscall.Close(b.fd)
}

// A darkMinion is a minion that can lose power and come back as a new life with the same
// id.
type darkMinion struct {
	m *minion
	p *proxy
}

// crash lets the minion lose power for a time.
func (d *darkMinion) crash(rec *record, j *judge, f *fleet, i int, dark time.Duration) error {
	old, oldProxy := f.minions[i], f.proxies[i]
	rec.line("DARK %s", old.cfg.id)
	oldProxy.cut()
	_ = oldProxy.listener.Close()
	hole, err := newBlackhole(old.cfg.announced)
	if err != nil {
		return err
	}
	old.close()
	old.set(func() {
		for _, r := range old.running {
			rec.line("CRASH of %s under %s run %d", old.cfg.id, r.task, r.number)
			j.crashed(r.task)
		}
		j.lost(old.cfg.id)
		old.running = map[string]*run{}
	})
	f.setDown(i, true)
	time.Sleep(dark)
	hole.close()
	oldProxy.close()
	p, err := newProxy(old.cfg.announced, old.cfg.listen)
	if err != nil {
		return err
	}
	m, err := newMinion(old.cfg, rec, j)
	if err != nil {
		return err
	}
	rec.line("BACK %s", old.cfg.id)
	f.mu.Lock()
	f.minions[i], f.proxies[i] = m, p
	f.mu.Unlock()
	f.setDown(i, false)
	return nil
}

// playDarkMinions lets the three minions of a kind lose power within two seconds, each
// right after a ping. A job that needs that kind is handed in after the first loss.
func playDarkMinions(rec *record, trouble bool) error {
	c, err := newCluster(rec, 5, 2)
	if err != nil {
		return err
	}
	defer c.close()
	if err = c.start(); err != nil {
		return err
	}
	op := newOperator(rec, c.controls()...)
	if !op.configure(20*time.Second, desiredState(1, 1, key1)) {
		return errNotReady
	}
	j := newJudge(rec)
	f, err := c.newFleet(18, j, func(i int, cfg *minionConfig) {
		if i >= 3 {
			return
		}
		cfg.labels = []string{"b", "r1-1"}
		if i > 0 {
			// The pings of the three come 0.9 s after each other.
			time.Sleep(900 * time.Millisecond)
		}
	})
	if err != nil {
		return err
	}
	defer f.close()
	caller := newConsumer(rec, key1)
	time.Sleep(3 * time.Second)
	// The three have worked lately, as minions have.
	const before, id = "5c0e7a21d94b1000", "7734a870cec93d57"
	if status := caller.submit(c.fronts, before, jobBody("ms=500", step{"count": 3, "cpu": 3700, "memMb": 11000, "gpu": 8, "estMs": 500, "requires": "b"})); status != http.StatusOK {
		return fmt.Errorf("job %s was answered with %d", before, status)
	}
	if !waitFor(5*time.Second, func() bool { return j.doneOf(before) == 3 && j.openEnds(f) == 0 }) {
		return errNotReady
	}
	var crashes sync.WaitGroup
	submit := func() error {
		if status := caller.submit(c.fronts, id, jobBody("ms=2500", step{"count": 1, "cpu": 3700, "memMb": 11000, "gpu": 1, "estMs": 2500, "requires": "b"})); status != http.StatusOK {
			return fmt.Errorf("job %s was answered with %d", id, status)
		}
		return nil
	}
	for i := range 3 {
		if !trouble {
			continue
		}
		pings := f.minions[i].pingCount()
		waitFor(2*time.Second, func() bool { return f.minions[i].pingCount() > pings })
		crashes.Add(1)
		go func() {
			defer crashes.Done()
			if err := new(darkMinion).crash(rec, j, f, i, 4500*time.Millisecond); err != nil {
				rec.line("The loss of power could not be played: %v", err)
			}
		}()
		if i == 0 {
			time.Sleep(100 * time.Millisecond)
			if err = submit(); err != nil {
				return err
			}
		}
	}
	if !trouble {
		if err = submit(); err != nil {
			return err
		}
	}
	crashes.Wait()
	time.Sleep(14 * time.Second)
	state := caller.state(c.fronts[0].front, id)
	crashed := j.mostCrashes(id)
	rec.line("JOB %s is %s; %d runs of it have started, %d minions crashed under its task", id, state, j.startsOf(id), crashed)
	if state == "failed" && crashed < 2 {
		rec.broken("LOST: job %s is shown as failed; %d runs of it have started, none ended failed, and %d minions crashed under its task", id, j.startsOf(id), crashed)
	}
	return nil
}
