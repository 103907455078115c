// Package gateway serves the requests of gateways: polls, commands and queries.
// It posts events to the event loop and reads the controller's published core.
package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

const (
	answerTimeout = 5 * time.Second
	// A Server writes at most maxLinesPerPeriod lines in each linePeriod.
	maxLinesPerPeriod = 5
	linePeriod        = 10 * time.Second
)

// A Config describes a Server.
type Config struct {
	// Post queues an event for the event loop.
	Post func(ctx context.Context, e control.Event) error
	// Core returns the controller's last published core.
	Core func() control.Core
	// Clock returns the current time.
	Clock func() time.Time
	// PendingRequests delivers the answers of the controller's core.
	PendingRequests *PendingRequests
	// LimitOverage is the share by which a gang may exceed the limit of its organisation.
	LimitOverage float64
	// Logger is the logger of the package.
	Logger zerolog.Logger
}

// A Server handles the requests of gateways.
type Server struct {
	cfg Config
	// logger writes the lines that a burst of requests could repeat.
	logger zerolog.Logger
}

// Register creates a Server and registers its methods with s.
func Register(s *rpc.Server, cfg Config) *Server {
	g := &Server{
		cfg: cfg,
		logger: cfg.Logger.Sample(&zerolog.BurstSampler{
			Burst:  maxLinesPerPeriod,
			Period: linePeriod,
		}),
	}
	createConfirmationCounters()
	rpc.Handle(s, wire.MethodPoll, g.poll)
	rpc.Handle(s, wire.MethodCommand, g.command)
	g.registerQueries(s)
	g.registerWorkflows(s)
	return g
}

// An UnexpectedAnswerError reports an answer of the controller's core that is not
// possible for the event posted.
type UnexpectedAnswerError struct {
	// Answer is the answer of the controller's core.
	Answer control.Answer
}

// Error returns the type of the answer.
func (e *UnexpectedAnswerError) Error() string {
	return fmt.Sprintf("unexpected answer %T from the control state", e.Answer)
}

func (g *Server) postAndWait(ctx context.Context, newEvent func(token uint64) control.Event) control.Answer {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return g.cfg.PendingRequests.PostAndWait(ctx, g.cfg.Post, newEvent)
}

func (g *Server) poll(ctx context.Context, p control.Poll) (reply control.PollReply, err error) {
	a := g.postAndWait(ctx, func(token uint64) control.Event {
		return control.PollReceived{
			Token: token,
			Poll:  p,
		}
	})
	switch a := a.(type) {
	case control.PollResult:
		return a.Reply, nil
	case control.NotLeader:
		return control.PollReply{
			Redirect: a.Redirect,
		}, nil
	case control.Busy, control.OutcomeUnknown, control.Committed, control.Refused, control.LeadershipConfirmed:
		return reply, &UnexpectedAnswerError{
			Answer: a,
		}
	}
	return reply, nil
}

// outcomeOf returns the outcome of a command that was refused for good.
func outcomeOf(a control.Refused) plantainladder.Outcome {
	return plantainladder.Outcome{
		Reason: plantainladder.Reason(a.Reason),
		Detail: a.Detail,
	}
}

func (g *Server) command(ctx context.Context, c wire.Command) (reply wire.CommandReply, err error) {
	cmd, err := wire.UnmarshalCommand(c.Body)
	if err != nil {
		return reply, err
	}
	if settled, ok := g.answerSettled(ctx, c.ID, cmd); ok {
		return settled, nil
	}
	a := g.postAndWait(ctx, func(token uint64) control.Event {
		return control.Submit{
			Token:   token,
			ID:      c.ID,
			Command: cmd,
		}
	})
	switch a := a.(type) {
	case control.Committed:
		reply.Leader, reply.Outcome = true, a.Outcome
	case control.NotLeader:
		reply.Redirect = a.Redirect
	case control.Busy:
		reply.Leader, reply.Busy, reply.BusyReason = true, true, wire.BusyReason(a.Reason)
		reply.GroupIncomplete = a.Reason == control.BusyGroupIncomplete
	case control.OutcomeUnknown:
		reply.Leader, reply.OutcomeUnknown = true, true
	case control.Refused:
		reply.Leader, reply.Outcome = true, outcomeOf(a)
	case control.PollResult, control.LeadershipConfirmed:
		return reply, &UnexpectedAnswerError{
			Answer: a,
		}
	}
	return reply, nil
}

// answerSettled answers a command that changes nothing from the confirmed state. Otherwise
// each configuration that is sent again would be stored once more by all controllers.
func (g *Server) answerSettled(ctx context.Context, id string, c plantainladder.Command) (reply wire.CommandReply, ok bool) {
	core, _, isLeader := g.leaderCore()
	if _, ok = core.State().Settled(c); !ok || !isLeader || id != "" || !core.AcceptsCommands(g.cfg.Clock()) {
		return reply, false
	}
	if core, _, ok = g.confirmedCore(ctx); !ok {
		return reply, false
	}
	reply.Leader = true
	reply.Outcome, ok = core.State().Settled(c)
	return reply, ok
}
