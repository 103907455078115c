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

	"github.com/plantainladder/plantainladder/intake"
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
	// Limits bounds connections and the time of bodies and answers. Headers have HeaderTimeout
	// and MaxHeaderBytes.
	Limits intake.Limits
	// Budget bounds the bytes of bodies; nil for no bound. The servers of a process share it.
	// A handler must read a body to its end before it does anything: a call whose body does not
	// fit or arrives too slowly is answered with 503 whatever the handler answers.
	Budget *intake.Budget
	// RefusesBodies is true if no call has a body. One with a body is answered with 413, and its
	// connection closed, without the handler.
	RefusesBodies bool
	// CountRefusal counts a refusal; nil for none.
	CountRefusal func(reason Refusal)
	// CountCalls counts n calls with an outcome.
	CountCalls func(o Outcome, n int)
	// Logger receives the lines about stops, refusals and handlers that panic.
	Logger zerolog.Logger
}

// A Server is an HTTP server.
type Server struct {
	cfg         Config
	http        *http.Server
	listener    *listener
	connections connections
	calls       calls
	refusals    refusals
	isStopping  atomic.Bool
	startedAt   time.Time
	// cancelCalls ends the contexts of the calls under way.
	cancelCalls context.CancelFunc
}

// Listen returns a Server that listens on a TCP address. Serve answers calls.
func Listen(address string, cfg Config) (s *Server, err error) {
	defer util.Annotate(&err, "http1: listen on "+address)
	l, err := listenTCP(address, cfg.Limits.SocketBytes)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s = &Server{
		cfg:         cfg,
		cancelCalls: cancel,
		startedAt:   time.Now(),
	}
	s.connections.server = s
	s.listener = newListener(l, s.newConnection)
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ConnState:         s.connections.stateChanged,
		ConnContext:       withConnection,
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
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if ok && conn.isCut.Load() {
		// Its client gets no answer, so the call must not run.
		return
	}
	if !ok || r.ContentLength == 0 {
		s.calls.serve(s, w, r)
		return
	}
	if s.cfg.RefusesBodies {
		s.refuseBody(conn, w)
	}
	s.serveBody(conn, w, r)
}

// connectionKey is the key of a call's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

func (s *Server) newConnection(tcp *net.TCPConn) *connection {
	c := &connection{
		TCPConn: tcp,
		server:  s,
	}
	c.advance(time.Now())
	return c
}
