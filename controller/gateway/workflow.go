package gateway

import (
	"context"
	"strings"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

func (g *Server) registerWorkflows(s *rpc.Server) {
	rpc.Handle(s, wire.MethodSubmit, g.submit)
	rpc.Handle(s, wire.MethodCancel, g.cancel)
	rpc.Handle(s, wire.MethodLookup, g.lookup)
	rpc.Handle(s, wire.MethodConfiguration, g.configuration)
	rpc.Handle(s, wire.MethodAnnounceWorker, g.announceWorker)
	rpc.Handle(s, wire.MethodJoin, g.join)
}

// resolve returns the queue that a request addresses, and a result with the
// workflow's identifier from the path. It checks the token unless the queue is
// public. ok is false if the request is refused; the result is then complete.
func resolve(d configuration.Document, req wire.WorkflowRequest) (configuration.Queue, wire.Result, bool) {
	if d.IsZero() {
		return configuration.Queue{}, wire.Result{
			Kind: wire.ResultUnconfigured,
		}, false
	}
	q, ok := d.MatchQueue(req.Host, req.Path)
	if !ok {
		return q, wire.Result{
			Kind: wire.ResultNoQueue,
		}, false
	}
	res := wire.Result{
		Kind:  wire.ResultDone,
		Queue: q.Name,
		ID:    strings.TrimPrefix(req.Path, q.Prefix),
	}
	if _, known := d.OrganisationByToken(req.Token); !known && !q.Public {
		res.Kind = wire.ResultBadToken
		return q, res, false
	}
	return q, res, true
}

// resultKinds maps the reasons of refused commands to kinds of results.
var resultKinds = map[plantainladder.Reason]wire.ResultKind{
	plantainladder.RefusedBadField:            wire.ResultBadField,
	plantainladder.RefusedUnknownOrganisation: wire.ResultBadToken,
	plantainladder.RefusedNotOwner:            wire.ResultTaken,
	plantainladder.RefusedTableFull:           wire.ResultFull,
}

// withOutcome returns a result completed by the outcome of its command.
func withOutcome(res wire.Result, o plantainladder.Outcome) wire.Result {
	res.Field, res.Detail = o.Field, o.Detail
	switch kind, ok := resultKinds[o.Reason]; {
	case o.IsAccepted():
		res.Kind = wire.ResultDone
	case o.Reason == plantainladder.RefusedNotFound && o.Field == "queue":
		res.Kind = wire.ResultNoQueue
	case o.Reason == plantainladder.RefusedNotFound:
		res.Kind = wire.ResultNoWorkflow
	case ok:
		res.Kind = kind
	default:
		res.Kind = wire.ResultFull
	}
	return res
}

// commit replicates a command and returns its outcome. If ok is false, retry is the
// reply that makes the gateway send the request again; every command submitted
// here is idempotent.
func (g *Server) commit(ctx context.Context, c plantainladder.Command) (o plantainladder.Outcome, retry wire.LeaderReply[wire.Result], ok bool) {
	a := g.postAndWait(ctx, func(token uint64) control.Event {
		return control.Submit{
			Token:   token,
			Command: c,
		}
	})
	switch a := a.(type) {
	case control.Committed:
		return a.Outcome, retry, true
	case control.NotLeader:
		retry.Redirect = a.Redirect
	case control.OutcomeUnknown:
		retry.OutcomeUnknown = true
	case control.Busy, control.Refused, control.PollResult:
	}
	return o, retry, false
}

func leaderReply(res wire.Result) wire.LeaderReply[wire.Result] {
	return wire.LeaderReply[wire.Result]{
		Leader: true,
		Body:   res,
	}
}

// leaderCore returns the published core if this controller is the leader and
// holds a lease. Otherwise ok is false and redirect is the leader's address.
func (g *Server) leaderCore() (core control.Core, redirect string, ok bool) {
	core = g.cfg.Core()
	return core, core.LeaderAddress(), core.HasLease(g.cfg.Clock())
}

// resolveOnLeader resolves a request with the configuration of a leader that holds
// a lease. If ok is false, reply is the final reply to the request.
func (g *Server) resolveOnLeader(req wire.WorkflowRequest) (state plantainladder.State, q configuration.Queue, res wire.Result, reply wire.LeaderReply[wire.Result], ok bool) {
	core, redirect, ok := g.leaderCore()
	if !ok {
		reply.Redirect = redirect
		return state, q, res, reply, false
	}
	state = core.State()
	if q, res, ok = resolve(state.Configuration(), req); !ok {
		return state, q, res, leaderReply(res), false
	}
	return state, q, res, reply, true
}

func (g *Server) submit(ctx context.Context, s wire.Submission) (wire.LeaderReply[wire.Result], error) {
	_, q, res, reply, ok := g.resolveOnLeader(s.WorkflowRequest)
	switch {
	case !ok:
		return reply, nil
	case q.RequiresPlacementAdvisor:
		res.Kind = wire.ResultUnsupported
		res.Detail = "queues that require a placement advisor are not supported"
		return leaderReply(res), nil
	}
	s.Spec.ID, s.Spec.Queue = res.ID, res.Queue
	return g.commitAndReply(ctx, res, plantainladder.SubmitWorkflow{
		Spec:  s.Spec,
		Token: s.Token,
	}), nil
}

func (g *Server) cancel(ctx context.Context, req wire.WorkflowRequest) (wire.LeaderReply[wire.Result], error) {
	_, _, res, reply, ok := g.resolveOnLeader(req)
	if !ok {
		return reply, nil
	}
	return g.commitAndReply(ctx, res, plantainladder.CancelWorkflow{
		ID:    res.ID,
		Queue: res.Queue,
		Token: req.Token,
	}), nil
}

// commitAndReply commits a command and returns its outcome as the reply.
func (g *Server) commitAndReply(ctx context.Context, res wire.Result, c plantainladder.Command) wire.LeaderReply[wire.Result] {
	o, retry, ok := g.commit(ctx, c)
	if !ok {
		return retry
	}
	return leaderReply(withOutcome(res, o))
}

// lookup returns the status of a workflow, or the number of pending workflows of
// the queue if the path names no workflow.
func (g *Server) lookup(_ context.Context, req wire.WorkflowRequest) (wire.LeaderReply[wire.Result], error) {
	state, _, res, reply, ok := g.resolveOnLeader(req)
	switch {
	case !ok:
		return reply, nil
	case res.ID == "":
		res.Pending = state.CountPendingWorkflows(res.Queue)
		return leaderReply(res), nil
	}
	org, _ := state.Configuration().OrganisationByToken(req.Token)
	w, ok := state.Workflow(res.ID)
	if !ok || w.Spec.Organisation != org.Name {
		res.Kind = wire.ResultNoWorkflow
		return leaderReply(res), nil
	}
	res.Status = w.Status()
	return leaderReply(res), nil
}

// configuration returns the latest configuration document. It commits an entry
// first, because a leader that was paused and replaced would otherwise return an
// old document.
func (g *Server) configuration(ctx context.Context, _ wire.Empty) (reply wire.LeaderReply[wire.Document], err error) {
	_, retry, ok := g.commit(ctx, plantainladder.Confirm{})
	if !ok {
		reply.Redirect = retry.Redirect
		return reply, nil
	}
	d := g.cfg.Core().State().Configuration()
	return wire.LeaderReply[wire.Document]{
		Leader: true,
		Body: wire.Document{
			Version: d.Version,
			Source:  d.Source,
		},
	}, nil
}

// announceWorker handles a worker's announcement. An announcement with new content
// is committed before it is acknowledged, so that every later leader knows it.
func (g *Server) announceWorker(ctx context.Context, r wire.WorkerAnnouncement) (reply wire.LeaderReply[wire.Result], err error) {
	core, redirect, ok := g.leaderCore()
	if !ok {
		reply.Redirect = redirect
		return reply, nil
	}
	r.Worker.Sequence = r.Sequence
	known, ok := core.State().PoolWorker(r.Worker.ID)
	if !ok || r.Worker.Supersedes(known) {
		if _, retry, ok := g.commit(ctx, plantainladder.Announce{
			Worker: r.Worker,
		}); !ok {
			return retry, nil
		}
	}
	err = g.cfg.Post(ctx, control.ObservationReceived{
		Observation: dispatch.WorkerAnnounced{
			Worker:   r.Worker,
			Sequence: r.Sequence,
			ClockMS:  r.ClockMS,
		},
	})
	return leaderReply(wire.Result{
		Kind: wire.ResultDone,
	}), err
}

// join requests that the leader add a controller to the group. It does not wait
// for the change: the controller hears from the leader, or repeats its request.
func (g *Server) join(ctx context.Context, j wire.Joiner) (reply wire.LeaderReply[wire.Empty], err error) {
	core, redirect, ok := g.leaderCore()
	if !ok {
		reply.Redirect = redirect
		return reply, nil
	}
	reply.Leader = true
	if _, known := core.Replica().Members().Get(j.Member.ID); known {
		return reply, nil
	}
	return reply, g.cfg.Post(ctx, control.Join{
		Member: j.Member,
	})
}
