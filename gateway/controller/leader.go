// Package controller calls the controllers: it finds the leader, polls it, and
// sends it commands and queries.
package controller

import (
	"context"
	"errors"
	"fmt"
	"math"
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
	// stalledBackoff is the pause before a leader is asked again that commits nothing.
	stalledBackoff = 200 * time.Millisecond
	// minCommitTime is the least time for a call that a leader may accept, so that the
	// caller learns the outcome: a sync of a slow disk.
	minCommitTime = 300 * time.Millisecond
	queueLength   = 1024
	// maxRedirects is the number of redirects in a row that a call follows. A leader
	// that waits for its lease, and a controller that has hung, redirect to
	// themselves.
	maxRedirects = 10
)

// Reasons to retry a call, as labels of the counter of retries.
const (
	retryNoAnswer  = "no-answer"
	retryNotLeader = "not-leader"
)

// A Config configures a LeaderClient.
type Config struct {
	// Addresses lists the controllers to begin with; SetMembers adds others.
	Addresses []string
	// Token is the cluster's shared secret.
	Token string
	// Source is the local IP address to dial from; empty for any.
	Source string
	// Logger is the logger of the package.
	Logger zerolog.Logger
	// CountBytes is called with the number of bytes written and read.
	CountBytes func(written, read int)
}

// A LeaderClient calls the leading controller. It is safe for concurrent use.
type LeaderClient struct {
	cfg     Config
	lookups chan lookup
	leader  atomic.Pointer[string]
	// ring lists the controllers that are tried in turn.
	ring atomic.Pointer[[]string]
	// contact is what the calls have shown.
	contact atomic.Pointer[contact]
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
	l.contact.Store(&contact{})
	l.SetMembers(nil)
	for _, method := range []string{wire.MethodPoll, wire.MethodCommand} {
		retryCounter(method, retryNoAnswer)
		retryCounter(method, retryNotLeader)
	}
	for _, cause := range causeNames {
		failureCounter(cause)
		refusalCounter(cause)
	}
	return l
}

// Run owns the connections. It returns when ctx ends.
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

// client returns the rpc client for an address.
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

// SetMembers sets the addresses of the members of the group. The configured
// addresses stay in the ring after them, since a group that was just formed lists
// only its first member, which may be gone before the next poll.
func (l *LeaderClient) SetMembers(addresses []string) {
	var ring []string
	for _, a := range slices.Concat(addresses, l.cfg.Addresses) {
		if !slices.Contains(ring, a) {
			ring = append(ring, a)
		}
	}
	l.ring.Store(&ring)
}

// A reply is what a controller's answer tells about the leader.
type reply struct {
	// isLeaders is true if it is the answer of a leader that has accepted the request.
	isLeaders bool
	// redirect is the address of the leader, as far as it is known.
	redirect string
	// refusal is why a leader did not accept the request; nil if there is no such reason.
	refusal Cause
}

// attempt is one call to one controller.
type attempt func(ctx context.Context, c *rpc.Client) (reply, error)

// withLeader calls controllers until a leader replies, ctx ends, or the call is hopeless.
func (l *LeaderClient) withLeader(ctx context.Context, method string, p purpose, try attempt) (err error) {
	beganAt := time.Now()
	start := l.leader.Load()
	at := newSearch(*start, *l.ring.Load(), l.isAvoided)
	record := callRecord{
		cause: &NotCalledError{},
	}
	for ctx.Err() == nil {
		c, err := l.client(ctx, at.address)
		if err != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, timeoutOf(p, record.unanswered))
		startedAt := time.Now()
		answer, err := try(callCtx, c)
		cancel()
		call := finishedCall{
			address:   at.address,
			answer:    answer,
			err:       err,
			startedAt: startedAt,
			took:      time.Since(startedAt),
		}
		known := l.recordCall(call)
		if call.cause() == nil {
			l.leader.Store(&call.address)
			return nil
		}
		countRetry(method, err)
		record = record.withCall(call)
		if err != nil && call.address == *start && !errors.Is(ctx.Err(), context.Canceled) {
			l.skip(start)
		}
		now := time.Now()
		if ctx.Err() == nil && (outlook{
			purpose:   p,
			now:       now,
			held:      now.Sub(beganAt),
			left:      timeLeft(ctx, now),
			addresses: *l.ring.Load(),
			contact:   known,
			record:    record,
			latest:    call.cause(),
		}).isHopeless() {
			refusalCounter(CauseName(record.cause)).Inc()
			break
		}
		if _, isStalled := answer.refusal.(*CommitStalledError); isStalled {
			l.leader.Store(&call.address)
			if timeLeft(ctx, now) < stalledBackoff+minCommitTime {
				break
			}
			// The others name the same leader until there is another one.
			util.SleepContext(ctx, stalledBackoff)
			continue
		}
		at = at.withRedirect(answer.redirect, *l.ring.Load(), l.isAvoided)
		util.SleepContext(ctx, retryBackoff)
	}
	failureCounter(CauseName(record.cause)).Inc()
	return &NoLeaderError{
		Sent:       record.isSent,
		Cause:      record.cause,
		LastCalled: record.lastCalled,
		Calls:      record.calls,
	}
}

