package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A minionConfig describes a stand-in for a minion.
type minionConfig struct {
	id, machine, listen string
	controls            []string
	rec                 *recorder
	cloud               *cloud
	// rack is its rack, cpu its capacity in thousandths of a core.
	rack string
	cpu  int
	// clockAtBoot is the time on its clock when it boots for the first time. Later boots
	// begin at 1.
	clockAtBoot int64
	// runTime returns how long a task works.
	runTime func(task string) time.Duration
	// onStart is called for each start that arrives; it may tell that the order gets no
	// answer and is carried out after a time.
	onStart func(m *minion, o order) (late time.Duration)
	// isQuiet is true if orders and runs are not recorded.
	isQuiet bool
	// onOrder is called for each order that arrives.
	onOrder func()
	// onRun is called when a run begins or has ended.
	onRun func(m *minion, task string, run int, event string)
}

func (c minionConfig) labels() []string { return []string{"a", c.rack} }

func (c minionConfig) capacity() map[string]int {
	return map[string]int{"cpu": c.cpu, "memMb": 262144, "gpu": 8}
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    uint64 `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

type run struct {
	task      string
	number    int
	startedAt time.Time
	stopAt    time.Time
}

type ended struct {
	sequence uint64
	task     string
	run      int
	how      string
}

// A minion is a stand-in for a minion through all of its boots. It follows the users' page on
// running tasks; it does not guard its capacity.
type minion struct {
	cfg    minionConfig
	mu     sync.Mutex
	life   *life
	boots  int
	closed bool
	// pings counts the pings that were acknowledged.
	pings atomic.Int64
}

// A life is one boot of a minion.
type life struct {
	bootedAt    time.Time
	clockAtBoot int64
	ctx         context.Context
	cancel      context.CancelFunc
	server      *http.Server
	token       uint64
	leaseUntil  int64
	running     map[string]*run
	closedRuns  map[string]int
	finished    []ended
	sequence    uint64
	changed     chan struct{}
	seq         int
}

func (l *life) clock(now time.Time) int64 {
	return l.clockAtBoot + now.Sub(l.bootedAt).Milliseconds()
}

// boot starts a boot of the minion.
func (m *minion) boot() error {
	listener, err := net.Listen("tcp", m.cfg.listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		bootedAt:    time.Now(),
		clockAtBoot: 1,
		ctx:         ctx,
		cancel:      cancel,
		running:     map[string]*run{},
		closedRuns:  map[string]int{},
		changed:     make(chan struct{}),
	}
	m.mu.Lock()
	m.boots++
	if m.boots == 1 {
		l.clockAtBoot += m.cfg.clockAtBoot
	}
	m.life = l
	m.mu.Unlock()
	mux := http.NewServeMux()
	for path, f := range map[string]func(l *life, now time.Time, o order) (reason string){
		"run-start": m.start, "run-stop": m.stop,
	} {
		mux.HandleFunc("POST /plantainladder/"+path, func(w http.ResponseWriter, r *http.Request) { m.serve(l, w, r, path, f) })
	}
	mux.HandleFunc("POST /plantainladder/hold", func(w http.ResponseWriter, r *http.Request) { m.hold(l, w, r) })
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	l.server = &http.Server{
		Handler: mux,
	}
	m.cfg.rec.note("%s boots", m.cfg.id)
	m.cfg.cloud.set(m.cfg, "up", m.cfg.id)
	go func() { _ = l.server.Serve(listener) }()
	go m.tick(l)
	go m.ping(l)
	return nil
}

// crash ends the present boot and all that runs; the platform's list shows the machine as down.
func (m *minion) crash() {
	m.mu.Lock()
	l := m.life
	for _, r := range l.running {
		m.event(r.task, r.number, "ended with its minion")
	}
	l.running = map[string]*run{}
	l.cancel()
	m.mu.Unlock()
	m.cfg.rec.note("%s crashes", m.cfg.id)
	m.cfg.cloud.set(m.cfg, "down", "")
	_ = l.server.Close()
}

func (m *minion) close() {
	m.mu.Lock()
	m.closed = true
	l := m.life
	m.mu.Unlock()
	l.cancel()
	_ = l.server.Close()
}

// note records what happens to orders and runs, unless the minion is quiet.
func (m *minion) note(format string, args ...any) {
	if !m.cfg.isQuiet {
		m.cfg.rec.note(format, args...)
	}
}

func (m *minion) event(task string, number int, what string) {
	m.note("%s: run %d of %s %s", m.cfg.id, number, task, what)
	if m.cfg.onRun != nil {
		m.cfg.onRun(m, task, number, what)
	}
}

// tick ends runs that are due.
func (m *minion) tick(l *life) {
	for l.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		if l.ctx.Err() == nil {
			m.endDue(l, time.Now())
		}
		m.mu.Unlock()
	}
}

func (m *minion) endDue(l *life, now time.Time) {
	hasLapsed := l.clock(now) > l.leaseUntil
	for _, r := range l.running {
		switch {
		case hasLapsed:
			m.end(l, r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			m.end(l, r, "stopped")
		case now.Sub(r.startedAt) >= m.cfg.runTime(r.task):
			m.end(l, r, "done")
		}
	}
}

func (m *minion) end(l *life, r *run, how string) {
	delete(l.running, r.task)
	l.closedRuns[r.task] = max(l.closedRuns[r.task], r.number)
	l.sequence++
	l.finished = append(l.finished, ended{
		sequence: l.sequence,
		task:     r.task,
		run:      r.number,
		how:      how,
	})
	m.event(r.task, r.number, "ended "+how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// ping sends pings until the boot ends.
func (m *minion) ping(l *life) {
	for at := 0; l.ctx.Err() == nil; {
		m.mu.Lock()
		l.seq++
		body, _ := json.Marshal(map[string]any{
			"service": "svc", "address": m.cfg.listen, "zone": "za", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": m.cfg.capacity(), "labels": m.cfg.labels(), "clockMs": l.clock(time.Now()), "seq": l.seq, "born": l.bootedAt.UnixMilli(),
			"machineId": m.cfg.machine,
		})
		m.mu.Unlock()
		wait := pingInterval
		if !m.sendPing(l, m.cfg.controls[at%len(m.cfg.controls)], body) {
			at++
			wait = 100 * time.Millisecond
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// awaitPing waits until a ping of the minion is acknowledged.
func (m *minion) awaitPing() {
	before := m.pings.Load()
	for until := time.Now().Add(5 * time.Second); m.pings.Load() == before && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
}

func (m *minion) sendPing(l *life, address string, body []byte) bool {
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/plantainladder/instances/"+m.cfg.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	isAcknowledged := resp.StatusCode >= 200 && resp.StatusCode < 300
	if isAcknowledged {
		m.pings.Add(1)
	}
	return isAcknowledged
}

// jobOf returns the job in a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
