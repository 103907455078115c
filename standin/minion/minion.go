// Package minion is a stand-in for a minion: it announces itself, runs requests
// in slots and records every run.
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

// A Config configures a Minion.
type Config struct {
	// Announcement is what the minion announces; if the address is empty, it
	// announces the address that it listens on.
	Announcement minion.Announcement
	// Listen is the address to listen on.
	Listen string
	// Gateways is the client that sends announcements.
	Gateways *gateway.Client
	// Token is the token that gateways must show.
	Token string
	// Fault is the fault to inject; empty for none.
	Fault string
	// Record is the record of runs; nil for none.
	Record *record.File
	// Logger is the logger of the minion.
	Logger zerolog.Logger
}

// Faults that can be injected: after the run, the connection is closed without a
// response (fail, lose-answer), the response ends before its announced length
// (truncate) or belongs to another request (mix-up); or the request never ends
// (silent).
const (
	FaultFail       = "fail"
	FaultSilent     = "silent"
	FaultTruncate   = "truncate"
	FaultMixUp      = "mix-up"
	FaultLoseAnswer = "lose-answer"
)

// A Minion runs requests.
type Minion struct {
	cfg             Config
	slots           chan struct{}
	acceptUntil     atomic.Int64
	leaving         atomic.Bool
	runs            atomic.Int64
	openConnections atomic.Int64
}

// New returns a minion that is not yet serving.
func New(cfg Config) *Minion {
	return &Minion{
		cfg:   cfg,
		slots: make(chan struct{}, cfg.Announcement.Slots),
	}
}

// Work is the body of a request to the stand-in.
type Work struct {
	// ID identifies the request in the record of runs.
	ID string `json:"id"`
	// RunMS is the run time of the request, in milliseconds.
	RunMS int64 `json:"run-ms"`
	// AnswerBytes is the least size of the response, in bytes.
	AnswerBytes int `json:"answer-bytes"`
}

const (
	lineDone     = "done"
	maxBodyBytes = 2 << 20
)

// First words of the lines of a record: a request began to run, or there were
// more requests or connections at once than announced.
const (
	LineRun             = "run"
	LineOverSlots       = "over-slots"
	LineOverConnections = "over-connections"
)

// Run serves until ctx ends. Then it announces that it is leaving, completes the
// running requests and returns.
func (m *Minion) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", m.cfg.Listen)
	if err != nil {
		return err
	}
	if m.cfg.Announcement.Address == "" {
		m.cfg.Announcement.Address = listener.Addr().String()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/work", m.handleWork)
	mux.HandleFunc("POST /v1/work/{path...}", m.handleWork)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
		ConnState:         m.countConnections,
	}
	go func() { _ = server.Serve(listener) }()
	m.cfg.Logger.Info().Str("address", m.cfg.Announcement.Address).Msg("Minion is listening.")
	m.announcePeriodically(ctx)
	m.leave()
	return server.Shutdown(context.Background())
}

// countConnections records each connection beyond the announced number.
func (m *Minion) countConnections(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if openConnections := m.openConnections.Add(1); openConnections > int64(m.cfg.Announcement.Connections) {
			m.cfg.Record.Write(LineOverConnections, m.cfg.Announcement.Name, strconv.FormatInt(openConnections, 10))
		}
	case http.StateClosed, http.StateHijacked:
		m.openConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

func (m *Minion) announcePeriodically(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		m.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// leaveDuration is how long a minion still serves after it has announced that it
// is leaving. It is longer than gateways need to stop sending requests, so that
// the record shows a request that a gateway starts too late.
const leaveDuration = 7 * time.Second

func (m *Minion) leave() {
	m.leaving.Store(true)
	m.cfg.Announcement.Leaving = true
	m.cfg.Logger.Info().Msg("Minion is leaving.")
	ctx, cancel := context.WithTimeout(context.Background(), leaveDuration)
	defer cancel()
	m.announcePeriodically(ctx)
}

func (m *Minion) announce(ctx context.Context) {
	m.cfg.Announcement.Sequence++
	sent := time.Now()
	announcement := m.cfg.Announcement
	reply, err := gateway.Put[minion.Announcement, api.AnnounceReply](ctx, m.cfg.Gateways, "/v1/minions/"+announcement.Name, announcement)
	if err != nil {
		m.cfg.Logger.Debug().Err(err).Msg("Announcement to a gateway failed.")
		return
	}
	m.acceptUntil.Store(sent.Add(time.Duration(reply.AcceptForMS) * time.Millisecond).UnixNano())
}

// decline responds that the request did not run.
func decline(w http.ResponseWriter, reason string) {
	w.Header().Set(api.HeaderOutcome, api.OutcomeNotRun)
	w.Header().Set(api.HeaderReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (m *Minion) handleWork(w http.ResponseWriter, r *http.Request) {
	if m.cfg.Token != "" && r.Header.Get("Authorization") != "Bearer "+m.cfg.Token {
		decline(w, "wrong-token")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if time.Now().UnixNano() > m.acceptUntil.Load() {
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
	m.respond(w, r, work)
}

func (m *Minion) respond(w http.ResponseWriter, r *http.Request, work Work) {
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
