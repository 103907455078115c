package rpc

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainladder/plantainladder/codec"
)

// A ServerConfig configures a Server.
type ServerConfig struct {
	// Token is the cluster's shared secret; empty for none.
	Token string
	// MaxCalls is the number of calls of one connection that may run at the same
	// time.
	MaxCalls int
	// CountBytes is called with the number of bytes written and read; nil for
	// none.
	CountBytes func(written, read int)
}

const idleTimeout = 10 * time.Second

type handler func(ctx context.Context, body cbor.RawMessage) (cbor.RawMessage, error)

// A Server runs the calls of clients. Its methods must be registered with Handle
// before it serves.
type Server struct {
	cfg      ServerConfig
	handlers map[string]handler
}

// NewServer returns a server without methods.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg:      cfg,
		handlers: map[string]handler{},
	}
}

// Handle registers fn as a method. The caller gets an error of fn as a
// *RemoteError.
func Handle[Q, A any](s *Server, method string, fn func(ctx context.Context, q Q) (A, error)) {
	s.handlers[method] = func(ctx context.Context, body cbor.RawMessage) (answer cbor.RawMessage, err error) {
		q, err := codec.Unmarshal[Q](body)
		if err != nil {
			return nil, err
		}
		a, err := fn(ctx, q)
		if err != nil {
			return nil, err
		}
		return codec.Marshal(a)
	}
}

// ServeHTTP upgrades the request to a WebSocket connection and serves calls until
// the connection closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// HTTP trims the space after the scheme if the token is empty.
	token := strings.TrimSpace(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer"))
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.cfg.Token)) != 1 {
		http.Error(w, "wrong cluster token", http.StatusUnauthorized)
		return
	}
	var idle atomic.Pointer[time.Timer]
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		OnPingReceived: func(context.Context, []byte) bool {
			if t := idle.Load(); t != nil {
				t.Reset(idleTimeout)
			}
			return true
		},
	})
	if err != nil {
		return
	}
	// Clients ping, so a connection without pings has lost its client.
	t := time.AfterFunc(idleTimeout, func() { _ = conn.CloseNow() })
	defer t.Stop()
	idle.Store(t)
	conn.SetReadLimit(MaxFrame)
	defer func() { _ = conn.CloseNow() }()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s.serve(ctx, conn)
}

func (s *Server) serve(ctx context.Context, conn *websocket.Conn) {
	running := make(chan struct{}, s.cfg.MaxCalls)
	for {
		f, n, err := readFrame(ctx, conn)
		if err != nil {
			return
		}
		s.count(0, n)
		if f.ID == 0 {
			// Messages without a reply are handled in the order in which they arrive.
			s.answer(ctx, conn, f)
			continue
		}
		running <- struct{}{}
		go func() {
			defer func() { <-running }()
			s.answer(ctx, conn, f)
		}()
	}
}

func (s *Server) answer(ctx context.Context, conn *websocket.Conn, f frame) {
	reply := frame{
		ID:    f.ID,
		Reply: true,
	}
	h, ok := s.handlers[f.Method]
	if !ok {
		reply.ErrorText = "unknown method"
	} else if body, err := h(ctx, f.Body); err != nil {
		reply.ErrorText = err.Error()
	} else {
		reply.Body = body
	}
	if f.ID == 0 {
		return
	}
	n, err := writeFrame(ctx, conn, reply)
	s.count(n, 0)
	if err != nil {
		_ = conn.CloseNow()
	}
}

func (s *Server) count(written, read int) {
	if s.cfg.CountBytes != nil {
		s.cfg.CountBytes(written, read)
	}
}
