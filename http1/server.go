// Package http1 serves HTTP/1.1, stops without leaving calls unanswered that callers
// have sent over open connections, and tells what became of the calls that a stop met.
package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/util"
)

// A Config configures a Server.
type Config struct {
	// Handler answers the calls.
	Handler http.Handler
	// HeaderTimeout is the longest time to read the headers of a call.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection stays open between two calls; zero for
	// no limit.
	IdleTimeout time.Duration
	// MaxHeaderBytes is the largest size of the headers; zero for the default of
	// net/http.
	MaxHeaderBytes int
	// CountCalls counts n calls with an outcome.
	CountCalls func(o Outcome, n int)
	// Logger receives the lines about stops and about handlers that panic.
	Logger zerolog.Logger
}

// A Server is an HTTP server.
type Server struct {
	cfg         Config
	http        *http.Server
	listener    *listener
	connections connections
	calls       calls
	isStopping  atomic.Bool
}

// Listen returns a Server that listens on a TCP address. Serve answers calls.
func Listen(address string, cfg Config) (s *Server, err error) {
	defer util.Annotate(&err, "http1: listen on "+address)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = &Server{
		cfg:      cfg,
		listener: newListener(l.(*net.TCPListener)),
	}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ConnState:         s.connections.stateChanged,
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve answers calls until Stop or Close. It returns http.ErrServerClosed then.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if s.isStopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	return s.http.Close()
}

// serveHTTP passes a call on to the handler. The answer to a call that arrives while
// the server stops closes its connection.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStopping.Load() {
		w.Header().Set("Connection", "close")
	}
	s.calls.serve(s, w, r)
}

// StopConfig holds the periods of a stop.
type StopConfig struct {
	// NoticePeriod is how long the server goes on accepting connections and calls,
	// so that callers and load balancers turn to other servers.
	NoticePeriod time.Duration
	// AnswerTimeout is how long calls may take that are under way at the end of the
	// notice period.
	AnswerTimeout time.Duration
}

// Stop stops the server without breaking a call off. During the notice period it
// accepts connections and calls as before, but the answer to each call that arrives
// closes its connection. Connections without a call stay open until the end of the
// period, since a call may be on its way. Then Stop closes the listener, once the
// connections in its queue are accepted, and waits for the calls under way. It returns
// the error of ctx or context.DeadlineExceeded if calls were left.
func (s *Server) Stop(ctx context.Context, cfg StopConfig) (err error) {
	defer util.Annotate(&err, "http1: stop")
	startedAt := time.Now()
	s.isStopping.Store(true)
	s.logStart(cfg)
	util.SleepContext(ctx, cfg.NoticePeriod)
	ctx, cancel := context.WithTimeout(ctx, cfg.AnswerTimeout)
	defer cancel()
	err = s.listener.stop(ctx, time.Now())
	s.connections.closeIdle(time.Now())
	// http.Server.Shutdown would drop the calls that are read after it.
	err = errors.Join(err, s.connections.awaitNone(ctx))
	s.reportEnd(time.Since(startedAt), err)
	return errors.Join(err, s.http.Close())
}

func (s *Server) logStart(cfg StopConfig) {
	open, idle, _ := s.connections.count()
	s.cfg.Logger.Info().Int64("running", s.calls.running.Load()).Int("connections", open).Int("idle", idle).
		Dur("notice", cfg.NoticePeriod).Dur("answers", cfg.AnswerTimeout).Msg("Server is stopping.")
}

// reportEnd logs and counts the calls that were left without an answer.
func (s *Server) reportEnd(took time.Duration, err error) {
	open, _, received := s.connections.count()
	running := int(s.calls.running.Load())
	dropped := max(received-int(s.calls.passedOn.Load()), 0)
	s.cfg.CountCalls(LeftRunning, running)
	s.cfg.CountCalls(Dropped, dropped)
	s.cfg.Logger.Info().Int64("answered", s.calls.answeredWhileStopping.Load()).Int("left-running", running).
		Int("dropped", dropped).Int("connections", open).Dur("took", took).AnErr("cause", err).Msg("Server has stopped.")
}
