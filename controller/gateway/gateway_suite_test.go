package gateway_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/gateway"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/wire"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

const electionTimeout = 500 * time.Millisecond

// A host is one controller with its own clock, whose writes are durable at once.
type host struct {
	id      string
	core    control.Core
	now     time.Time
	pending *gateway.PendingRequests
	// isSuspended is true while the host's clock stands still. What is sent to it
	// waits in inbox.
	isSuspended bool
	inbox       []control.Event
}

// A group is a set of hosts and the messages between them, which arrive at once.
type group struct {
	mu       sync.Mutex
	hosts    []*host
	inFlight []control.SendMessage
	// sent counts the messages between the hosts, syncs the writes of log entries.
	sent  int
	syncs int
	// confirmations counts the requests to confirm a leadership that servers have posted.
	confirmations int
	// refusal is the answer to each command; nil if commands are not refused.
	refusal control.Answer
	// isDiskFull is true while no host's disk takes entries.
	isDiskFull bool
	// isHeld is true while messages between the hosts stay on their way.
	isHeld bool
}

// maxCommandBytes is the size of the largest command of a group.
const maxCommandBytes = 1 << 20

// newGroup returns a group of three voters.
func newGroup() *group {
	g := &group{}
	for _, id := range []string{"c1", "c2", "c3"} {
		now := time.Unix(1_700_000_000, 0)
		g.hosts = append(g.hosts, &host{
			id:      id,
			now:     now,
			pending: gateway.NewPendingRequests(),
			core: control.NewCore(control.Config{
				Codec: control.Codec{
					Encode: wire.MarshalEnvelope,
					Decode: wire.UnmarshalEnvelope,
				},
				SnapshotEvery: 1000,
				Policy:        schedule.Guaranteed{},
				Voters:        3,
			}, consensus.NewReplica(now, consensus.Config{
				ID:              id,
				ElectionTimeout: electionTimeout,
				Heartbeat:       100 * time.Millisecond,
				MaxBatchEntries: 100,
				MaxBatchBytes:   1 << 20,
				MaxUncommitted:  1000,
				MaxCommandBytes: maxCommandBytes,
				MaxApplyEntries: 64,
				MaxApplyBytes:   1 << 16,
			}, consensus.StoredState{}), plantainladder.NewState()),
		})
	}
	first := g.hosts[0]
	g.step(first, control.FormGroup{
		Group: "g",
		Self: member.Member{
			ID:      first.id,
			Address: first.id,
		},
	})
	for _, h := range g.hosts[1:] {
		g.step(first, control.Join{
			Member: member.Member{
				ID:      h.id,
				Address: h.id,
			},
		})
		g.run(time.Second)
	}
	Expect(first.core.Replica().Members().Voters()).To(Equal(3))
	return g
}

// step applies an event to a host and delivers the messages that follow from it.
func (g *group) step(h *host, e control.Event) {
	g.stepOne(h, e)
	g.deliver()
}

func (g *group) deliver() {
	for len(g.inFlight) > 0 && !g.isHeld {
		m := g.inFlight[0]
		g.inFlight = g.inFlight[1:]
		for _, to := range g.hosts {
			if to.id == m.Address {
				g.stepOne(to, control.PeerMessageReceived{
					Message:       m.Message,
					SenderAddress: m.SenderAddress,
				})
			}
		}
	}
}

func (g *group) stepOne(h *host, e control.Event) {
	if h.isSuspended {
		h.inbox = append(h.inbox, e)
		return
	}
	var out []control.Effect
	h.core, out = h.core.Step(h.now, e)
	for _, f := range out {
		switch f := f.(type) {
		case control.WriteLog:
			g.stepOne(h, control.HardStateSynced{
				Hard: f.Persist.Hard,
			})
			if n := len(f.Persist.Entries); n > 0 && !g.isDiskFull {
				g.syncs++
				g.stepOne(h, control.EntriesSynced{
					Index: f.Persist.Entries[n-1].Index,
					Term:  f.Persist.Entries[n-1].Term,
				})
			}
		case control.SendMessage:
			if f.AfterSync && g.isDiskFull {
				continue
			}
			g.sent++
			g.inFlight = append(g.inFlight, f)
		case control.ContinueApplying:
			g.stepOne(h, control.ApplyDue{})
		case control.StartRoundTimer:
			h.now = h.now.Add(f.Delay)
			g.stepOne(h, control.RoundDue{})
		case control.Reply:
			h.pending.Answer(f.Token, f.Answer)
		}
	}
}

// run lets time pass for all hosts that are not suspended.
func (g *group) run(d time.Duration) {
	for range d / (20 * time.Millisecond) {
		for i, h := range g.hosts {
			if h.isSuspended {
				continue
			}
			h.now = h.now.Add(20 * time.Millisecond)
			g.step(h, control.Tick{
				Jitter: time.Duration(i) * 100 * time.Millisecond,
			})
		}
	}
}

// leader returns the host that leads in the latest term.
func (g *group) leader() (leader *host) {
	for _, h := range g.hosts {
		isLater := leader == nil || h.core.Replica().Hard().Term > leader.core.Replica().Hard().Term
		if h.core.Replica().IsEstablishedLeader() && isLater {
			leader = h
		}
	}
	return leader
}

// submit commits a command on the leader.
func (g *group) submit(c plantainladder.Command) {
	l := g.leader()
	a := l.pending.PostAndWait(context.Background(), func(_ context.Context, e control.Event) error {
		g.step(l, e)
		return nil
	}, func(token uint64) control.Event {
		return control.Submit{
			Token:   token,
			Command: c,
		}
	})
	Expect(a).To(HaveField("Outcome.Reason", BeEmpty()))
}

// suspend makes a host's clock stand still while the others elect a leader and go on.
func (g *group) suspend(h *host) {
	h.isSuspended = true
	g.run(3 * time.Second)
	Expect(g.leader()).NotTo(Equal(h))
}

// wake ends a suspension. The host has not read yet what was sent to it meanwhile.
func (g *group) wake(h *host) {
	h.isSuspended = false
	Expect(h.core.HasLease(h.now)).To(BeTrue(), "the clock stood still")
}

// serve returns a client of a host's server.
func (g *group) serve(h *host) *rpc.Client {
	s := rpc.NewServer(rpc.ServerConfig{
		Token:    "secret",
		MaxCalls: 256,
	})
	gateway.Register(s, gateway.Config{
		Post: func(_ context.Context, e control.Event) error {
			g.mu.Lock()
			defer g.mu.Unlock()
			if _, ok := e.(control.ConfirmLeadership); ok {
				g.confirmations++
			}
			if s, ok := e.(control.Submit); ok && g.refusal != nil {
				h.pending.Answer(s.Token, g.refusal)
				return nil
			}
			g.step(h, e)
			return nil
		},
		Core: func() control.Core {
			g.mu.Lock()
			defer g.mu.Unlock()
			return h.core
		},
		Clock: func() time.Time {
			g.mu.Lock()
			defer g.mu.Unlock()
			return h.now
		},
		PendingRequests: h.pending,
	})
	server := httptest.NewServer(s)
	DeferCleanup(server.Close)
	c := rpc.NewClient(rpc.ClientConfig{
		URL:         "ws" + strings.TrimPrefix(server.URL, "http"),
		Token:       "secret",
		DialTimeout: time.Second,
		QueueLength: 512,
	})
	DeferCleanup(c.Close)
	return c
}
