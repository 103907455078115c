package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of a minion, as in the settings.
const (
	pingInterval = 1500 * time.Millisecond
	pingTimeout  = time.Second
	holdMaxMs    = 10_000
	stopDuration = 200 * time.Millisecond
	gangTimeout  = 3000 * time.Millisecond
	maxListed    = 500
)

type activeRun struct {
	run       int
	startedAt time.Time
	endsAt    time.Time
	// stopAt is when an ordered stop is complete; zero for none.
	stopAt time.Time
}

type endedRun struct {
	number int
	task   string
	run    int
	how    string
}

// A minion is one boot of a stand-in minion, after the platform's protocol. It does not
// guard its capacity.
type minion struct {
	c        *cluster
	id, zone string
	address  string
	labels   []string
	capacity map[string]int
	bootedAt time.Time
	server   *http.Server
	ended    chan struct{}
	endOnce  sync.Once
	// isCut is true while the minion is partitioned from all machines.
	isCut atomic.Bool

	mu      sync.Mutex
	seq     int
	fence   uint64
	lease   int64
	number  int
	running map[string]*activeRun
	closed  map[string]int
	listed  []endedRun
	changed chan struct{}
	// begun counts the starts of each job.
	begun map[string]int
}

// runTime is how long each task takes.
const runTime = 2500 * time.Millisecond

func startMinion(c *cluster, id, zone, address string, labels []string) (*minion, error) {
	m := &minion{
		c:        c,
		id:       id,
		zone:     zone,
		address:  address,
		labels:   labels,
		capacity: map[string]int{"cpu": 32_000, "memMb": 131_072, "gpu": 8},
		bootedAt: time.Now(),
		ended:    make(chan struct{}),
		running:  map[string]*activeRun{},
		closed:   map[string]int{},
		changed:  make(chan struct{}),
		begun:    map[string]int{},
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /plantainladder/run-start", m.order(m.start))
	mux.HandleFunc("POST /plantainladder/run-stop", m.order(m.stop))
	mux.HandleFunc("POST /plantainladder/hold", m.order(m.hold))
	m.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = m.server.Serve(l) }()
	go m.tick()
	go m.ping()
	return m, nil
}

func (m *minion) kill() {
	m.endOnce.Do(func() {
		close(m.ended)
		_ = m.server.Close()
	})
}

func (m *minion) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

func (m *minion) clockMs() int64 {
	return time.Since(m.bootedAt).Milliseconds() + 1
}

type orderMessage struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    int    `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

// order decodes an order and answers it. While the minion is cut off, the order is lost:
// nothing is done and nothing is answered.
func (m *minion) order(execute func(o orderMessage) (status int, body map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if m.isCut.Load() {
			m.c.rec.write(m.id, "cut off: %s is lost", r.URL.Path)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("X-Instance-Id", m.id)
		var o orderMessage
		if r.Header.Get("X-Expect-Instance") != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := execute(o)
		if m.isCut.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		body["clockMs"], body["born"] = m.clockMs(), m.bootedAt.UnixMilli()
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func rejected(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// accepts checks and keeps the fencing token. The caller holds the lock.
func (m *minion) accepts(o orderMessage) bool {
	if o.FencingToken < m.fence {
		return false
	}
	m.fence = o.FencingToken
	return true
}

func (m *minion) extend(o orderMessage) {
	m.lease = max(m.lease, min(o.DeadlineMs, m.clockMs()+holdMaxMs))
}

func (m *minion) start(o orderMessage) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accepts(o) {
		return rejected("fence")
	}
	if o.DeadlineMs < m.clockMs() {
		return rejected("late")
	}
	m.extend(o)
	if t := m.running[o.Task]; t != nil && t.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= m.closed[o.Task] {
		return rejected("old")
	}
	now := time.Now()
	m.running[o.Task] = &activeRun{
		run:       o.Run,
		startedAt: now,
		endsAt:    now.Add(runTime),
	}
	m.begun[jobOf(o.Task)]++
	m.c.rec.write(m.id, "started task %s run %d", o.Task, o.Run)
	return http.StatusOK, map[string]any{}
}

func jobOf(task string) string {
	id, _, _ := bytes.Cut([]byte(task), []byte("."))
	return string(id)
}

func (m *minion) stop(o orderMessage) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accepts(o) {
		return rejected("fence")
	}
	m.closed[o.Task] = max(m.closed[o.Task], o.Run)
	if t := m.running[o.Task]; t != nil && t.run <= o.Run && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(stopDuration)
	}
	return http.StatusOK, map[string]any{}
}

func (m *minion) hold(o orderMessage) (int, map[string]any) {
	deadline := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accepts(o) {
		return rejected("fence")
	}
	m.extend(o)
	for len(m.listed) > 0 && m.listed[0].number <= o.AckCursor {
		m.listed = m.listed[1:]
	}
	for len(m.listed) == 0 && time.Now().Before(deadline) {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-m.ended:
		}
		m.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, t := range m.running {
		running = append(running, []any{task, t.run, "", int(100 * time.Since(t.startedAt) / runTime), 0})
	}
	for _, e := range m.listed[:min(len(m.listed), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// tick ends runs that are done, stopped or without a lease.
func (m *minion) tick() {
	for {
		select {
		case <-m.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		now := time.Now()
		for task, t := range m.running {
			switch {
			case m.lease < m.clockMs():
				m.end(task, t, "lapsed")
			case !t.stopAt.IsZero() && now.After(t.stopAt):
				m.end(task, t, "stopped")
			case t.stopAt.IsZero() && now.After(t.endsAt):
				m.end(task, t, "done")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) end(task string, t *activeRun, how string) {
	delete(m.running, task)
	m.closed[task] = max(m.closed[task], t.run)
	m.number++
	m.listed = append(m.listed, endedRun{
		number: m.number,
		task:   task,
		run:    t.run,
		how:    how,
	})
	close(m.changed)
	m.changed = make(chan struct{})
	m.c.rec.write(m.id, "task %s run %d ended %s", task, t.run, how)
}

// ping announces the minion to the cores in turn until one acknowledges.
func (m *minion) ping() {
	client := &http.Client{
		Timeout: pingTimeout,
	}
	for i := 0; ; i++ {
		m.seq++
		for try := range len(m.c.cores) {
			if m.hasEnded() {
				return
			}
			if !m.isCut.Load() && m.pingOnce(client, m.c.cores[(i+try)%len(m.c.cores)]) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		select {
		case <-m.ended:
			return
		case <-time.After(pingInterval):
		}
	}
}

func (m *minion) pingOnce(client *http.Client, core *process) bool {
	b, _ := json.Marshal(map[string]any{
		"service": service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "capacity": m.capacity, "labels": m.labels, "clockMs": m.clockMs(), "seq": m.seq,
		"born": m.bootedAt.UnixMilli(),
	})
	url := "http://" + m.c.address(core.ip, portControl) + "/plantainladder/instances/" + m.id
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(b))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
