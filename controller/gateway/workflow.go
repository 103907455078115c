package gateway

import (
	"context"
	"strings"
	"time"

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
	handleQuery(s, g, wire.MethodConfiguration, configurationDocument)
	rpc.Handle(s, wire.MethodAnnounceWorker, g.announceWorker)
	rpc.Handle(s, wire.MethodJoin, g.join)
}

// resolve returns the queue that a request addresses, and a result with the
// workflow's identifier from the path. It checks the token unless the queue is
// public. The kind of the result is ResultDone unless the request is refused.
func resolve(d configuration.Document, req wire.WorkflowRequest) (configuration.Queue, wire.Result) {
	if d.IsZero() {
		return configuration.Queue{}, wire.Result{
			Kind: wire.ResultUnconfigured,
		}
	}
	q, ok := d.MatchQueue(req.Host, req.Path)
	if !ok {
		return q, wire.Result{
			Kind: wire.ResultNoQueue,
		}
	}
	res := wire.Result{
		Kind:  wire.ResultDone,
		Queue: q.Name,
		ID:    strings.TrimPrefix(req.Path, q.Prefix),
	}
	if _, known := d.OrganisationByToken(req.Token); !known && !q.Public {
		res.Kind = wire.ResultBadToken
	}
	return q, res
}

// resolveSubmission is resolve for a submission. A submission that is sent again since its
// answer was lost is not refused if it was accepted before: the caller would take the
// refusal for the answer to its only call.
func resolveSubmission(state plantainladder.State, s wire.Submission) wire.Result {
	q, res := resolve(state.Configuration(), s.WorkflowRequest)
	if res.Kind == wire.ResultDone && !q.RequiresPlacementAdvisor {
		return res
	}
	// The queue's route may not be there any more, and with it the prefix of the path.
	if id := s.Path[strings.LastIndexByte(s.Path, '/')+1:]; state.HasAccepted(id, s.Spec.Call) {
		return wire.Result{
			Kind:  wire.ResultDone,
			Queue: res.Queue,
			ID:    id,
		}
	}
	if res.Kind == wire.ResultDone {
		res.Kind = wire.ResultUnsupported
		res.Detail = "queues that require a placement advisor are not supported"
	}
	return res
}

// resolveCancellation is resolve for a cancellation.
func resolveCancellation(s plantainladder.State, req wire.WorkflowRequest) wire.Result {
	_, res := resolve(s.Configuration(), req)
	return res
}

// resolveLookup is resolve for a lookup. The result has the workflow's status, or the
// number of pending workflows of the queue if the path names no workflow.
func resolveLookup(s plantainladder.State, req wire.WorkflowRequest) wire.Result {
	_, res := resolve(s.Configuration(), req)
	switch {
	case res.Kind != wire.ResultDone:
		return res
	case res.ID == "":
		res.Pending = s.CountPendingWorkflows(res.Queue)
		return res
	}
	org, _ := s.Configuration().OrganisationByToken(req.Token)
	w, ok := s.Workflow(res.ID)
	if !ok || !w.IsAccessible(res.Queue, org.Name) {
		res.Kind = wire.ResultNoWorkflow
		return res
	}
	res.Status = w.Status()
	return res
}

// resultKinds maps the reasons of refused commands to kinds of results.
var resultKinds = map[plantainladder.Reason]wire.ResultKind{
	plantainladder.RefusedBadField:            wire.ResultBadField,
	plantainladder.RefusedTooLarge:            wire.ResultBadField,
	plantainladder.RefusedUnknownOrganisation: wire.ResultBadToken,
	plantainladder.RefusedNotOwner:            wire.ResultTaken,
	plantainladder.RefusedTableFull:           wire.ResultFull,
	plantainladder.RefusedOverLimit:           wire.ResultOverLimit,
}

