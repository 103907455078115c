// Package worker is a small stand-in for the platform's workers: it holds
// tasks under leases and writes down every start and end.
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

// A Config describes a Worker.
type Config struct {
	// Worker is its registration; an empty address means Listen.
	Worker worker.Worker
	// Listen is its address.
	Listen string
	// Gateways is the way to the gateways.
	Gateways *gateway.Client
	// Token is the token that controllers must show.
	Token string
	// FailAll makes every task fail at once.
	FailAll bool
	// Record takes a line for each start and end; nil for none.
	Record *record.File
	// Logger takes its log lines.
	Logger zerolog.Logger
}

const (
	tickEvery  = 50 * time.Millisecond
	eventQueue = 256
	maxOrders  = 4 << 20
)

// A Worker holds tasks.
type Worker struct {
	cfg  Config
	loop *loop.Loop[state, event, effect]
	urge chan struct{}
}

// New returns a worker that is not yet serving.
func New(cfg Config) *Worker {
	w := &Worker{
		cfg:  cfg,
		urge: make(chan struct{}, 1),
	}
	return w
}

func itoa(n int) string {
	return strconv.Itoa(n)
}

// Run serves until ctx ends. Its tasks end with it.
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
			worker:  w.cfg.Worker,
			failAll: w.cfg.FailAll,
			tasks:   map[worker.TaskRef]task{},
			gone:    map[worker.TaskRef]bool{},
		},
		Step:        state.step,
		Perform:     w.perform,
		Clock:       time.Now,
		QueueLength: eventQueue,
	})
	go w.loop.Run(ctx)
	go w.loop.Tick(ctx, tickEvery, func() event {
		return tick{}
	})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", w.serveOrders)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	w.cfg.Logger.Debug().Str("address", w.cfg.Worker.Address).Msg("Worker serves.")
	w.beatUntil(ctx)
	return server.Close()
}

func (w *Worker) perform(f effect) {
	switch f := f.(type) {
	case write:
		w.cfg.Record.Write(f.words...)
	case replyOrders:
		f.to <- f.body
	case replyBeat:
		f.to <- f.body
	case urge:
		select {
		case w.urge <- struct{}{}:
		default:
		}
	}
}

func (w *Worker) beatUntil(ctx context.Context) {
	every := time.NewTicker(control.HeartbeatInterval)
	defer every.Stop()
	for {
		go w.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		case <-w.urge:
		}
	}
}

func (w *Worker) beat(ctx context.Context) {
	composed := make(chan worker.Heartbeat, 1)
	sent := time.Now()
	if w.loop.Post(ctx, beat{
		reply: composed,
	}) != nil {
		return
	}
	select {
	case <-ctx.Done():
		return
	case b := <-composed:
		r, err := gateway.Put[worker.Heartbeat, worker.HeartbeatReply](ctx, w.cfg.Gateways, "/v1/workers/"+b.Worker.Name, b)
		if err != nil {
			w.cfg.Logger.Debug().Err(err).Msg("Beat was not answered.")
			return
		}
		_ = w.loop.Post(ctx, answer{
			sent:  sent,
			reply: r,
		})
	}
}

func (w *Worker) serveOrders(rw http.ResponseWriter, r *http.Request) {
	if w.cfg.Token != "" && r.Header.Get("Authorization") != "Bearer "+w.cfg.Token {
		http.Error(rw, "wrong token", http.StatusUnauthorized)
		return
	}
	var body api.Orders
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOrders)).Decode(&body); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	done := make(chan ordersDone, 1)
	if w.loop.Post(r.Context(), orders{
		list:  body.Orders,
		reply: done,
	}) != nil {
		return
	}
	select {
	case <-r.Context().Done():
	case d := <-done:
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(api.OrderReply{
			Incarnation: w.cfg.Worker.Incarnation,
			Sequence:    d.sequence,
			Reports:     d.reports,
		})
	}
}
