// Package operator serves operators' requests to form the group of controllers
// and to change its members. They reach a controller through a gateway.
package operator

import (
	"context"
	"time"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/gateway"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/wire"
)

const (
	dialTimeout   = time.Second
	changeTimeout = 5 * time.Second
)

// A Config describes a Server.
type Config struct {
	// Post queues an event for the event loop.
	Post func(ctx context.Context, e control.Event) error
	// Core returns the controller's last published core.
	Core func() control.Core
	// PendingRequests delivers the answers of the controller's core.
	PendingRequests *gateway.PendingRequests
	// ID is the identity stored on this controller's disk.
	ID string
	// Token is the cluster's shared secret.
	Token string
	// Source is the IP address to dial from; empty for any.
	Source string
}

// A Server handles requests that form the group or change its members.
type Server struct {
	cfg Config
}

// Register creates a Server and registers its methods with s.
func Register(s *rpc.Server, cfg Config) *Server {
	o := &Server{
		cfg: cfg,
	}
	rpc.Handle(s, wire.MethodIdentity, o.identity)
	rpc.Handle(s, wire.MethodFormGroup, o.formGroup)
	rpc.Handle(s, wire.MethodMember, o.member)
	return o
}

func (o *Server) identity(context.Context, wire.Empty) (wire.Identity, error) {
	return wire.Identity{
		ID:    o.cfg.ID,
		Group: o.cfg.Core().Replica().Group(),
	}, nil
}

func (o *Server) formGroup(ctx context.Context, f wire.FormGroup) (wire.LeaderReply[wire.ChangeMembersReply], error) {
	return o.commit(ctx, func(token uint64) control.Event {
		return control.FormGroup{
			Token: token,
			Group: util.NewID(),
			Self: member.Member{
				ID:      o.cfg.ID,
				Address: f.Address,
			},
		}
	}), nil
}

func (o *Server) member(ctx context.Context, m wire.ChangeMembersRequest) (reply wire.LeaderReply[wire.ChangeMembersReply], err error) {
	var c member.Change = member.Remove{
		ID: m.Remove,
	}
	if m.Add != "" {
		id, refusal := o.identify(ctx, m.Add)
		if refusal != "" {
			return leaderReply(wire.ChangeMembersReply{
				Refused: "bad-change",
				Detail:  refusal,
			}), nil
		}
		c = member.Add{
			Member: member.Member{
				ID:       id,
				Address:  m.Add,
				Replaces: m.Replaces,
			},
		}
	}
	return o.commit(ctx, func(token uint64) control.Event {
		return control.ChangeMembers{
			Token:  token,
			Change: c,
		}
	}), nil
}

// identify returns the identity of the controller at an address, or the reason
// why it cannot be added to the group.
func (o *Server) identify(ctx context.Context, address string) (id, refusal string) {
	c := rpc.NewClient(rpc.ClientConfig{
		Token:       o.cfg.Token,
		Source:      o.cfg.Source,
		DialTimeout: dialTimeout,
		QueueLength: 1,
	}.WithAddress(address))
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	peer, err := rpc.Call[wire.Empty, wire.Identity](ctx, c, wire.MethodIdentity, wire.Empty{})
	switch {
	case err != nil:
		return "", "the controller at " + address + " did not report its identity: " + err.Error()
	case peer.Group != "" && peer.Group != o.cfg.Core().Replica().Group():
		return "", "the controller at " + address + " already belongs to another group"
	}
	return peer.ID, ""
}

// commit posts an event that changes the members, waits for its answer and returns
// the reply to the gateway.
func (o *Server) commit(ctx context.Context, newEvent func(token uint64) control.Event) wire.LeaderReply[wire.ChangeMembersReply] {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	switch a := o.cfg.PendingRequests.PostAndWait(ctx, o.cfg.Post, newEvent).(type) {
	case control.Committed:
		return leaderReply(wire.ChangeMembersReply{})
	case control.Refused:
		return leaderReply(wire.ChangeMembersReply{
			Refused: a.Reason,
			Detail:  a.Detail,
		})
	case control.NotLeader:
		return wire.LeaderReply[wire.ChangeMembersReply]{
			Redirect: a.Redirect,
		}
	case control.Busy, control.OutcomeUnknown, control.PollResult, control.LeadershipConfirmed:
		return leaderReply(wire.ChangeMembersReply{
			Refused: "unknown",
			Detail:  "the outcome of the change is unknown; list the members to see whether it was made",
		})
	}
	return wire.LeaderReply[wire.ChangeMembersReply]{}
}

func leaderReply(c wire.ChangeMembersReply) wire.LeaderReply[wire.ChangeMembersReply] {
	return wire.LeaderReply[wire.ChangeMembersReply]{
		Leader: true,
		Body:   c,
	}
}
