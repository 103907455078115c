package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type runKey struct {
	task string
	run  int
}

type activeRun struct {
	startedAt time.Time
	stopAt    time.Time
	needs     resources
}

type endedRun struct {
	n       uint64
	key     runKey
	outcome string
}

type resources struct {
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	GPU   int `json:"gpu"`
}

// fleet holds the minions and what the tasks of each job need.
type fleet struct {
	rec *record
	mu  sync.Mutex
	// needs and runTimes hold what a task needs and how long it works, by job and step.
	needs    map[string]resources
	runTimes map[string]time.Duration
	minions  []*minion
	// done holds the tasks that have ended done.
	done map[string]bool
	// twice counts the starts of a task while another run of it was at work.
	twice int
}

func newFleet(rec *record) *fleet {
	return &fleet{
		rec:      rec,
		needs:    map[string]resources{},
		runTimes: map[string]time.Duration{},
		done:     map[string]bool{},
	}
}

// stepOf returns the job and the step of a task ID.K.STEP.INDEX.
func stepOf(task string) string {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task
	}
	return parts[0] + "." + parts[2]
}

// minion is one boot of a minion, as the pages describe it.
type minion struct {
	f        *fleet
	id       string
	service  string
	address  string
	labels   []string
	capacity resources
	controls []string
	bootedAt time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	server   *http.Server

	mu       sync.Mutex
	state    string
	seq      uint64
	fence    uint64
	lease    int64
	active   map[runKey]*activeRun
	closed   map[string]int
	finished []endedRun
	ends     uint64
	change   chan struct{}
	// confirmedDraining is closed once a ping with the state draining was acknowledged.
	confirmedDraining chan struct{}
	isConfirmed       bool
}

func (f *fleet) start(id, service, address string, capacity resources, labels, controls []string) (*minion, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &minion{
		f:                 f,
		id:                id,
		service:           service,
		address:           address,
		labels:            labels,
		capacity:          capacity,
		controls:          controls,
		bootedAt:          time.Now(),
		ctx:               ctx,
		cancel:            cancel,
		state:             "ready",
		active:            map[runKey]*activeRun{},
		closed:            map[string]int{},
		change:            make(chan struct{}),
		confirmedDraining: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /plantainladder/run-start", m.serveStart)
	mux.HandleFunc("POST /plantainladder/run-stop", m.serveStop)
	mux.HandleFunc("POST /plantainladder/hold", m.serveHold)
	m.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = m.server.Serve(listener) }()
	go m.work()
	go m.ping()
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.mu.Unlock()
	f.rec.line("minion %s of service %s begins at %s", id, service, address)
	return m, nil
}

func (m *minion) clockMs(now time.Time) int64 { return now.Sub(m.bootedAt).Milliseconds() + 1000 }

// end ends the minion with all that runs there.
func (m *minion) end() {
	m.cancel()
	_ = m.server.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.active {
		m.f.rec.line("minion %s ends under %s run %d", m.id, k.task, k.run)
	}
	m.active = map[runKey]*activeRun{}
}

func (m *minion) work() {
	for m.ctx.Err() == nil {
		m.mu.Lock()
		m.endDue(time.Now())
		m.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// endDue ends the runs that are done or stopped, and all once the lease is over.
func (m *minion) endDue(now time.Time) {
	isLapsed := m.lease < m.clockMs(now)
	for k, r := range m.active {
		m.f.mu.Lock()
		runTime := m.f.runTimes[stepOf(k.task)]
		m.f.mu.Unlock()
		switch {
		case isLapsed:
			m.endRun(k, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.endRun(k, "stopped")
		case now.Sub(r.startedAt) >= runTime:
			m.endRun(k, "done")
		}
	}
}

func (m *minion) endRun(k runKey, outcome string) {
	delete(m.active, k)
	m.closed[k.task] = max(m.closed[k.task], k.run)
	m.ends++
	m.finished = append(m.finished, endedRun{
		n:       m.ends,
		key:     k,
		outcome: outcome,
	})
	m.f.rec.line("minion %s: %s run %d ends %s", m.id, k.task, k.run, outcome)
	if outcome == "done" {
		m.f.mu.Lock()
		m.f.done[k.task] = true
		m.f.mu.Unlock()
	}
	close(m.change)
	m.change = make(chan struct{})
}

// pingBody returns what the minion says of itself.
func (m *minion) pingBody() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	body := map[string]any{
		"service": m.service, "address": m.address, "zone": "z1", "version": "v1", "slots": 8, "state": m.state, "coldLeftMs": 0,
		"capacity": m.capacity, "labels": m.labels, "clockMs": m.clockMs(time.Now()), "seq": m.seq, "born": m.bootedAt.UnixMilli(),
	}
	if m.state == "draining" {
		body["drainRemainingMs"] = drainTime.Milliseconds()
	}
	return body
}

func (m *minion) ping() {
	for i := 0; m.ctx.Err() == nil; {
		body := m.pingBody()
		status, _ := put(m.ctx, m.controls[i%len(m.controls)], m.id, body)
		if status == http.StatusOK {
			m.mu.Lock()
			if body["state"] == "draining" && !m.isConfirmed {
				m.isConfirmed = true
				close(m.confirmedDraining)
			}
			m.mu.Unlock()
			select {
			case <-m.ctx.Done():
			case <-time.After(pingPeriod):
			}
			continue
		}
		i++
		time.Sleep(50 * time.Millisecond)
	}
}

// put sends a ping with the given body for the minion of the given id.
func put(ctx context.Context, control, id string, body map[string]any) (status int, answer string) {
	b, _ := json.Marshal(body)
	return call(ctx, time.Second, http.MethodPut, control, "", "/plantainladder/instances/"+id, "", b)
}

// leave drains the minion as the pages say: it goes on for drainMs after the
// confirmation and until its runs have ended, then says that it leaves, and ends.
func (m *minion) leave() {
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	m.f.rec.line("minion %s begins to drain", m.id)
	go func() { _, _ = put(m.ctx, m.controls[0], m.id, m.pingBody()) }()
	<-m.confirmedDraining
	m.f.rec.line("minion %s: draining is confirmed", m.id)
	confirmedAt := time.Now()
	for {
		m.mu.Lock()
		n := len(m.active)
		m.mu.Unlock()
		if time.Since(confirmedAt) > drainTime+500*time.Millisecond && n == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	status, _ := call(context.Background(), time.Second, http.MethodDelete, m.controls[0], "", "/plantainladder/instances/"+m.id, "", nil)
	m.f.rec.line("minion %s leaves: DELETE answered %d", m.id, status)
	m.end()
}
