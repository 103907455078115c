package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// capacity is what a minion says of its room.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	GPU   int `json:"gpu"`
}

type minionConfig struct {
	id, service, zone string
	labels            []string
	capacity          capacity
	// listen is its address; announced is the one in its pings, that of a proxy in
	// front of it or the same.
	listen, announced string
	controls          []string
	stopMs, holdMaxMs int64
}

// A run is one run of a task on a minion.
type run struct {
	task   string
	number int
	began  time.Time
	length time.Duration
	stopAt time.Time
}

// An end is an entry of the list of ended runs.
type end struct {
	n      uint64
	task   string
	number int
	how    string
	at     time.Time
}

// maxListedEnds is how many ends a minion lists at a time.
const maxListedEnds = 500

// A minion is one life of a minion as the pages describe it. It does not guard its
// capacity.
type minion struct {
	cfg      minionConfig
	rec      *record
	judge    *judge
	began    time.Time
	server   *http.Server
	cancel   context.CancelFunc
	ctx      context.Context
	mu       sync.Mutex
	fence    uint64
	lease    int64
	lapsedAt time.Time
	running  map[string]*run
	closed   map[string]int
	ends     []end
	lastEnd  uint64
	notice   chan struct{}
	// isSick makes it refuse every start with 503. isCut keeps its pings back.
	isSick, isCut bool
	// pings counts the acknowledged pings.
	pings int
}

func newMinion(cfg minionConfig, rec *record, j *judge) (*minion, error) {
	l, err := net.Listen("tcp", cfg.listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &minion{
		cfg:     cfg,
		rec:     rec,
		judge:   j,
		began:   time.Now(),
		cancel:  cancel,
		ctx:     ctx,
		running: map[string]*run{},
		closed:  map[string]int{},
		notice:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /plantainladder/run-start", m.serveStart)
	mux.HandleFunc("POST /plantainladder/run-stop", m.serveStop)
	mux.HandleFunc("POST /plantainladder/hold", m.serveHold)
	m.server = &http.Server{
		Handler: mux,
	}
	go func() { _ = m.server.Serve(l) }()
	go m.work()
	go m.ping()
	return m, nil
}

func (m *minion) close() {
	m.cancel()
	_ = m.server.Close()
}

func (m *minion) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// clock is the minion's clock in milliseconds.
func (m *minion) clock() int64 {
	return time.Since(m.began).Milliseconds() + 1
}

// work ends the runs that are due.
func (m *minion) work() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		}
		m.set(func() {
			now := time.Now()
			hasLapsed := m.lease < m.clock()
			if hasLapsed {
				m.lapsedAt = now
			}
			for _, r := range m.running {
				switch {
				case hasLapsed:
					m.endRun(now, r, "lapsed")
				case !r.stopAt.IsZero() && now.After(r.stopAt):
					m.endRun(now, r, "stopped")
				case now.Sub(r.began) >= r.length:
					m.endRun(now, r, "done")
				}
			}
		})
	}
}

