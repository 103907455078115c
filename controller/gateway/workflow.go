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
	rpc.Handle(s, wire.MethodLookup, g.look)
	rpc.Handle(s, wire.MethodConfiguration, g.configuration)
	rpc.Handle(s, wire.MethodAnnounceWorker, g.report)
	rpc.Handle(s, wire.MethodJoin, g.join)
}

// route finds the queue of a call and the identifier in its path. The second
// result is false if the verdict is final.
func route(d configuration.Document, c wire.WorkflowRequest) (configuration.Queue, wire.Result, bool) {
	if d.IsZero() {
		return configuration.Queue{}, wire.Result{
			Kind: wire.ResultUnconfigured,
		}, false
	}
	q, ok := d.MatchQueue(c.Host, c.Path)
	if !ok {
		return q, wire.Result{
			Kind: wire.ResultNoQueue,
		}, false
	}
	v := wire.Result{
		Kind:  wire.ResultDone,
		Queue: q.Name,
		ID:    strings.TrimPrefix(c.Path, q.Prefix),
	}
	if _, known := d.OrganisationByToken(c.Token); !known && !q.Public {
		v.Kind = wire.ResultBadToken
		return q, v, false
	}
	return q, v, true
}

// verdicts maps the reasons of refused commands.
var verdicts = map[plantainladder.Reason]wire.ResultKind{
	plantainladder.RefusedBadField:            wire.ResultBadField,
	plantainladder.RefusedUnknownOrganisation: wire.ResultBadToken,
	plantainladder.RefusedNotOwner:            wire.ResultTaken,
	plantainladder.RefusedTableFull:           wire.ResultFull,
}

// judge completes a verdict by a command's outcome.
func judge(v wire.Result, o plantainladder.Outcome) wire.Result {
	v.Field, v.Detail = o.Field, o.Detail
	switch kind, ok := verdicts[o.Reason]; {
	case o.IsAccepted():
		v.Kind = wire.ResultDone
	case o.Reason == plantainladder.RefusedNotFound && o.Field == "queue":
		v.Kind = wire.ResultNoQueue
	case o.Reason == plantainladder.RefusedNotFound:
		v.Kind = wire.ResultNoWorkflow
	case ok:
		v.Kind = kind
	default:
		v.Kind = wire.ResultFull
	}
	return v
}

// commit replicates a command. Without an outcome the caller is to ask again:
// every command here may be repeated.
func (g *Server) commit(ctx context.Context, c plantainladder.Command) (o plantainladder.Outcome, again wire.LeaderReply[wire.Result], ok bool) {
	a := g.ask(ctx, func(token uint64) control.Event {
		return control.Submit{
			Token:   token,
			Command: c,
		}
	})
	switch a := a.(type) {
	case control.Committed:
		return a.Outcome, again, true
	case control.NotLeader:
		again.Redirect = a.Redirect
	case control.OutcomeUnknown:
		again.OutcomeUnknown = true
	case control.Busy, control.Refused, control.PollResult:
	}
	return o, again, false
}

func verdict(v wire.Result) wire.LeaderReply[wire.Result] {
	return wire.LeaderReply[wire.Result]{
		Leader: true,
		Body:   v,
	}
}

// leaderOnly returns the published state of a leader with a lease, or where
// else to ask.
func (g *Server) leaderOnly() (core control.Core, elsewhere string, ok bool) {
	core = g.cfg.Core()
	return core, core.LeaderAddress(), core.HasLease(g.cfg.Clock())
}

// enter finds the queue of a call on a leader's state. The answer is final if
// the last result is false.
func (g *Server) enter(c wire.WorkflowRequest) (state plantainladder.State, q configuration.Queue, v wire.Result, answer wire.LeaderReply[wire.Result], ok bool) {
	core, elsewhere, ok := g.leaderOnly()
	if !ok {
		answer.Redirect = elsewhere
		return state, q, v, answer, false
	}
	state = core.State()
	if q, v, ok = route(state.Configuration(), c); !ok {
		return state, q, v, verdict(v), false
	}
	return state, q, v, answer, true
}

