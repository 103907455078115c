// Package controller speaks to the controllers: it finds the leader, polls it,
// sends commands and asks questions.
package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/wire"
)

const (
	dialTimeout  = 300 * time.Millisecond
	callTimeout  = 900 * time.Millisecond
	retryBackoff = 30 * time.Millisecond
	queueLength  = 1024
)

// Reasons to call another controller.
const (
	retryNoAnswer  = "no-answer"
	retryNotLeader = "not-leader"
)

// A Config configures a LeaderClient.
type Config struct {
	// Addresses lists controllers; a reply may bring more.
	Addresses []string
	// Token is the cluster's shared secret.
	Token string
	// Source is the IP number to dial from; empty for any.
	Source string
	// Logger takes the part's log lines.
	Logger zerolog.Logger
	// CountBytes is told the bytes written and read.
	CountBytes func(written, read int)
}

// A LeaderClient calls the leading controller.
type LeaderClient struct {
	cfg     Config
	lookups chan lookup
	leader  atomic.Pointer[string]
	// ring lists the controllers to try, one after another.
	ring atomic.Pointer[[]string]
}

type lookup struct {
	address string
	client  chan *rpc.Client
}

// NewLeaderClient returns a client; Run must be running for it to make calls.
func NewLeaderClient(cfg Config) *LeaderClient {
	l := &LeaderClient{
		cfg:     cfg,
		lookups: make(chan lookup),
	}
	l.leader.Store(&cfg.Addresses[0])
	l.SetMembers(nil)
	for _, method := range []string{wire.MethodPoll, wire.MethodCommand} {
		retryCounter(method, retryNoAnswer)
		retryCounter(method, retryNotLeader)
	}
	return l
}

// Run owns the connections until ctx ends.
func (l *LeaderClient) Run(ctx context.Context) {
	clients := rpc.NewPool(rpc.ClientConfig{
		Token:       l.cfg.Token,
		Source:      l.cfg.Source,
		DialTimeout: dialTimeout,
		QueueLength: queueLength,
		CountBytes:  l.cfg.CountBytes,
	})
	defer clients.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-l.lookups:
			q.client <- clients.Get(q.address)
		}
	}
}

// following returns the address behind the given one, in a ring.
func nextInRing(addresses []string, address string) string {
	for i, a := range addresses {
		if a == address {
			return addresses[(i+1)%len(addresses)]
		}
	}
	return addresses[0]
}

// client returns the connection to an address.
func (l *LeaderClient) client(ctx context.Context, address string) (*rpc.Client, error) {
	q := lookup{
		address: address,
		client:  make(chan *rpc.Client, 1),
	}
	select {
	case l.lookups <- q:
		return <-q.client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetMembers tells the link the addresses of all controllers. The configured
// ones stay in the ring behind them: a group that was just formed names only
// its first member, which may be gone before the next poll.
func (l *LeaderClient) SetMembers(addresses []string) {
	var ring []string
	for _, a := range slices.Concat(addresses, l.cfg.Addresses) {
		if !slices.Contains(ring, a) {
			ring = append(ring, a)
		}
	}
	l.ring.Store(&ring)
}

// A NoLeaderError reports that no leader answered in time.
type NoLeaderError struct {
	// Sent is true if some controller may have taken the command.
	Sent bool
	// Cause is what was seen last.
	Cause error
}

// Error returns what was seen last.
func (e *NoLeaderError) Error() string {
	return "no leading controller answered: " + e.Cause.Error()
}

// Unwrap returns what was seen last.
func (e *NoLeaderError) Unwrap() error {
	return e.Cause
}

// An OutcomeUnknownError reports a request that a controller accepted and of
// which it does not know whether it was committed.
type OutcomeUnknownError struct {
	// Method is the method that was called.
	Method string
}

// Error returns the method.
func (e *OutcomeUnknownError) Error() string {
	return e.Method + ": the controller lost the command's fate"
}

// attempt is one call to one controller. It returns whether that was the
// leader, and where else to look if it was not.
type attempt func(ctx context.Context, c *rpc.Client) (leader bool, redirect string, err error)

var errNoAttempt = errors.New("no controller was called in time")

// withLeader calls controllers until a leader answers or ctx ends.
func (l *LeaderClient) withLeader(ctx context.Context, method string, try attempt) (err error) {
	sent := false
	address := *l.leader.Load()
	ringPosition := address
	last := errNoAttempt
	for ctx.Err() == nil {
		c, err := l.client(ctx, address)
		if err != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		leader, redirect, err := try(callCtx, c)
		cancel()
		if err == nil && leader {
			l.leader.Store(&address)
			return nil
		}
		last = l.recordRetry(method, err, last)
		sent = sent || wasSent(err)
		address = redirect
		if address == "" {
			// Each caller walks the ring by itself, since callers that shared
			// a position could skip the same controller over and over.
			ringPosition = nextInRing(*l.ring.Load(), ringPosition)
			address = ringPosition
		}
		util.Sleep(ctx, retryBackoff)
	}
	return &NoLeaderError{
		Sent:  sent,
		Cause: last,
	}
}

func (l *LeaderClient) recordRetry(method string, err, last error) error {
	reason := retryNotLeader
	if err != nil {
		reason = retryNoAnswer
		last = err
	}
	retryCounter(method, reason).Inc()
	return last
}

func retryCounter(method, reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("gateway_controller_retries_total{method=%q,reason=%q}", method, reason))
}

func wasSent(err error) bool {
	var unreachable *rpc.UnreachableError
	return err != nil && (!errors.As(err, &unreachable) || unreachable.Sent)
}

// Command replicates a command and returns its outcome. It repeats the command
// until it knows the outcome, so the command must be idempotent or carry an
// identifier. It returns a *NoLeaderError if ctx ends before.
func (l *LeaderClient) Command(ctx context.Context, id string, c plantainladder.Command) (o plantainladder.Outcome, err error) {
	body, err := wire.MarshalCommand(c)
	if err != nil {
		return o, err
	}
	err = l.withLeader(ctx, wire.MethodCommand, func(ctx context.Context, client *rpc.Client) (bool, string, error) {
		r, err := rpc.Call[wire.Command, wire.CommandReply](ctx, client, wire.MethodCommand, wire.Command{
			ID:   id,
			Body: body,
		})
		o = r.Outcome
		if err == nil && r.OutcomeUnknown {
			err = &OutcomeUnknownError{
				Method: wire.MethodCommand,
			}
		}
		return r.Leader && !r.Busy && !r.OutcomeUnknown, r.Redirect, err
	})
	return o, err
}

// Query asks the leader a question. It returns a *NoLeaderError if ctx ends
// before there is an answer.
func Query[Q, A any](ctx context.Context, l *LeaderClient, method string, q Q) (a A, err error) {
	err = l.withLeader(ctx, method, func(ctx context.Context, client *rpc.Client) (bool, string, error) {
		r, err := rpc.Call[Q, wire.LeaderReply[A]](ctx, client, method, q)
		a = r.Body
		if err == nil && r.OutcomeUnknown {
			err = &OutcomeUnknownError{
				Method: method,
			}
		}
		return r.Leader && !r.OutcomeUnknown, r.Redirect, err
	})
	return a, err
}

// CallController asks one controller, whether it leads or not.
func CallController[Q, A any](ctx context.Context, l *LeaderClient, address, method string, q Q) (a A, err error) {
	c, err := l.client(ctx, address)
	if err != nil {
		return a, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpc.Call[Q, A](ctx, c, method, q)
}
