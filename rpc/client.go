package rpc

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/util"
)

// A ClientConfig describes a Client.
type ClientConfig struct {
	// URL is the server's address, such as "ws://127.0.0.1:7101/rpc".
	URL string
	// Token is the cluster's shared secret; empty for none.
	Token string
	// Source is the IP number to dial from; empty for any.
	Source string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// QueueLength is the number of calls that may wait for the connection.
	QueueLength int
	// CountBytes is told the bytes written and read; nil for none.
	CountBytes func(written, read int)
}

// WithAddress returns cfg for the server at a host and port.
func (cfg ClientConfig) WithAddress(address string) ClientConfig {
	cfg.URL = "ws://" + address + "/rpc"
	return cfg
}

// A Client calls one server. One goroutine owns its connection.
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
	// fate is nil for a message without an answer.
	fate *fate
}

// A fate is decided once: by the owner of the connection when it sends the
// call, or by the caller when it gives the call up.
type fate struct {
	isDecided atomic.Bool
}

// decide reports whether the caller of this method was the first.
func (f *fate) decide() bool {
	return f == nil || f.isDecided.CompareAndSwap(false, true)
}

type result struct {
	frame frame
	sent  bool
	err   error
}

// NewClient returns a client that dials on its first call; Close ends it.
func NewClient(cfg ClientConfig) *Client {
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{
		cfg: cfg,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:       util.DialFrom(cfg.Source, cfg.DialTimeout),
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

// Close ends the connection and fails the calls that wait.
func (c *Client) Close() {
	c.stop()
	<-c.done
}

// Call sends q to a method and returns its answer. It returns a *RemoteError
// for a fault of the method and an *UnreachableError if no answer came.
func Call[Q, A any](ctx context.Context, c *Client, method string, q Q) (a A, err error) {
	body, err := codec.Marshal(q)
	if err != nil {
		return a, err
	}
	r := c.exchange(ctx, method, body)
	switch {
	case r.err != nil:
		return a, &UnreachableError{
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

// Send queues a message that wants no answer and reports whether there was room.
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
		result: make(chan result, 1),
		fate:   &fate{},
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
	isUnsent := k.fate.decide()
	if !isUnsent {
		c.reportSilence(k.result)
	}
	return result{
		sent: !isUnsent,
		err:  context.DeadlineExceeded,
	}
}

// reportSilence makes the owner forget a call that nobody waits for any more,
// and open a new connection unless an answer came lately.
func (c *Client) reportSilence(waiting chan result) {
	select {
	case c.abandoned <- waiting:
	case <-c.done:
	}
}

// Keep-alive of connections: a client pings, since messages without an answer
// cannot show that a connection has gone silent.
const (
	pingEvery    = 250 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	silenceLimit = 700 * time.Millisecond
)

// A dialled value is the end of an attempt to open a connection.
type dialled struct {
	session *session
	err     error
}

// run owns the connection. Calls wait while one is being opened.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	var s *session
	var lastID uint64
	var queued []call
	var dialling chan dialled
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
			s = c.begin(ctx, s, k, lastID)
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
					s = c.begin(ctx, s, k, lastID)
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
			s = s.without(waiting)
		}
		if s == nil && dialling == nil && len(queued) > 0 {
			dialling = c.startDial(ctx)
		}
	}
}

// startDial opens a connection beside the owner, which goes on.
func (c *Client) startDial(ctx context.Context) chan dialled {
	done := make(chan dialled, 1)
	go func() {
		s, err := c.dial(ctx)
		if ctx.Err() != nil {
			s.close()
			return
		}
		done <- dialled{
			session: s,
			err:     err,
		}
	}()
	return done
}

// begin sends a call and returns the connection, nil if it broke. A call whose
// caller has given up is not sent.
func (c *Client) begin(ctx context.Context, s *session, k call, id uint64) *session {
	if !k.fate.decide() {
		return s
	}
	if k.result != nil {
		k.frame.ID = id
		s.pending[id] = k.result
	}
	n, err := writeFrame(ctx, s.conn, k.frame)
	c.count(n, 0)
	if err != nil {
		s.close()
		return nil
	}
	return s
}

// fail tells a caller that its call was never sent.
func (k call) fail(err error) {
	if k.result != nil && k.fate.decide() {
		k.result <- result{
			err: err,
		}
	}
}

func (c *Client) dial(ctx context.Context) (s *session, err error) {
	dialCtx, cancelDial := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancelDial()
	conn, _, err := websocket.Dial(dialCtx, c.cfg.URL, &websocket.DialOptions{
		HTTPClient: c.http,
		HTTPHeader: http.Header{
			"Authorization": {"Bearer " + c.cfg.Token},
		},
	})
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(MaxFrame)
	readCtx, cancel := context.WithCancel(ctx)
	s = &session{
		conn:     conn,
		incoming: make(chan frame, c.cfg.QueueLength),
		pending:  map[uint64]chan result{},
		heard:    time.Now(),
		cancel:   cancel,
	}
	go c.read(readCtx, conn, s.incoming)
	go keepAlive(readCtx, conn)
	return s, nil
}

// keepAlive closes a connection that has gone silent.
func keepAlive(ctx context.Context, conn *websocket.Conn) {
	every := time.NewTicker(pingEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
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
