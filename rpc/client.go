package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/util"
)

// A ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the server's address, such as "ws://127.0.0.1:7101/rpc".
	URL string
	// Token is the cluster's shared secret; empty for none.
	Token string
	// Source is the local IP address to dial from; empty for any.
	Source string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// QueueLength is the number of calls and messages that may wait to be sent.
	QueueLength int
	// CountBytes is called with the number of bytes written and read; nil for
	// none.
	CountBytes func(written, read int)
}

// WithAddress returns cfg with the URL of the server at a host and port.
func (cfg ClientConfig) WithAddress(address string) ClientConfig {
	cfg.URL = "ws://" + address + "/rpc"
	return cfg
}

// A Client calls one server. It is safe for concurrent use: one goroutine owns
// its connection.
type Client struct {
	cfg       ClientConfig
	http      *http.Client
	calls     chan call
	abandoned chan chan result
	done      chan struct{}
	stop      context.CancelFunc
}

type call struct {
	frame  frame
	result chan result
	// sendDecision is nil for a message without a reply.
	sendDecision *sendDecision
}

// A sendDecision tells whether a call was sent. It is decided once: by the owner
// of the connection, which sends the call, or by the caller, which gives up
// before.
type sendDecision struct {
	isDecided atomic.Bool
}

// decide makes the decision and reports whether it was still open.
func (d *sendDecision) decide() bool {
	return d == nil || d.isDecided.CompareAndSwap(false, true)
}

type result struct {
	frame frame
	sent  bool
	err   error
}

// NewClient returns a client that dials on its first call. Close stops it.
func NewClient(cfg ClientConfig) *Client {
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{
		cfg: cfg,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:       counted(util.DialFrom(cfg.Source, cfg.DialTimeout)),
				DisableKeepAlives: true,
			},
		},
		calls:     make(chan call, cfg.QueueLength),
		abandoned: make(chan chan result),
		done:      make(chan struct{}),
		stop:      stop,
	}
	go c.run(ctx)
	return c
}

// Close closes the connection and fails the pending calls.
func (c *Client) Close() {
	c.stop()
	<-c.done
}

// Call calls a method with q and returns its reply. It returns a *RemoteError if
// the method returned an error, and a *NoReplyError if no reply came.
func Call[Q, A any](ctx context.Context, c *Client, method string, q Q) (a A, err error) {
	body, err := codec.Marshal(q)
	if err != nil {
		return a, &NoReplyError{
			Method: method,
			Cause:  err,
		}
	}
	r := c.exchange(ctx, method, body)
	switch {
	case r.err != nil:
		return a, &NoReplyError{
			Method: method,
			Sent:   r.sent,
			Cause:  r.err,
		}
	case r.frame.ErrorText != "":
		return a, &RemoteError{
			Method: method,
			Detail: r.frame.ErrorText,
		}
	}
	return codec.Unmarshal[A](r.frame.Body)
}

// Send queues a message without a reply. It returns false if the queue is full
// or q cannot be encoded.
func Send[Q any](c *Client, method string, q Q) bool {
	body, err := codec.Marshal(q)
	if err != nil {
		return false
	}
	select {
	case c.calls <- call{
		frame: frame{
			Method: method,
			Body:   body,
		},
	}:
		return true
	default:
		return false
	}
}

func (c *Client) exchange(ctx context.Context, method string, body cbor.RawMessage) result {
	k := call{
		frame: frame{
			Method: method,
			Body:   body,
		},
		result:       make(chan result, 1),
		sendDecision: &sendDecision{},
	}
	select {
	case c.calls <- k:
	case <-c.done:
		return result{
			err: context.Canceled,
		}
	case <-ctx.Done():
		return result{
			err: ctx.Err(),
		}
	}
	select {
	case r := <-k.result:
		return r
	case <-c.done:
	case <-ctx.Done():
	}
	if k.sendDecision.decide() {
		return result{
			err: context.DeadlineExceeded,
		}
	}
	select {
	case r := <-k.result:
		// It came together with the end.
		return r
	default:
	}
	c.abandon(k.result)
	return result{
		sent: true,
		err:  context.DeadlineExceeded,
	}
}

// abandon tells the owner of the connection that nobody waits for a call any
// more. The owner closes the connection if it received no reply lately.
func (c *Client) abandon(waiting chan result) {
	select {
	case c.abandoned <- waiting:
	case <-c.done:
	}
}

