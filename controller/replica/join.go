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
)

// A JoinerConfig describes a Joiner.
type JoinerConfig struct {
	// Peers says how to reach the other controllers.
	Peers Config
	// Self is this controller.
	Self member.Member
	// FormGroup is true for the controller that forms the group, if it has none.
	FormGroup bool
	// Seeds returns addresses of controllers.
	Seeds func() []string
	// Post queues an event of the control state.
	Post func(ctx context.Context, e control.Event) error
	// Core returns the published control state.
	Core func() control.Core
}

// A Joiner brings a controller into its group without an operator: it asks
// until it is a member and hears from a leader.
type Joiner struct {
	cfg JoinerConfig
}

// NewJoiner returns a joiner; Run does its work.
func NewJoiner(cfg JoinerConfig) *Joiner {
	return &Joiner{
		cfg: cfg,
	}
}

// Run asks until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	if j.cfg.FormGroup && j.cfg.Core().Replica().Group() == "" {
		j.cfg.Peers.Logger.Info().Str("id", j.cfg.Self.ID).Msg("Group is formed.")
		_ = j.cfg.Post(ctx, control.FormGroup{
			Group: util.NewID(),
			Self:  j.cfg.Self,
		})
	}
	clients := rpc.NewPool(j.cfg.Peers.clientConfig())
	defer clients.Close()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		util.Wait(ctx, joinInterval+rand.N(joinInterval))
		addresses := j.addresses()
		if j.isMember() || len(addresses) == 0 {
			continue
		}
		address := addresses[attempt%len(addresses)]
		for range 2 {
			if address = j.requestJoin(ctx, clients.Get(address)); address == "" {
				break
			}
		}
	}
}

// isMember reports whether this controller is a member and hears from a leader.
func (j *Joiner) isMember() bool {
	r := j.cfg.Core().Replica()
	_, ok := r.Members().Get(j.cfg.Self.ID)
	return ok && r.Leader() != ""
}

func (j *Joiner) addresses() []string {
	list := slices.Clone(j.cfg.Seeds())
	for _, m := range j.cfg.Core().Replica().Members().Members {
		list = append(list, m.Address)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a string) bool {
		return a == j.cfg.Self.Address
	})
}

// ask asks one controller and returns where else to ask, empty for nowhere.
func (j *Joiner) requestJoin(ctx context.Context, c *rpc.Client) (redirect string) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := rpc.Call[wire.Joiner, wire.LeaderReply[wire.Empty]](ctx, c, wire.MethodJoin, wire.Joiner{
		Member: j.cfg.Self,
	})
	if err != nil {
		j.cfg.Peers.Logger.Debug().Err(err).Msg("Controller did not answer.")
		return ""
	}
	if reply.Leader || reply.Redirect == j.cfg.Self.Address {
		return ""
	}
	return reply.Redirect
}
