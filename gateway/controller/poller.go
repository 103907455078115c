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

// maxDigests is the size at which the table of digests is cleared.
const maxDigests = 20_000

// urgentDelay is the time until the next poll while heartbeats are pending or when
// an urgent one has arrived, so that several go along with one poll.
const urgentDelay = 50 * time.Millisecond

// A PollerConfig configures a Poller.
type PollerConfig struct {
	// LeaderClient calls the leading controller.
	LeaderClient *LeaderClient
	// State returns the gateway's published state.
	State func() admission.State
	// PollReplyReceived is called with each reply of a leader.
	PollReplyReceived func(e admission.PollReplyReceived)
	// Clock returns the present time.
	Clock func() time.Time
}

// A Poller polls the leader. A poll reports what minions and workers sent to the
// gateway; its reply brings the view, the lease and the grants. Heartbeats of
// workers go along with the next poll.
type Poller struct {
	cfg        PollerConfig
	heartbeats chan pendingHeartbeat
	pending    map[string]pendingHeartbeat
	// digests holds the digest of the last heartbeat of each worker that the
	// leader has accepted.
	digests map[string]uint64
	// compactSent holds the workers whose compact heartbeats went along with the
	// last poll, by digest.
	compactSent map[uint64]string
}

type pendingHeartbeat struct {
	heartbeat worker.Heartbeat
	compact   worker.CompactHeartbeat
	reply     chan worker.HeartbeatReply
}

// NewPoller returns a poller. It polls while Run is running.
func NewPoller(cfg PollerConfig) *Poller {
	return &Poller{
		cfg:        cfg,
		heartbeats: make(chan pendingHeartbeat, queueLength),
		pending:    map[string]pendingHeartbeat{},
		digests:    map[string]uint64{},
	}
}

// Heartbeat sends a worker's heartbeat with the next poll and waits for the reply.
// It returns the context's error if ctx ends before.
func (p *Poller) Heartbeat(ctx context.Context, hb worker.Heartbeat) (r worker.HeartbeatReply, err error) {
	h := pendingHeartbeat{
		heartbeat: hb,
		compact:   hb.CompactHeartbeat(),
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

// enqueue keeps a heartbeat for the next poll. It replies to an older heartbeat of
// the same worker without renewing the worker's lease.
func (p *Poller) enqueue(h pendingHeartbeat) {
	if older, ok := p.pending[h.heartbeat.Worker.Name]; ok {
		older.reply <- worker.HeartbeatReply{
			IntervalMS: control.HeartbeatInterval.Milliseconds(),
		}
	}
	p.pending[h.heartbeat.Worker.Name] = h
}

// acknowledge replies to a worker's heartbeat that the leader has accepted.
func (p *Poller) acknowledge(name string, r worker.HeartbeatReply) {
	h, ok := p.pending[name]
	if !ok {
		return
	}
	p.digests[name] = h.compact.Digest
	h.reply <- r
	delete(p.pending, name)
}

// isUrgent reports whether a heartbeat reports a task that has ended.
func isUrgent(hb worker.Heartbeat) bool {
	for _, t := range hb.Tasks {
		switch t.State {
		case worker.TaskDone, worker.TaskFailed, worker.TaskStopped:
			return true
		case worker.TaskPrepared, worker.TaskRunning:
		}
	}
	return false
}

func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.ViewDuration)
	defer cancel()
	err := p.cfg.LeaderClient.withLeader(ctx, wire.MethodPoll, upkeep{}, func(ctx context.Context, c *rpc.Client) (reply, error) {
		sent := p.cfg.Clock()
		r, err := rpc.Call[control.Poll, control.PollReply](ctx, c, wire.MethodPoll, p.nextPoll(sent))
		if err == nil && r.Leader {
			p.applyReply(sent, r)
		}
		return reply{
			isLeaders: r.Leader,
			redirect:  r.Redirect,
		}, err
	})
	if err != nil {
		p.cfg.LeaderClient.cfg.Logger.Warn().Err(err).EmbedObject(LogFields(err)).Msg("No leading controller answered the poll.")
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
		// The full heartbeat goes along with the next poll.
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
