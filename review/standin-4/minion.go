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
	// isCut is true while the minion is cut off: it sends and answers nothing.
	isCut bool
	// isDraining is true once it says that it leaves.
	isDraining bool
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

func (m *minion) event(task string, number int, what string) {
	m.cfg.rec.note("%s: run %d of %s %s", m.cfg.id, number, task, what)
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

// serve carries out an order, or hangs while the minion is cut off.
func (m *minion) serve(l *life, w http.ResponseWriter, r *http.Request, name string, f func(l *life, now time.Time, o order) string) {
	o, ok := m.read(l, w, r)
	if !ok {
		return
	}
	if name == "run-start" && m.cfg.onStart != nil {
		if late := m.cfg.onStart(m, o); late > 0 {
			m.cfg.rec.note("%s: start of run %d of %s gets no answer; it is carried out %v later", m.cfg.id, o.Run, o.Task, late)
			time.AfterFunc(late, func() { m.carryOutLate(o) })
			hang(l, r)
			return
		}
	}
	m.mu.Lock()
	now := time.Now()
	reason := f(l, now, o)
	clock := l.clock(now)
	m.mu.Unlock()
	m.cfg.rec.note("%s: %s of run %d of %s with token %d, deadline %d: %s", m.cfg.id, name, o.Run, o.Task, o.FencingToken, o.DeadlineMs, describe(reason))
	answer(w, reason, clock, l)
}

func describe(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

// hang keeps a request without an answer until its sender gives up or the boot ends.
func hang(l *life, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-l.ctx.Done():
	case <-time.After(30 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

// carryOutLate carries out a start that got no answer, by the boot that is there then.
func (m *minion) carryOutLate(o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.life
	if l.ctx.Err() != nil || m.closed {
		m.cfg.rec.note("%s: late start of run %d of %s finds nobody", m.cfg.id, o.Run, o.Task)
		return
	}
	reason := m.start(l, time.Now(), o)
	m.cfg.rec.note("%s: late start of run %d of %s with token %d, deadline %d: %s", m.cfg.id, o.Run, o.Task, o.FencingToken, o.DeadlineMs, describe(reason))
}

func (m *minion) read(l *life, w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	b, err := io.ReadAll(r.Body)
	m.mu.Lock()
	isCut := l.isCut
	m.mu.Unlock()
	if isCut {
		hang(l, r)
	}
	if m.cfg.onOrder != nil {
		m.cfg.onOrder()
	}
	if r.Header.Get("X-Expect-Instance") != m.cfg.id {
		m.cfg.rec.note("%s: an order for %s: 421", m.cfg.id, r.Header.Get("X-Expect-Instance"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err == nil {
		err = json.Unmarshal(b, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func answer(w http.ResponseWriter, reason string, clock int64, l *life) {
	w.Header().Set("Content-Type", "application/json")
	body := map[string]any{"clockMs": clock, "born": l.bootedAt.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(body)
}

// checkToken returns why an order is rejected, if its token is lower than one seen.
func (l *life) checkToken(o order) string {
	if o.FencingToken < l.token {
		return "fence"
	}
	l.token = o.FencingToken
	return ""
}

func (m *minion) extendLease(l *life, now time.Time, o order) {
	m.endDue(l, now)
	l.leaseUntil = max(l.leaseUntil, min(o.DeadlineMs, l.clock(now)+holdMax.Milliseconds()))
}

func (m *minion) start(l *life, now time.Time, o order) string {
	if reason := l.checkToken(o); reason != "" {
		return reason
	}
	if o.DeadlineMs < l.clock(now) {
		return "late"
	}
	m.extendLease(l, now, o)
	if r := l.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= l.closedRuns[o.Task] {
		return "old"
	}
	l.running[o.Task] = &run{
		task:      o.Task,
		number:    o.Run,
		startedAt: now,
	}
	m.event(o.Task, o.Run, "starts")
	return ""
}

func (m *minion) stop(l *life, now time.Time, o order) string {
	if reason := l.checkToken(o); reason != "" {
		return reason
	}
	l.closedRuns[o.Task] = max(l.closedRuns[o.Task], o.Run)
	if r := l.running[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime / 2)
	}
	return ""
}

// hold renews the lease and answers with both lists, at once if there are ends.
func (m *minion) hold(l *life, w http.ResponseWriter, r *http.Request) {
	o, ok := m.read(l, w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	now := time.Now()
	reason := l.checkToken(o)
	if reason == "" {
		m.extendLease(l, now, o)
		var rest []ended
		for _, f := range l.finished {
			if f.sequence > o.AckCursor {
				rest = append(rest, f)
			}
		}
		l.finished = rest
	}
	clock := l.clock(now)
	m.mu.Unlock()
	m.cfg.rec.note("%s: hold with token %d, deadline %d, cursor %d: %s", m.cfg.id, o.FencingToken, o.DeadlineMs, o.AckCursor, describe(reason))
	if reason != "" {
		answer(w, reason, clock, l)
		return
	}
	deadline := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for isOver := false; ; {
		m.mu.Lock()
		body, changed, hasEnds, isCut := m.lists(l), l.changed, len(l.finished) > 0, l.isCut
		m.mu.Unlock()
		if isCut {
			hang(l, r)
		}
		if hasEnds || isOver || o.WaitMs == 0 {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			return
		case <-l.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (m *minion) lists(l *life) []byte {
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, r := range l.running {
		percent := int(100 * now.Sub(r.startedAt) / max(m.cfg.runTime(r.task), 1))
		running = append(running, []any{r.task, r.number, "", min(percent, 99), 1000})
	}
	for _, f := range l.finished {
		finished = append(finished, []any{f.sequence, f.task, f.run, f.how, ""})
	}
	b, _ := json.Marshal(map[string]any{
		"clockMs": l.clock(now), "born": l.bootedAt.UnixMilli(), "running": running, "finished": finished,
	})
	return b
}

// setCut cuts the minion off from all machines, or ends that.
func (m *minion) setCut(isCut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.life.isCut = isCut
	m.cfg.rec.note("%s is cut off: %v", m.cfg.id, isCut)
}

// runs returns the names of the tasks that run.
func (m *minion) runs() (list []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for task := range m.life.running {
		list = append(list, task)
	}
	return list
}

// ping sends pings until the boot ends.
func (m *minion) ping(l *life) {
	for at := 0; l.ctx.Err() == nil; {
		m.mu.Lock()
		l.seq++
		state := "ready"
		if l.isDraining {
			state = "draining"
		}
		isCut := l.isCut
		body, _ := json.Marshal(map[string]any{
			"service": "svc", "address": m.cfg.listen, "zone": "za", "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
			"capacity": m.cfg.capacity(), "labels": m.cfg.labels(), "clockMs": l.clock(time.Now()), "seq": l.seq, "born": l.bootedAt.UnixMilli(),
			"machineId": m.cfg.machine,
		})
		m.mu.Unlock()
		wait := pingInterval
		if !isCut && !m.sendPing(l, m.cfg.controls[at%len(m.cfg.controls)], body) {
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
