package controller

import (
	"context"

	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/wire"
)

// Query sends a query to the leader and returns the reply. It returns a
// *NoLeaderError if ctx ends before the leader replies.
func Query[Q, A any](ctx context.Context, l *LeaderClient, method string, q Q) (a A, err error) {
	return queryFor[Q, A](ctx, l, method, upkeep{}, q)
}

// Read is Query for a caller that is better told to come back than held. It returns a
// *NoLeaderError as soon as no leader is expected to reply in time.
func Read[Q, A any](ctx context.Context, l *LeaderClient, method string, q Q) (a A, err error) {
	return queryFor[Q, A](ctx, l, method, read{}, q)
}

// Change is Read for a request that changes something and may be repeated. It does not end
// before ctx once a controller may have accepted the request.
func Change[Q, A any](ctx context.Context, l *LeaderClient, method string, q Q) (a A, err error) {
	return queryFor[Q, A](ctx, l, method, change{}, q)
}

// Submit sends a submission to the leader as Change does. If an answer is lost, the
// submission is sent again with the same identifier of the call, by which a leader knows
// what it has accepted.
func Submit(ctx context.Context, l *LeaderClient, s wire.Submission) (res wire.Result, err error) {
	s.Spec.Call = util.NewID()
	return Change[wire.Submission, wire.Result](ctx, l, wire.MethodSubmit, s)
}

func queryFor[Q, A any](ctx context.Context, l *LeaderClient, method string, p purpose, q Q) (a A, err error) {
	err = l.withLeader(ctx, method, p, func(ctx context.Context, client *rpc.Client) (reply, error) {
		r, err := rpc.Call[Q, wire.LeaderReply[A]](ctx, client, method, q)
		a = r.Body
		if err == nil && r.OutcomeUnknown {
			err = &OutcomeUnknownError{
				Method: method,
			}
		}
		return reply{
			isLeaders: r.Leader && !r.OutcomeUnknown,
			redirect:  r.Redirect,
			refusal:   refusalOf(false, r.BusyReason, false),
		}, err
	})
	return a, err
}
