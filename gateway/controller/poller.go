package controller

import (
	"context"
	"time"

	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/worker"
)

// maxDigests bounds the table of digests.
const maxDigests = 20_000

// soon is how long a poll waits for more to go with an urgent beat.
const soon = 50 * time.Millisecond

// A PollerConfig describes a Poller.
type PollerConfig struct {
	// LeaderClient calls the leading controller.
	LeaderClient *LeaderClient
	// State returns the published control state.
	State func() admission.State
	// Polled is told each answer.
	PollReplyReceived func(e admission.PollReplyReceived)
	// Clock returns the present time.
	Clock func() time.Time
}

// A Poller polls the leader: it brings what the gateway heard and fetches the
// view, the lease and the grants. Workers' beats go along with the next poll.
type Poller struct {
	cfg     PollerConfig
	beats   chan beatWait
	waiting map[string]beatWait
	// digests holds the digest of each worker's last beat that the leader took.
	digests map[string]uint64
	// touched holds the workers of the last poll's touches, by digest.
	touched map[uint64]string
}

type beatWait struct {
	beat  worker.Heartbeat
	touch worker.CompactHeartbeat
	reply chan worker.HeartbeatReply
}

// NewPoller returns a poller; Run does its work.
func NewPoller(cfg PollerConfig) *Poller {
	return &Poller{
		cfg:     cfg,
		beats:   make(chan beatWait, queueLength),
		waiting: map[string]beatWait{},
		digests: map[string]uint64{},
	}
}

// Beat sends a worker's beat with the next poll and waits for its answer. It
// returns the context's error if ctx ends before.
func (p *Poller) Heartbeat(ctx context.Context, b worker.Heartbeat) (r worker.HeartbeatReply, err error) {
	w := beatWait{
		beat:  b,
		touch: b.CompactHeartbeat(),
		reply: make(chan worker.HeartbeatReply, 1),
	}
	select {
	case p.beats <- w:
	case <-ctx.Done():
		return r, ctx.Err()
	}
	select {
	case r = <-w.reply:
		return r, nil
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-p.beats:
			p.keep(w)
			if isUrgent(w.beat) {
				timer.Reset(soon)
			}
		case <-timer.C:
			p.poll(ctx)
			next := lease.PollInterval
			if len(p.waiting) > 0 {
				next = soon
			}
			timer.Reset(next)
		}
	}
}

// keep holds a beat for the next poll. An older beat of the same worker is
// answered without any right.
func (p *Poller) keep(w beatWait) {
	if older, ok := p.waiting[w.beat.Worker.Name]; ok {
		older.reply <- worker.HeartbeatReply{
			IntervalMS: control.HeartbeatInterval.Milliseconds(),
		}
	}
	p.waiting[w.beat.Worker.Name] = w
}

// answer answers a worker's beat that the leader took.
func (p *Poller) answer(name string, r worker.HeartbeatReply) {
	w, ok := p.waiting[name]
	if !ok {
		return
	}
	p.digests[name] = w.touch.Digest
	w.reply <- r
	delete(p.waiting, name)
}

// isUrgent reports whether a beat tells of a task that has ended.
func isUrgent(b worker.Heartbeat) bool {
	for _, t := range b.Tasks {
		switch t.State {
		case worker.TaskDone, worker.TaskFailed, worker.TaskStopped:
			return true
		case worker.TaskPrepared, worker.TaskRunning:
		}
	}
	return false
}

func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.View)
	defer cancel()
	err := p.cfg.LeaderClient.withLeader(ctx, wire.MethodPoll, func(ctx context.Context, c *rpc.Client) (bool, string, error) {
		sent := p.cfg.Clock()
		reply, err := rpc.Call[control.Poll, control.PollReply](ctx, c, wire.MethodPoll, p.next(sent))
		if err == nil && reply.Leader {
			p.take(sent, reply)
		}
		return reply.Leader, reply.Redirect, err
	})
	if err != nil {
		p.cfg.LeaderClient.cfg.Logger.Warn().Err(err).Msg("No leader answers polls.")
	}
}

func (p *Poller) next(now time.Time) control.Poll {
	poll := p.cfg.State().Poll(now)
	p.touched = map[uint64]string{}
	for name, w := range p.waiting {
		if p.digests[name] == w.touch.Digest {
			poll.CompactHeartbeats = append(poll.CompactHeartbeats, w.touch)
			p.touched[w.touch.Digest] = name
			continue
		}
		poll.Heartbeats = append(poll.Heartbeats, w.beat)
	}
	return poll
}

func (p *Poller) take(sent time.Time, reply control.PollReply) {
	p.cfg.LeaderClient.SetMembers(reply.Addresses)
	if len(p.digests) > maxDigests {
		clear(p.digests)
	}
	for name, r := range reply.Heartbeats {
		p.answer(name, r)
	}
	for _, digest := range reply.ResendDigests {
		// The whole beat goes with the next poll.
		delete(p.digests, p.touched[digest])
		delete(p.touched, digest)
	}
	for _, name := range p.touched {
		p.answer(name, control.DefaultHeartbeatReply())
	}
	p.cfg.PollReplyReceived(admission.PollReplyReceived{
		SentAt: sent,
		Reply:  reply,
	})
}
