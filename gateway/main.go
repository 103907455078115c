// Command gateway serves the HTTP interface for callers, minions, workers and
// operators and forwards their calls.
package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/gateway/caller"
	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/gateway/minion"
	"github.com/plantainladder/plantainladder/gateway/operator"
	"github.com/plantainladder/plantainladder/gateway/worker"
	"github.com/plantainladder/plantainladder/http1"
	"github.com/plantainladder/plantainladder/intake"
	"github.com/plantainladder/plantainladder/loop"
	"github.com/plantainladder/plantainladder/util"
)

const (
	tickInterval     = 50 * time.Millisecond
	eventQueueLength = 8192
	headerTimeout    = 5 * time.Second
	idleTimeout      = 60 * time.Second
	maxHeaderBytes   = 32 << 10
	// A body of 1 MiB arrives within bodyTimeout at bodyRate.
	bodyGrace   = 10 * time.Second
	bodyRate    = 16 << 10
	bodyTimeout = 75 * time.Second
	// stallTimeout is how long a body or an answer may make no progress.
	stallTimeout = 10 * time.Second
	// socketBytes bounds what has arrived over a connection and is not read.
	socketBytes = 64 << 10
)

// A server is one running gateway.
type server struct {
	cfg          settings
	logger       zerolog.Logger
	loop         *loop.Loop[admission.State, admission.Event, admission.Effect]
	effectRouter *caller.EffectRouter
	leaderClient *controller.LeaderClient
	poller       *controller.Poller
	handler      http.Handler
}

func newServer(cfg settings, logger zerolog.Logger) *server {
	s := &server{
		cfg:          cfg,
		logger:       util.ForComponent(logger, "gateway"),
		effectRouter: caller.NewEffectRouter(),
	}
	s.loop = loop.New(loop.Config[admission.State, admission.Event, admission.Effect]{
		Initial: admission.NewState(admission.Config{
			Gateway:   cfg.name,
			MaxQueued: cfg.maxQueue,
		}),
		Step:        admission.State.Step,
		Perform:     s.effectRouter.Perform,
		Clock:       time.Now,
		QueueLength: eventQueueLength,
	})
	s.leaderClient = controller.NewLeaderClient(controller.Config{
		Addresses:  util.SplitList(cfg.controllers),
		Token:      cfg.clusterToken,
		Source:     cfg.source,
		Logger:     util.ForComponent(logger, "gateway/controller"),
		CountBytes: countBytes,
	})
	s.poller = controller.NewPoller(controller.PollerConfig{
		LeaderClient: s.leaderClient,
		State:        s.loop.State,
		PollReplyReceived: func(e admission.PollReplyReceived) {
			_ = s.loop.Post(context.Background(), e)
		},
		Clock: time.Now,
	})
	s.handler = s.newHandler(logger)
	return s
}

func (s *server) newHandler(logger zerolog.Logger) http.Handler {
	mux := http.NewServeMux()
	createRefusalCounters()
	createStopCounters()
	createClientRefusalCounters()
	caller.NewHandler(caller.Config{
		Gateway:        s.cfg.name,
		EffectRouter:   s.effectRouter,
		Post:           s.loop.Post,
		State:          s.loop.State,
		Clock:          time.Now,
		Minions:        minion.NewClient(s.cfg.minionToken, s.cfg.source),
		LeaderClient:   s.leaderClient,
		AllowAnonymous: s.cfg.insecure,
		Logger:         util.ForComponent(logger, "gateway/caller"),
	}).Register(mux)
	minion.Register(mux, minion.HandlerConfig{
		Token: s.cfg.minionToken,
		Post:  s.loop.Post,
		State: s.loop.State,
		Clock: time.Now,
	})
	worker.Register(mux, worker.HandlerConfig{
		Token:     s.cfg.workerToken,
		Heartbeat: s.poller.Heartbeat,
	})
	operator.Register(mux, operator.HandlerConfig{
		Token:        s.cfg.operatorToken,
		LeaderClient: s.leaderClient,
		State:        s.loop.State,
		Logger:       util.ForComponent(logger, "gateway/operator"),
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		setGauges(s.loop.State(), time.Now())
		metrics.WritePrometheus(w, true)
	})
	return mux
}

// serveReady responds 200 while the gateway may start requests.
func (s *server) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := s.loop.State()
	if state.IsDraining() || !state.Lease().IsValid(time.Now()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// run serves until stop receives a signal. It returns when the running requests
// have ended.
func (s *server) run(stop <-chan os.Signal) (err error) {
	defer util.Annotate(&err, "gateway: run")
	server, err := http1.Listen(s.cfg.listen, http1.Config{
		Handler:        s.handler,
		HeaderTimeout:  headerTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		Limits: intake.Limits{
			MaxConnections: s.cfg.connectionLimit(),
			BodyGrace:      bodyGrace,
			BodyRate:       bodyRate,
			BodyTimeout:    bodyTimeout,
			StallTimeout:   stallTimeout,
			SocketBytes:    socketBytes,
		},
		Budget:       intake.NewBudget(s.cfg.bodyBytes()),
		CountRefusal: countRefusal,
		CountCalls:   countStopCalls,
		Logger:       s.logger,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.leaderClient.Run(ctx)
	go s.loop.Run(ctx)
	go s.poller.Run(ctx)
	go s.loop.Tick(ctx, tickInterval, func() admission.Event {
		return admission.Tick{}
	})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	s.logger.Info().Str("address", server.Address()).Msg("Gateway is listening.")
	select {
	case err = <-failed:
		return err
	case <-stop:
		return s.stop(ctx, server)
	}
}

// stop shuts the gateway down. The gateway first reports that it is not ready and
// goes on serving for the drain notice, so that the load balancer removes it. It
// then waits for the running requests, at most for the drain limit.
func (s *server) stop(ctx context.Context, server *http1.Server) error {
	s.logger.Info().Msg("Gateway is stopping.")
	_ = s.loop.Post(ctx, admission.Drain{})
	err := server.Stop(ctx, http1.StopConfig{
		NoticePeriod:  s.cfg.drainNotice,
		AnswerTimeout: s.cfg.drainLimit,
	})
	if errors.Is(err, context.DeadlineExceeded) {
		s.logger.Warn().Msg("Drain limit was reached while requests were still running.")
	}
	return err
}

func main() {
	cfg := loadSettings()
	util.LimitMemory(cfg.memoryMB)
	logger := util.NewLogger(os.Stderr, cfg.logLevel)
	logger.Info().Str("part", "gateway").EmbedObject(util.ReadBuild()).Msg("Process is starting.")
	if cfg.insecure {
		logger.Warn().Str("part", "gateway").Msg("Empty tokens are accepted (--insecure-no-tokens).")
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	if err := newServer(cfg, logger).run(stop); err != nil {
		logger.Error().Str("part", "gateway").Err(err).Msg("Gateway failed.")
		os.Exit(util.ExitFailure)
	}
}