func (g *Server) submit(ctx context.Context, s wire.Submission) (wire.LeaderReply[wire.Result], error) {
	_, q, v, answer, ok := g.enter(s.WorkflowRequest)
	switch {
	case !ok:
		return answer, nil
	case q.RequiresPlacementAdvisor:
		v.Kind = wire.ResultUnsupported
		v.Detail = "queues with advice are not served"
		return verdict(v), nil
	}
	s.Spec.ID, s.Spec.Queue = v.ID, v.Queue
	return g.judged(ctx, v, plantainladder.SubmitWorkflow{
		Spec:  s.Spec,
		Token: s.Token,
	}), nil
}

func (g *Server) cancel(ctx context.Context, c wire.WorkflowRequest) (wire.LeaderReply[wire.Result], error) {
	_, _, v, answer, ok := g.enter(c)
	if !ok {
		return answer, nil
	}
	return g.judged(ctx, v, plantainladder.CancelWorkflow{
		ID:    v.ID,
		Queue: v.Queue,
		Token: c.Token,
	}), nil
}

// judged commits a command and answers with what became of it.
func (g *Server) judged(ctx context.Context, v wire.Result, c plantainladder.Command) wire.LeaderReply[wire.Result] {
	o, again, ok := g.commit(ctx, c)
	if !ok {
		return again
	}
	return verdict(judge(v, o))
}

// look answers what a workflow's state is, or how many of a queue's workflows
// wait, if the path names no workflow.
func (g *Server) look(_ context.Context, c wire.WorkflowRequest) (wire.LeaderReply[wire.Result], error) {
	state, _, v, answer, ok := g.enter(c)
	switch {
	case !ok:
		return answer, nil
	case v.ID == "":
		v.Pending = state.CountPendingWorkflows(v.Queue)
		return verdict(v), nil
	}
	holder, _ := state.Configuration().OrganisationByToken(c.Token)
	w, ok := state.Workflow(v.ID)
	if !ok || w.Spec.Organisation != holder.Name {
		v.Kind = wire.ResultNoWorkflow
		return verdict(v), nil
	}
	v.Status = w.Status()
	return verdict(v), nil
}

// configuration answers with the newest document. The leader commits an entry
// first: one that was frozen and deposed would answer with an old document.
func (g *Server) configuration(ctx context.Context, _ wire.Empty) (answer wire.LeaderReply[wire.Document], err error) {
	_, again, ok := g.commit(ctx, plantainladder.Confirm{})
	if !ok {
		answer.Redirect = again.Redirect
		return answer, nil
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

// report takes a worker's announcement. One that brings something new is
// committed before it is acknowledged, so that every later leader knows it.
func (g *Server) report(ctx context.Context, r wire.WorkerAnnouncement) (answer wire.LeaderReply[wire.Result], err error) {
	core, elsewhere, ok := g.leaderOnly()
	if !ok {
		answer.Redirect = elsewhere
		return answer, nil
	}
	known, ok := core.State().PoolWorker(r.Worker.ID)
	if !ok || r.Worker.Supersedes(known) {
		if _, again, ok := g.commit(ctx, plantainladder.Announce{
			Worker: r.Worker,
		}); !ok {
			return again, nil
		}
	}
	err = g.cfg.Post(ctx, control.ObservationReceived{
		Observation: dispatch.WorkerAnnounced{
			Worker:   r.Worker,
			Sequence: r.Sequence,
			ClockMS:  r.ClockMS,
		},
	})
	return verdict(wire.Result{
		Kind: wire.ResultDone,
	}), err
}

// join asks the leader to bring a controller in. There is no answer to wait
// for: the controller hears from the leader, or asks again.
func (g *Server) join(ctx context.Context, j wire.Joiner) (answer wire.LeaderReply[wire.Empty], err error) {
	core, elsewhere, ok := g.leaderOnly()
	if !ok {
		answer.Redirect = elsewhere
		return answer, nil
	}
	answer.Leader = true
	if _, known := core.Replica().Members().Get(j.Member.ID); known {
		return answer, nil
	}
	return answer, g.cfg.Post(ctx, control.Join{
		Member: j.Member,
	})
}
