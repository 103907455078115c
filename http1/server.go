// Package http1 serves HTTP/1.1, stops without leaving calls unanswered that callers
// have sent over open connections, and tells what became of the calls that a stop met.
package http1

import (
	"context"
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
	// cancelCalls ends the contexts of the calls under way.
	cancelCalls context.CancelFunc
}

// Listen returns a Server that listens on a TCP address. Serve answers calls.
func Listen(address string, cfg Config) (s *Server, err error) {
	defer util.Annotate(&err, "http1: listen on "+address)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s = &Server{
		cfg:         cfg,
		listener:    newListener(l.(*net.TCPListener)),
		cancelCalls: cancel,
	}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ConnState:         s.connections.stateChanged,
		BaseContext:       func(net.Listener) context.Context { return ctx },
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
	s.cancelCalls()
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
