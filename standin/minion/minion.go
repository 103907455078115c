// Package minion is a small stand-in for a minion: it runs requests in slots,
// announces itself and writes down every run.
package minion

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/minion"
	"github.com/plantainladder/plantainladder/standin/gateway"
	"github.com/plantainladder/plantainladder/standin/record"
)

// A Config describes a Minion.
type Config struct {
	// Announcement is what it says of itself; an empty address means Listen.
	Announcement minion.Announcement
	// Listen is its address.
	Listen string
	// Gateways is the way to the gateways.
	Gateways *gateway.Client
	// Token is the token that gateways must show.
	Token string
	// Fault is how it misbehaves; empty for not at all.
	Fault string
	// Record takes a line for each run; nil for none.
	Record *record.File
	// Logger takes its log lines.
	Logger zerolog.Logger
}

// Faults of a stand-in.
const (
	FaultFail       = "fail"
	FaultSilent     = "silent"
	FaultTruncate   = "truncate"
	FaultMixUp      = "mix-up"
	FaultLoseAnswer = "lose-answer"
)

// A Minion runs requests.
type Minion struct {
	cfg     Config
	slots   chan struct{}
	until   atomic.Int64
	leaving atomic.Bool
	runs    atomic.Int64
	open    atomic.Int64
}

// New returns a minion that is not yet serving.
func New(cfg Config) *Minion {
	return &Minion{
		cfg:   cfg,
		slots: make(chan struct{}, cfg.Announcement.Slots),
	}
}

// A Work is the body of a request that the stand-in understands.
type Work struct {
	// ID names the piece of work in the record of runs.
	ID string `json:"id"`
	// RunMS is how long it runs, in milliseconds.
	RunMS int64 `json:"run-ms"`
	// AnswerBytes is the size of the answer.
	AnswerBytes int `json:"answer-bytes"`
}

const (
	lineDone = "done"
	maxBody  = 2 << 20
)

// Lines of a record: a run, and more work or connections than were announced.
const (
	LineRun             = "run"
	LineOverSlots       = "over-slots"
	LineOverConnections = "over-connections"
)

// Run serves until ctx ends, then leaves: it announces that it wants no new
// requests and finishes what runs.
func (m *Minion) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", m.cfg.Listen)
	if err != nil {
		return err
	}
	if m.cfg.Announcement.Address == "" {
		m.cfg.Announcement.Address = listener.Addr().String()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/work", m.serve)
	mux.HandleFunc("POST /v1/work/{path...}", m.serve)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
		ConnState:         m.countConnections,
	}
	go func() { _ = server.Serve(listener) }()
	m.cfg.Logger.Info().Str("address", m.cfg.Announcement.Address).Msg("Minion serves.")
	m.announceUntil(ctx)
	m.leave()
	return server.Shutdown(context.Background())
}

// countConnections writes down each connection beyond those announced.
func (m *Minion) countConnections(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if open := m.open.Add(1); open > int64(m.cfg.Announcement.Connections) {
			m.cfg.Record.Write(LineOverConnections, m.cfg.Announcement.Name, strconv.FormatInt(open, 10))
		}
	case http.StateClosed, http.StateHijacked:
		m.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

func (m *Minion) announceUntil(ctx context.Context) {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for {
		m.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// leaveFor is how long a minion goes on after it began to leave. It is longer
// than gateways need, so that a start that comes too late is seen.
const leaveFor = 7 * time.Second

func (m *Minion) leave() {
	m.leaving.Store(true)
	m.cfg.Announcement.Leaving = true
	m.cfg.Logger.Info().Msg("Minion is leaving.")
	ctx, cancel := context.WithTimeout(context.Background(), leaveFor)
	defer cancel()
	m.announceUntil(ctx)
}

func (m *Minion) announce(ctx context.Context) {
	m.cfg.Announcement.Sequence++
	sent := time.Now()
	a := m.cfg.Announcement
	r, err := gateway.Put[minion.Announcement, api.AnnounceReply](ctx, m.cfg.Gateways, "/v1/minions/"+a.Name, a)
	if err != nil {
		m.cfg.Logger.Debug().Err(err).Msg("Announcement was not taken.")
		return
	}
	m.until.Store(sent.Add(time.Duration(r.AcceptForMS) * time.Millisecond).UnixNano())
}

// decline says that the request did not run.
func decline(w http.ResponseWriter, reason string) {
	w.Header().Set(api.HeaderOutcome, api.OutcomeNotRun)
	w.Header().Set(api.HeaderReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (m *Minion) serve(w http.ResponseWriter, r *http.Request) {
	if m.cfg.Token != "" && r.Header.Get("Authorization") != "Bearer "+m.cfg.Token {
		decline(w, "wrong-token")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	if time.Now().UnixNano() > m.until.Load() {
		decline(w, "no-lease")
		return
	}
	select {
	case m.slots <- struct{}{}:
	default:
		m.cfg.Record.Write(LineOverSlots, m.cfg.Announcement.Name)
		decline(w, "busy")
		return
	}
	defer func() { <-m.slots }()
	m.run(w, r, body)
}

func (m *Minion) run(w http.ResponseWriter, r *http.Request, body []byte) {
	var work Work
	if err := json.Unmarshal(body, &work); err != nil {
		work.ID = string(body[:min(len(body), 64)])
	}
	m.runs.Add(1)
	m.cfg.Record.Write(LineRun, work.ID, m.cfg.Announcement.Name)
	if m.cfg.Fault == FaultSilent {
		<-r.Context().Done()
		return
	}
	t := time.NewTimer(time.Duration(work.RunMS) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		return
	}
	m.cfg.Record.Write(lineDone, work.ID, m.cfg.Announcement.Name)
	m.answer(w, r, work)
}

func (m *Minion) answer(w http.ResponseWriter, r *http.Request, work Work) {
	id := r.Header.Get(api.HeaderRequestID)
	body := work.ID + " done by " + m.cfg.Announcement.Name + "\n"
	if n := work.AnswerBytes - len(body); n > 0 {
		body += strings.Repeat(".", n)
	}
	if m.cfg.Fault == FaultMixUp {
		id, body = "another-"+id, "another "+body
	}
	length := len(body)
	switch m.cfg.Fault {
	case FaultFail, FaultLoseAnswer:
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		length *= 2
	}
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = io.WriteString(w, body)
}