func (m *minion) endRun(now time.Time, r *run, how string) {
	delete(m.running, r.task)
	m.closed[r.task] = max(m.closed[r.task], r.number)
	m.lastEnd++
	m.ends = append(m.ends, end{
		n:      m.lastEnd,
		task:   r.task,
		number: r.number,
		how:    how,
		at:     now,
	})
	m.rec.line("END %s run %d on %s: %s", r.task, r.number, m.cfg.id, how)
	m.judge.ended(now, m.cfg.id, r.task, r.number, how)
	close(m.notice)
	m.notice = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    uint64 `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

// decode reads an order and answers it if it is for another boot or unreadable.
func (m *minion) decode(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if r.Header.Get("X-Expect-Instance") != m.cfg.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// extend extends the lease to a time on the minion's clock. It never shortens it.
func (m *minion) extend(deadlineMs int64) {
	m.lease = max(m.lease, min(deadlineMs, m.clock()+m.cfg.holdMaxMs))
}

func (m *minion) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	status, reason := http.StatusOK, ""
	m.set(func() {
		now := time.Now()
		switch known := m.running[o.Task]; {
		case m.isSick:
			status = http.StatusServiceUnavailable
			m.rec.line("REFUSED %s run %d on %s with 503", o.Task, o.Run, m.cfg.id)
		case o.FencingToken < m.fence:
			reason = "fence"
		case o.DeadlineMs < m.clock():
			reason = "late"
		case known != nil && known.number == o.Run:
			m.extend(o.DeadlineMs)
		case o.Run <= m.closed[o.Task] || known != nil:
			m.extend(o.DeadlineMs)
			reason = "old"
		default:
			m.extend(o.DeadlineMs)
			m.running[o.Task] = &run{
				task:   o.Task,
				number: o.Run,
				began:  now,
				length: lengthOf(o.TaskSpec),
			}
			m.rec.line("RUN %s run %d on %s", o.Task, o.Run, m.cfg.id)
			m.judge.started(now, m.cfg.id, o.Task, o.Run)
		}
		if status == http.StatusOK {
			m.fence = max(m.fence, o.FencingToken)
		}
	})
	if reason != "" {
		status = http.StatusConflict
	}
	answer(w, status, map[string]any{
		"clockMs": m.clock(), "reason": reason,
	})
}

// lengthOf returns how long a task with a spec such as "ms=1500" works.
func lengthOf(spec string) time.Duration {
	ms := 0
	_, _ = fmt.Sscanf(spec, "ms=%d", &ms)
	return time.Duration(ms) * time.Millisecond
}

func (m *minion) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	status, reason := http.StatusOK, ""
	m.set(func() {
		if o.FencingToken < m.fence {
			status, reason = http.StatusConflict, "fence"
			return
		}
		m.fence = o.FencingToken
		m.closed[o.Task] = max(m.closed[o.Task], o.Run)
		if known := m.running[o.Task]; known != nil && known.number <= o.Run && known.stopAt.IsZero() {
			known.stopAt = time.Now().Add(time.Duration(m.cfg.stopMs/4) * time.Millisecond)
		}
		m.rec.line("STOP %s run %d on %s", o.Task, o.Run, m.cfg.id)
	})
	answer(w, status, map[string]any{
		"clockMs": m.clock(), "reason": reason,
	})
}

// serveHold extends the lease, forgets the ends up to the cursor and answers with
// both lists, at once if there are ends, else after the next one or the wait.
func (m *minion) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	reason := ""
	m.set(func() {
		if o.FencingToken < m.fence {
			reason = "fence"
			return
		}
		m.fence = o.FencingToken
		if o.DeadlineMs > 0 {
			m.extend(o.DeadlineMs)
		}
		rest := m.ends[:0:0]
		for _, e := range m.ends {
			if e.n > o.AckCursor {
				rest = append(rest, e)
				continue
			}
			m.judge.noted(m.cfg.id, e.task, e.number, m.lapsedAt.After(e.at))
		}
		if len(rest) < len(m.ends) {
			m.rec.line("NOTED the ends up to %d on %s", o.AckCursor, m.cfg.id)
		}
		m.ends = rest
	})
	if reason != "" {
		answer(w, http.StatusConflict, map[string]any{
			"clockMs": m.clock(), "reason": reason,
		})
		return
	}
	limit := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for {
		var reply map[string]any
		var notice chan struct{}
		unacked := 0
		m.set(func() { reply, notice, unacked = m.lists(), m.notice, len(m.ends) })
		if unacked == 0 {
			select {
			case <-notice:
				continue
			case <-limit:
			case <-r.Context().Done():
				return
			}
			m.set(func() { reply = m.lists() })
		}
		answer(w, http.StatusOK, reply)
		return
	}
}

func (m *minion) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.running {
		percent := min(99, int(100*time.Since(r.began)/max(r.length, 1)))
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range m.ends[:min(len(m.ends), maxListedEnds)] {
		finished = append(finished, []any{e.n, e.task, e.number, e.how, ""})
	}
	if len(m.ends) > maxListedEnds {
		m.rec.line("LISTED %d of %d ends on %s", maxListedEnds, len(m.ends), m.cfg.id)
	}
	return map[string]any{
		"clockMs": m.clock(), "born": m.began.UnixMilli(), "running": running, "finished": finished,
	}
}

// jobOf returns the job in the name of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