// withOutcome returns a result completed by the outcome of its command.
func withOutcome(res wire.Result, o plantainladder.Outcome) wire.Result {
	res.Field, res.Detail = o.Field, o.Detail
	switch kind, ok := resultKinds[o.Reason]; {
	case o.IsAccepted():
		res.Kind = wire.ResultDone
	case o.Reason == plantainladder.RefusedNotFound && o.Field == "queue":
		res.Kind = wire.ResultNoQueue
	case o.Reason == plantainladder.RefusedNotFound && o.Field == "pool":
		res.Kind = wire.ResultNoPool
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
	case control.Busy:
		retry.BusyReason = wire.BusyReason(a.Reason)
	case control.Refused:
		return outcomeOf(a), retry, true
	case control.LeadershipConfirmed, control.PollResult:
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

// resolveOnLeader resolves the request of a command with the state of a leader that
// holds a lease. The command is decided on once more when it is committed, but a refusal
// is final, so it is given only if a majority has confirmed the state. If ok is false,
// reply is the final reply to the request.
func resolveOnLeader[Q any](ctx context.Context, g *Server, req Q, resolve func(plantainladder.State, Q) wire.Result) (res wire.Result, reply wire.LeaderReply[wire.Result], ok bool) {
	core, redirect, ok := g.leaderCore()
	if !ok {
		reply.Redirect = redirect
		return res, reply, false
	}
	if res = resolve(core.State(), req); res.Kind == wire.ResultDone {
		return res, reply, true
	}
	if core, redirect, ok = g.confirmedCore(ctx); !ok {
		reply.Redirect = redirect
		return res, reply, false
	}
	res = resolve(core.State(), req)
	return res, leaderReply(res), res.Kind == wire.ResultDone
}

func (g *Server) submit(ctx context.Context, s wire.Submission) (wire.LeaderReply[wire.Result], error) {
	res, reply, ok := resolveOnLeader(ctx, g, s, resolveSubmission)
	if !ok {
		return reply, nil
	}
	s.Spec.ID, s.Spec.Queue = res.ID, res.Queue
	return g.commitAndReply(ctx, res, plantainladder.SubmitWorkflow{
		Spec:         s.Spec,
		Token:        s.Token,
		LimitOverage: g.cfg.LimitOverage,
	}), nil
}

func (g *Server) cancel(ctx context.Context, req wire.WorkflowRequest) (wire.LeaderReply[wire.Result], error) {
	res, reply, ok := resolveOnLeader(ctx, g, req, resolveCancellation)
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

// lookup answers from a state that a majority has confirmed.
func (g *Server) lookup(ctx context.Context, req wire.WorkflowRequest) (wire.LeaderReply[wire.Result], error) {
	core, redirect, ok := g.confirmedCore(ctx)
	if !ok {
		return wire.LeaderReply[wire.Result]{
			Redirect: redirect,
		}, nil
	}
	return leaderReply(resolveLookup(core.State(), req)), nil
}

// configurationDocument returns the latest configuration document.
func configurationDocument(c control.Core, _ time.Time, _ wire.Empty) wire.Document {
	d := c.State().Configuration()
	return wire.Document{
		Version: d.Version,
		Source:  d.Source,
	}
}

// announceWorker handles a worker's announcement. An announcement with new content
// is committed before it is acknowledged, so that every later leader knows it. One that
// names no worker to use has no effect.
func (g *Server) announceWorker(ctx context.Context, r wire.WorkerAnnouncement) (reply wire.LeaderReply[wire.Result], err error) {
	core, redirect, ok := g.leaderCore()
	if !ok {
		reply.Redirect = redirect
		return reply, nil
	}
	if !core.State().AcceptsAnnouncement(r.Worker) {
		return leaderReply(wire.Result{
			Kind: wire.ResultNoPool,
		}), nil
	}
	r.Worker.Sequence = r.Sequence
	known, ok := core.State().PoolWorker(r.Worker.ID)
	if !ok || r.Worker.Supersedes(known) {
		o, retry, ok := g.commit(ctx, plantainladder.Announce{
			Worker: r.Worker,
		})
		switch {
		case !ok:
			return retry, nil
		case !o.IsAccepted():
			return leaderReply(withOutcome(wire.Result{}, o)), nil
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