// recordCall adds a call to what is known, and returns that.
func (l *LeaderClient) recordCall(call finishedCall) contact {
	for {
		known := l.contact.Load()
		next := known.withCall(call, time.Now())
		if l.contact.CompareAndSwap(known, &next) {
			return next
		}
	}
}

func (l *LeaderClient) isAvoided(address string) bool {
	return l.contact.Load().isAvoided(address, time.Now())
}

// IsLeaderless reports whether most of the controllers have just been found to follow
// nobody, so that there is no leader that another process could reach.
func (l *LeaderClient) IsLeaderless(now time.Time) bool {
	return l.contact.Load().isLeaderless(*l.ring.Load(), now)
}

// timeLeft returns the time until ctx ends. A call that it cuts short may have been
// accepted.
func timeLeft(ctx context.Context, now time.Time) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline.Sub(now)
	}
	return math.MaxInt64
}

// skip makes the next call begin after a controller that has not answered, unless
// another call has found the leader meanwhile. Otherwise short calls would never
// get beyond it.
func (l *LeaderClient) skip(leader *string) {
	next := nextInRing(*l.ring.Load(), *leader)
	l.leader.CompareAndSwap(leader, &next)
}

func countRetry(method string, err error) {
	reason := retryNotLeader
	if err != nil {
		reason = retryNoAnswer
	}
	retryCounter(method, reason).Inc()
}

func retryCounter(method, reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("gateway_controller_retries_total{method=%q,reason=%q}", method, reason))
}

func failureCounter(cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("gateway_controller_failures_total{cause=%q}", cause))
}

func refusalCounter(cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("gateway_controller_refusals_total{cause=%q}", cause))
}

// wasSent reports whether a controller may have accepted the request of a call that ended
// with err. A call without an error has an answer that says so: one that it does not lead,
// or a refusal, means that it has not accepted the request. A *rpc.RemoteError, an answer
// that cannot be decoded and an *OutcomeUnknownError are of a request that it has read.
func wasSent(err error) bool {
	var noReply *rpc.NoReplyError
	return err != nil && (!errors.As(err, &noReply) || noReply.Sent)
}

// Command replicates a command and returns its outcome. It repeats the command
// until the outcome is known, so the command must be idempotent or have an
// identifier. It returns a *NoLeaderError if ctx ends before, whose cause is a
// *GroupIncompleteError or a *CommitStalledError if a leader answered that it accepts no
// commands at present.
func (l *LeaderClient) Command(ctx context.Context, id string, c plantainladder.Command) (o plantainladder.Outcome, err error) {
	body, err := wire.MarshalCommand(c)
	if err != nil {
		return o, err
	}
	if len(body) > rpc.MaxBody {
		return plantainladder.Outcome{
			Reason: plantainladder.RefusedTooLarge,
			Detail: fmt.Sprintf("the command has %d bytes, more than %d", len(body), rpc.MaxBody),
		}, nil
	}
	err = l.withLeader(ctx, wire.MethodCommand, upkeep{}, func(ctx context.Context, client *rpc.Client) (reply, error) {
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
		return reply{
			isLeaders: r.Leader && !r.Busy && !r.OutcomeUnknown,
			redirect:  r.Redirect,
			refusal:   refusalOf(r.Busy, r.BusyReason, r.GroupIncomplete),
		}, err
	})
	return o, err
}

// refusalOf returns why a leader did not accept a request; nil if it did, or if there is
// no such reason. Controllers of the previous version have no reason, but isIncomplete.
func refusalOf(isBusy bool, reason wire.BusyReason, isIncomplete bool) Cause {
	switch {
	case reason == wire.BusyCommitStalled:
		return &CommitStalledError{}
	case reason == wire.BusyGroupIncomplete || isIncomplete:
		return &GroupIncompleteError{}
	case isBusy || reason != "":
		return &BusyError{}
	}
	return nil
}

// CallController calls the controller at an address, whether it leads or not.
func CallController[Q, A any](ctx context.Context, l *LeaderClient, address, method string, q Q) (a A, err error) {
	c, err := l.client(ctx, address)
	if err != nil {
		return a, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpc.Call[Q, A](ctx, c, method, q)
}