// The client pings the server, since messages without a reply cannot show that
// the connection is dead.
const (
	pingInterval   = 250 * time.Millisecond
	pingTimeout    = 500 * time.Millisecond
	silenceTimeout = 700 * time.Millisecond
)

// A dialResult is the result of an attempt to open a connection.
type dialResult struct {
	session *session
	err     error
}

// run owns the connection. It queues calls while a connection is being opened.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	var s *session
	var lastID uint64
	var queued []call
	var dialling chan dialResult
	for {
		var incoming chan frame
		if s != nil {
			incoming = s.incoming
		}
		select {
		case <-ctx.Done():
			s.close()
			return
		case k := <-c.calls:
			if s == nil {
				queued = append(queued, k)
				break
			}
			lastID++
			s = c.sendCall(ctx, s, k, lastID)
		case d := <-dialling:
			var rest []call
			dialling, s = nil, d.session
			for _, k := range queued {
				switch {
				case d.err != nil:
					k.fail(d.err)
				case s == nil:
					rest = append(rest, k)
				default:
					lastID++
					s = c.sendCall(ctx, s, k, lastID)
				}
			}
			queued = rest
		case f, ok := <-incoming:
			if !ok {
				s.close()
				s = nil
				continue
			}
			s.deliver(f)
		case waiting := <-c.abandoned:
			s = s.withoutCall(waiting)
		}
		if s == nil && dialling == nil && len(queued) > 0 {
			dialling = c.startDial(ctx)
		}
	}
}

// startDial opens a connection in another goroutine, so that the owner does not
// block.
func (c *Client) startDial(ctx context.Context) chan dialResult {
	done := make(chan dialResult, 1)
	go func() {
		s, err := c.dial(ctx)
		if ctx.Err() != nil {
			s.close()
			return
		}
		done <- dialResult{
			session: s,
			err:     err,
		}
	}()
	return done
}

// sendCall sends a call and returns the session, or nil if the connection
// failed. It does not send a call that its caller has given up, nor one that the server
// would not read any more: that one fails as not sent.
func (c *Client) sendCall(ctx context.Context, s *session, k call, id uint64) *session {
	if s.socket != nil && s.socket.isClosedByPeer() {
		// Replies that have arrived before the end are still delivered.
		k.fail(net.ErrClosed)
		return s
	}
	if !k.sendDecision.decide() {
		return s
	}
	if k.result != nil {
		k.frame.ID = id
		s.pending[id] = k.result
	}
	n, err := s.write(ctx, k.frame)
	c.count(n, 0)
	var incomplete *incompleteFrameError
	if errors.As(err, &incomplete) {
		s.fail(id, err)
	}
	if err != nil {
		s.close()
		return nil
	}
	return s
}

// fail reports to the caller that the call was not sent.
func (k call) fail(err error) {
	if k.result != nil && k.sendDecision.decide() {
		k.result <- result{
			err: err,
		}
	}
}

func (c *Client) dial(ctx context.Context) (s *session, err error) {
	dialCtx, cancelDial := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancelDial()
	conn, below, err := c.dialSocket(dialCtx)
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(MaxFrame)
	readCtx, cancel := context.WithCancel(ctx)
	s = &session{
		conn:         conn,
		socket:       below,
		incoming:     make(chan frame, c.cfg.QueueLength),
		pending:      map[uint64]chan result{},
		lastReceived: time.Now(),
		cancel:       cancel,
	}
	go c.read(readCtx, conn, s.incoming)
	go keepAlive(readCtx, conn)
	return s, nil
}

// keepAlive pings the server and closes the connection if no pong comes in time.
func keepAlive(ctx context.Context, conn *websocket.Conn) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := conn.Ping(pingCtx)
		cancel()
		if err != nil {
			_ = conn.CloseNow()
			return
		}
	}
}

func (c *Client) read(ctx context.Context, conn *websocket.Conn, incoming chan<- frame) {
	defer close(incoming)
	for {
		f, n, err := readFrame(ctx, conn)
		if err != nil {
			return
		}
		c.count(0, n)
		select {
		case incoming <- f:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) count(written, read int) {
	if c.cfg.CountBytes != nil {
		c.cfg.CountBytes(written, read)
	}
}
