package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/wire"
)

const (
	joinInterval = 250 * time.Millisecond
	joinTimeout  = 600 * time.Millisecond
	// leaderSilenceTimeout is the time without a message from a leader after which a
	// member asks to join, since it may have been removed. It is several times the
	// election timeout.
	leaderSilenceTimeout = 2 * time.Second
)

// A JoinerConfig holds the settings of a Joiner.
type JoinerConfig struct {
	// Peers holds the settings for connections to the other controllers.
	Peers Config
	// Self is this controller as a member of the group.
	Self member.Member
	// FormGroup is true if this controller forms a new group when it belongs to
	// none.
	FormGroup bool
	// Seeds returns addresses of controllers to ask, besides those that the core knows.
	Seeds func() []string
	// Post queues an event for the event loop.
	Post func(ctx context.Context, e control.Event) error
	// Core returns the controller's last published core.
	Core func() control.Core
}

// A Joiner adds this controller to the group without an operator. It asks other
// controllers periodically while this controller is no member that hears from a leader.
type Joiner struct {
	cfg JoinerConfig
}

// NewJoiner returns a Joiner; Run starts it.
func NewJoiner(cfg JoinerConfig) *Joiner {
	return &Joiner{
		cfg: cfg,
	}
}

// Run forms the group if configured to. After that, while this controller is not a
// member that hears from a leader, it asks the known controllers, until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	if j.cfg.FormGroup && j.cfg.Core().Replica().Group() == "" {
		j.cfg.Peers.Logger.Info().Str("id", j.cfg.Self.ID).Msg("Forming a new group with this controller as its only voter.")
		_ = j.cfg.Post(ctx, control.FormGroup{
			Group: util.NewID(),
			Self:  j.cfg.Self,
		})
	}
	clients := rpc.NewPool(j.cfg.Peers.clientConfig())
	defer clients.Close()
	for ctx.Err() == nil {
		util.SleepContext(ctx, joinInterval+rand.N(joinInterval))
		if !j.isMember(time.Now()) {
			j.requestJoins(ctx, clients, j.requestJoins(ctx, clients, j.addresses()))
		}
	}
}

// requestJoins asks several controllers at once to add this one: those that are gone
// must not delay the request to the leader. It returns the addresses of leaders that the
// others named.
func (j *Joiner) requestJoins(ctx context.Context, clients *rpc.Pool, addresses []string) (leaders []string) {
	redirects := make(chan string, len(addresses))
	for _, address := range addresses {
		c := clients.Get(address)
		go func() { redirects <- j.requestJoin(ctx, c) }()
	}
	for range addresses {
		if address := <-redirects; address != "" && !slices.Contains(leaders, address) {
			leaders = append(leaders, address)
		}
	}
	return leaders
}

// isMember reports whether this controller is a member and hears from a leader. Its
// own log may not tell that it was removed.
func (j *Joiner) isMember(now time.Time) bool {
	return j.cfg.Core().Replica().IsMember(now, leaderSilenceTimeout)
}

func (j *Joiner) addresses() []string {
	list := slices.Concat(j.cfg.Seeds(), j.cfg.Core().PeerAddresses())
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a string) bool {
		return a == j.cfg.Self.Address
	})
}

// requestJoin asks one controller to add this one. It returns the address of the
// leader if the request has to be repeated there, and "" otherwise.
func (j *Joiner) requestJoin(ctx context.Context, c *rpc.Client) (redirect string) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := rpc.Call[wire.Joiner, wire.LeaderReply[wire.Empty]](ctx, c, wire.MethodJoin, wire.Joiner{
		Member: j.cfg.Self,
	})
	if err != nil {
		j.cfg.Peers.Logger.Debug().Err(err).Msg("Join request to a controller failed.")
		return ""
	}
	if reply.Leader || reply.Redirect == j.cfg.Self.Address {
		return ""
	}
	return reply.Redirect
}
