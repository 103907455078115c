// Package worker is a stand-in for a worker: it runs tasks under leases and
// records every start and end.
package worker

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/loop"
	"github.com/plantainladder/plantainladder/standin/gateway"
	"github.com/plantainladder/plantainladder/standin/record"
	"github.com/plantainladder/plantainladder/worker"
)

// A Config configures a Worker.
type Config struct {
	// Worker is what the worker registers; if the address is empty, it registers
	// the address that it listens on.
	Worker worker.Worker
	// Listen is the address to listen on.
	Listen string
	// Gateways is the client that sends heartbeats.
	Gateways *gateway.Client
	// Token is the token that controllers must show.
	Token string
	// FailAll makes every task fail as soon as it has started.
	FailAll bool
	// Record is the record of starts and ends; nil for none.
	Record *record.File
	// Logger is the logger of the worker.
	Logger zerolog.Logger
}

const (
	tickInterval     = 50 * time.Millisecond
	eventQueueLength = 256
	maxOrdersBytes   = 4 << 20
)

// A Worker runs tasks. Its state changes in the goroutine of its loop only.
type Worker struct {
	cfg          Config
	loop         *loop.Loop[state, event, effect]
	heartbeatNow chan struct{}
}

// New returns a worker that is not yet serving.
func New(cfg Config) *Worker {
	w := &Worker{
		cfg:          cfg,
		heartbeatNow: make(chan struct{}, 1),
	}
	return w
}

func itoa(n int) string {
	return strconv.Itoa(n)
}

// Run serves until ctx ends. The tasks end with it; no end is recorded.
func (w *Worker) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.cfg.Listen)
	if err != nil {
		return err
	}
	if w.cfg.Worker.Address == "" {
		w.cfg.Worker.Address = listener.Addr().String()
	}
	w.loop = loop.New(loop.Config[state, event, effect]{
		Initial: state{
			worker:     w.cfg.Worker,
			failAll:    w.cfg.FailAll,
			tasks:      map[worker.TaskRef]task{},
			tombstones: map[worker.TaskRef]bool{},
		},
		Step:        state.step,
		Perform:     w.perform,
		Clock:       time.Now,
		QueueLength: eventQueueLength,
	})
	go w.loop.Run(ctx)
	go w.loop.Tick(ctx, tickInterval, func() event {
		return tick{}
	})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", w.handleOrders)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	w.cfg.Logger.Debug().Str("address", w.cfg.Worker.Address).Msg("Worker is listening.")
	w.heartbeatPeriodically(ctx)
	return server.Close()
}

func (w *Worker) perform(e effect) {
	switch e := e.(type) {
	case writeRecord:
		w.cfg.Record.Write(e.words...)
	case replyToOrders:
		e.to <- e.body
	case sendHeartbeat:
		e.to <- e.body
	case heartbeatNow:
		select {
		case w.heartbeatNow <- struct{}{}:
		default:
		}
	}
}

func (w *Worker) heartbeatPeriodically(ctx context.Context) {
	ticker := time.NewTicker(control.HeartbeatInterval)
	defer ticker.Stop()
	for {
		go w.heartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.heartbeatNow:
		}
	}
}

func (w *Worker) heartbeat(ctx context.Context) {
	composed := make(chan worker.Heartbeat, 1)
	sent := time.Now()
	if w.loop.Post(ctx, heartbeat{
		reply: composed,
	}) != nil {
		return
	}
	select {
	case <-ctx.Done():
		return
	case b := <-composed:
		resp, err := gateway.Put[worker.Heartbeat, worker.HeartbeatReply](ctx, w.cfg.Gateways, "/v1/workers/"+b.Worker.Name, b)
		if err != nil {
			w.cfg.Logger.Debug().Err(err).Msg("Heartbeat to a gateway failed.")
			return
		}
		_ = w.loop.Post(ctx, heartbeatReply{
			sent:  sent,
			reply: resp,
		})
	}
}

func (w *Worker) handleOrders(rw http.ResponseWriter, r *http.Request) {
	if w.cfg.Token != "" && r.Header.Get("Authorization") != "Bearer "+w.cfg.Token {
		http.Error(rw, "wrong token", http.StatusUnauthorized)
		return
	}
	var body api.Orders
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOrdersBytes)).Decode(&body); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	result := make(chan ordersResult, 1)
	if w.loop.Post(r.Context(), orders{
		list:  body.Orders,
		reply: result,
	}) != nil {
		return
	}
	select {
	case <-r.Context().Done():
	case d := <-result:
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(api.OrderReply{
			Incarnation: w.cfg.Worker.Incarnation,
			Sequence:    d.sequence,
			Reports:     d.reports,
		})
	}
}
