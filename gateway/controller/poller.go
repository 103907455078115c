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
const urgentDelay = 50 * time.Millisecond

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
	cfg        PollerConfig
	heartbeats chan pendingHeartbeat
	pending    map[string]pendingHeartbeat
	// digests holds the digest of each worker's last beat that the leader took.
	digests map[string]uint64
	// touched holds the workers of the last poll's touches, by digest.
	compactSent map[uint64]string
}

type pendingHeartbeat struct {
	heartbeat worker.Heartbeat
	compact   worker.CompactHeartbeat
	reply     chan worker.HeartbeatReply
}

// NewPoller returns a poller; Run does its work.
func NewPoller(cfg PollerConfig) *Poller {
	return &Poller{
		cfg:        cfg,
		heartbeats: make(chan pendingHeartbeat, queueLength),
		pending:    map[string]pendingHeartbeat{},
		digests:    map[string]uint64{},
	}
}

// Beat sends a worker's beat with the next poll and waits for its answer. It
// returns the context's error if ctx ends before.
func (p *Poller) Heartbeat(ctx context.Context, b worker.Heartbeat) (r worker.HeartbeatReply, err error) {
	h := pendingHeartbeat{
		heartbeat: b,
		compact:   b.CompactHeartbeat(),
		reply:     make(chan worker.HeartbeatReply, 1),
	}
	select {
	case p.heartbeats <- h:
	case <-ctx.Done():
		return r, ctx.Err()
	}
	select {
	case r = <-h.reply:
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
		case h := <-p.heartbeats:
			p.enqueue(h)
			if isUrgent(h.heartbeat) {
				timer.Reset(urgentDelay)
			}
		case <-timer.C:
			p.poll(ctx)
			delay := lease.PollInterval
			if len(p.pending) > 0 {
				delay = urgentDelay
			}
			timer.Reset(delay)
		}
	}
}

// keep holds a beat for the next poll. An older beat of the same worker is
// answered without any right.
func (p *Poller) enqueue(h pendingHeartbeat) {
	if older, ok := p.pending[h.heartbeat.Worker.Name]; ok {
		older.reply <- worker.HeartbeatReply{
			IntervalMS: control.HeartbeatInterval.Milliseconds(),
		}
	}
	p.pending[h.heartbeat.Worker.Name] = h
}

// answer answers a worker's beat that the leader took.
func (p *Poller) acknowledge(name string, r worker.HeartbeatReply) {
	h, ok := p.pending[name]
	if !ok {
		return
	}
	p.digests[name] = h.compact.Digest
	h.reply <- r
	delete(p.pending, name)
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
		reply, err := rpc.Call[control.Poll, control.PollReply](ctx, c, wire.MethodPoll, p.nextPoll(sent))
		if err == nil && reply.Leader {
			p.applyReply(sent, reply)
		}
		return reply.Leader, reply.Redirect, err
	})
	if err != nil {
		p.cfg.LeaderClient.cfg.Logger.Warn().Err(err).Msg("No leader answers polls.")
	}
}

func (p *Poller) nextPoll(now time.Time) control.Poll {
	poll := p.cfg.State().Poll(now)
	p.compactSent = map[uint64]string{}
	for name, h := range p.pending {
		if p.digests[name] == h.compact.Digest {
			poll.CompactHeartbeats = append(poll.CompactHeartbeats, h.compact)
			p.compactSent[h.compact.Digest] = name
			continue
		}
		poll.Heartbeats = append(poll.Heartbeats, h.heartbeat)
	}
	return poll
}

func (p *Poller) applyReply(sent time.Time, reply control.PollReply) {
	p.cfg.LeaderClient.SetMembers(reply.Addresses)
	if len(p.digests) > maxDigests {
		clear(p.digests)
	}
	for name, r := range reply.Heartbeats {
		p.acknowledge(name, r)
	}
	for _, digest := range reply.ResendDigests {
		// The whole beat goes with the next poll.
		delete(p.digests, p.compactSent[digest])
		delete(p.compactSent, digest)
	}
	for _, name := range p.compactSent {
		p.acknowledge(name, control.DefaultHeartbeatReply())
	}
	p.cfg.PollReplyReceived(admission.PollReplyReceived{
		SentAt: sent,
		Reply:  reply,
	})
}
