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
	"github.com/plantainladder/plantainladder/intake"
)

// A ServerConfig configures a Server.
type ServerConfig struct {
	// Token is the cluster's shared secret; empty for none.
	Token string
	// MaxCalls is the number of calls of one connection that may run at the same
	// time.
	MaxCalls int
	// Frames bounds the bytes of frames until they are whole and, for those without a reply,
	// handled; nil for no bound. The connection of a frame that does not fit is closed.
	Frames *intake.Budget
	// Calls bounds the bytes of calls until they are answered; nil for no bound. A call that
	// does not fit is answered with an error and not run.
	Calls *intake.Budget
	// CountBytes is called with the number of bytes written and read; nil for
	// none.
	CountBytes func(written, read int)
}

const (
	idleTimeout = 10 * time.Second
	// longestSilence is a little less than the second after which callers turn to another
	// process. A client whose pings do not arrive has failed its calls before.
	longestSilence = 900 * time.Millisecond
)

// A link is what a server knows of the link to a client.
type link struct {
	lastRead time.Time
	// wasCut tells that what is read may have waited on the link.
	wasCut bool
}

// WithRead returns l after a ping or a frame was read.
func (l link) WithRead(now time.Time) link {
	return link{
		lastRead: now,
		wasCut:   l.wasCut || now.Sub(l.lastRead) > longestSilence,
	}
}

// WithReader returns l after the time in which its reader was busy with what it had read.
// That is no silence of the client.
func (l link) WithReader(now time.Time) link {
	l.lastRead = now
	return l
}

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
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	// Pings are received in the goroutine that reads frames.
	l := link{
		lastRead: time.Now(),
	}
	var idle atomic.Pointer[time.Timer]
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		OnPingReceived: func(context.Context, []byte) bool {
			if t := idle.Load(); t != nil {
				t.Reset(idleTimeout)
			}
			l = l.WithRead(time.Now())
			if l.wasCut {
				cancel()
			}
			return !l.wasCut
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
	s.serve(ctx, conn, &l)
}

// serve runs the calls that it reads, until one may have waited on a link that was
// cut: its caller has turned elsewhere.
func (s *Server) serve(ctx context.Context, conn *websocket.Conn, l *link) {
	running := make(chan struct{}, s.cfg.MaxCalls)
	for {
		h, err := readBoundedFrame(ctx, conn, s.cfg.Frames)
		if err != nil {
			return
		}
		s.count(0, h.size)
		*l = l.WithRead(time.Now())
		if l.wasCut {
			h.charge.Release()
			return
		}
		if h.ID == 0 {
			// Messages without a reply are handled in the order in which they arrive.
			s.handleMessage(ctx, h)
			*l = l.WithReader(time.Now())
			continue
		}
		charge, ok := h.moveTo(s.cfg.Calls)
		if !ok {
			s.reply(ctx, conn, frame{
				ID:        h.ID,
				Reply:     true,
				ErrorText: "no room for the call",
			})
			*l = l.WithReader(time.Now())
			continue
		}
		running <- struct{}{}
		*l = l.WithReader(time.Now())
		go func() {
			defer func() { <-running }()
			defer charge.Release()
			s.reply(ctx, conn, s.run(ctx, h.frame))
		}()
	}
}

func (s *Server) handleMessage(ctx context.Context, h heldFrame) {
	defer h.charge.Release()
	s.run(ctx, h.frame)
}

// run runs a call and returns its reply.
func (s *Server) run(ctx context.Context, f frame) frame {
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
	return reply
}

// reply sends a reply. It closes the connection if that fails.
func (s *Server) reply(ctx context.Context, conn *websocket.Conn, reply frame) {
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
