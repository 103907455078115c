package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/gateway/caller"
	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/gateway/reply"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/wire"
)

const (
	formTimeout         = 30 * time.Second
	memberQueryInterval = 100 * time.Millisecond
)

// formMembers forms a group. The first controller forms it alone; the others are
// added as learners, which become voters once they have caught up. The call can
// be repeated until it succeeds.
func (cfg HandlerConfig) formMembers(w http.ResponseWriter, r *http.Request) {
	var body api.FormMembers
	if f := reply.Decode(w, r, maxBodyBytes, &body); f != nil {
		reply.Fail(w, *f)
		return
	}
	if len(body.Addresses) == 0 {
		reply.Fail(w, *reply.BadField("addresses", "must name at least one controller"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), formTimeout)
	defer cancel()
	if f := cfg.formGroup(ctx, body.Addresses); f != nil {
		reply.Fail(w, *f)
		return
	}
	answerQuery[wire.Empty, api.Members](cfg, w, r, wire.MethodMembers, wire.Empty{})
}

func (cfg HandlerConfig) formGroup(ctx context.Context, addresses []string) *reply.Failure {
	first := addresses[0]
	identity, err := controller.CallController[wire.Empty, wire.Identity](ctx, cfg.LeaderClient, first, wire.MethodIdentity, wire.Empty{})
	if err != nil {
		return failure("controller-unreachable", first+": "+err.Error())
	}
	if identity.Group == "" {
		_, err = controller.CallController[wire.FormGroup, wire.LeaderReply[wire.ChangeMembersReply]](ctx, cfg.LeaderClient, first, wire.MethodFormGroup, wire.FormGroup{
			Address: first,
		})
		if err != nil {
			return failure("controller-unreachable", first+": "+err.Error())
		}
	}
	for _, address := range addresses[1:] {
		if f := cfg.join(ctx, address); f != nil {
			return f
		}
	}
	return nil
}

// join adds a controller to the group and waits until it is a voter.
func (cfg HandlerConfig) join(ctx context.Context, address string) *reply.Failure {
	for ctx.Err() == nil {
		members, err := controller.Query[wire.Empty, api.Members](ctx, cfg.LeaderClient, wire.MethodMembers, wire.Empty{})
		if err != nil {
			return failure("no-leader", err.Error())
		}
		known, voter := findMember(members, address)
		if voter {
			return nil
		}
		if !known {
			change, err := cfg.change(ctx, wire.ChangeMembersRequest{
				Add: address,
			})
			if err != nil {
				return failure("no-leader", err.Error())
			}
			if change.Refused == "bad-change" {
				return failure(change.Refused, change.Detail)
			}
		}
		util.SleepContext(ctx, memberQueryInterval)
	}
	return failure("timeout", "the controller at "+address+" has not caught up; try again")
}

func findMember(m api.Members, address string) (known, voter bool) {
	for _, k := range m.Members {
		if k.Address == address {
			return true, k.Voter
		}
	}
	return false, false
}

// change asks the leader to change the members of the group.
func (cfg HandlerConfig) change(ctx context.Context, m wire.ChangeMembersRequest) (wire.ChangeMembersReply, error) {
	return controller.Query[wire.ChangeMembersRequest, wire.ChangeMembersReply](ctx, cfg.LeaderClient, wire.MethodMember, m)
}

func (cfg HandlerConfig) addMember(w http.ResponseWriter, r *http.Request) {
	var body api.AddMember
	if f := reply.Decode(w, r, maxBodyBytes, &body); f != nil {
		reply.Fail(w, *f)
		return
	}
	cfg.serveMemberChange(w, r, wire.ChangeMembersRequest{
		Add:      body.Address,
		Replaces: body.Replaces,
	})
}

func (cfg HandlerConfig) removeMember(w http.ResponseWriter, r *http.Request) {
	cfg.serveMemberChange(w, r, wire.ChangeMembersRequest{
		Remove: r.PathValue("id"),
	})
}

func (cfg HandlerConfig) serveMemberChange(w http.ResponseWriter, r *http.Request, m wire.ChangeMembersRequest) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	change, err := cfg.change(ctx, m)
	switch {
	case err != nil:
		reply.Fail(w, caller.CommandFailure(err))
	case change.Refused != "":
		f := failure(change.Refused, change.Detail)
		f.Status = http.StatusConflict
		reply.Fail(w, *f)
	default:
		answerQuery[wire.Empty, api.Members](cfg, w, r, wire.MethodMembers, wire.Empty{})
	}
}

func failure(reason, detail string) *reply.Failure {
	return &reply.Failure{
		Status: http.StatusServiceUnavailable,
		Body: api.Error{
			Outcome: api.OutcomeUnknown,
			Reason:  reason,
			Detail:  detail,
		},
	}
}
