package caller

import (
	"context"
	"errors"
	"time"

	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/gateway/minion"
	"github.com/plantainladder/plantainladder/util"
)

// A result is the result of one attempt to run a request: answered, refused,
// notRun, unanswered or revoked.
type result interface {
	result()
}

// answered means that the complete answer was received.
type answered struct {
	answer minion.Answer
	minion string
}

// refused means that the request was refused, or its deadline passed, before a
// minion was chosen.
type refused struct {
	reason     admission.Reason
	retryAfter time.Duration
}

// notRun means that a minion was chosen and certainly did not run the request.
// sent tells that an attempt to send it was made.
type notRun struct {
	minion string
	reason retryReason
	sent   bool
}

// unanswered means that the request was sent and may have run.
type unanswered struct {
	minion string
	cause  error
}

// revoked means that the slot was revoked; the request may have run.
type revoked struct{}

func (answered) result()   {}
func (refused) result()    {}
func (notRun) result()     {}
func (unanswered) result() {}
func (revoked) result()    {}

// attempt acquires a slot, sends the request once and releases the slot. It calls
// started with the minion's name right before it sends the request.
func (h *Handler) attempt(ctx context.Context, r admission.Request, w minion.WorkRequest, started func(minion string)) result {
	token, effects := h.cfg.EffectRouter.subscribe()
	defer h.cfg.EffectRouter.unsubscribe(token)
	r.Token = token
	if err := h.cfg.Post(ctx, admission.RequestReceived{
		Request: r,
	}); err != nil {
		return refused{
			reason: admission.RefusedDeadlinePassed,
		}
	}
	var start admission.Start
	select {
	case f := <-effects:
		switch f := f.(type) {
		case admission.Start:
			start = f
		case admission.Refuse:
			return refused{
				reason:     f.Reason,
				retryAfter: f.RetryAfter,
			}
		case admission.Revoke:
			return revoked{}
		}
	case <-ctx.Done():
		h.cancelRequest(token)
		return refused{
			reason: admission.RefusedDeadlinePassed,
		}
	}
	return h.send(ctx, start, r, w, effects, started)
}

// cancelRequest removes a request from its queue, or releases its slot if it was
// started in the meantime.
func (h *Handler) cancelRequest(token uint64) {
	h.post(admission.CancelRequest{
		Token: token,
	})
	h.finish(token, admission.NotSent{})
}

// post queues an event that must not be lost, even if the caller no longer waits.
func (h *Handler) post(e admission.Event) {
	ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
	defer cancel()
	_ = h.cfg.Post(ctx, e)
}

func (h *Handler) finish(token uint64, r admission.Result) {
	h.post(admission.RequestFinished{
		Token:  token,
		Result: r,
	})
}

// mayStart reports whether the request may still be started. It is called right
// before the request is sent, since the process may have been suspended after
// admission decided to start it.
func (h *Handler) mayStart(start admission.Start) bool {
	now := h.cfg.Clock()
	s := h.cfg.State()
	m, known := s.Minions().Get(start.Minion)
	return known && now.Before(start.StartBefore) && s.Lease().IsValid(now) &&
		!m.Announcement.Leaving && !s.View().IsOutOfService(m.Announcement.DataCentre)
}

func (h *Handler) send(ctx context.Context, start admission.Start, r admission.Request, w minion.WorkRequest, effects <-chan admission.Effect, started func(string)) result {
	if !h.mayStart(start) {
		h.finish(start.Token, admission.NotSent{})
		return notRun{
			minion: start.Minion,
			reason: retryStartExpired,
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.Address = start.Address
	w.ID = util.NewID()
	w.StartWithin = start.StartBefore.Sub(h.cfg.Clock())
	started(start.Minion)
	replies := make(chan sendResult, 1)
	go func() {
		a, err := h.cfg.Minions.Send(ctx, w)
		replies <- sendResult{
			answer: a,
			err:    err,
		}
	}()
	for {
		select {
		case reply := <-replies:
			return h.finishAttempt(start, reply, errors.Is(ctx.Err(), context.Canceled))
		case f := <-effects:
			if _, revoke := f.(admission.Revoke); revoke && r.Idempotent {
				cancel()
				<-replies
				h.finish(start.Token, admission.Abandoned{})
				return revoked{}
			}
		}
	}
}

type sendResult struct {
	answer minion.Answer
	err    error
}

// finishAttempt releases the slot and returns the result.
func (h *Handler) finishAttempt(start admission.Start, reply sendResult, abandoned bool) result {
	var declined *minion.DeclinedError
	var unsent *minion.UnsentError
	switch {
	case reply.err == nil:
		h.finish(start.Token, admission.Answered{})
		return answered{
			answer: reply.answer,
			minion: start.Minion,
		}
	case errors.As(reply.err, &declined):
		h.finish(start.Token, admission.Declined{})
		return notRun{
			minion: start.Minion,
			reason: retryReasonOf(declined.Reason),
			sent:   true,
		}
	case errors.As(reply.err, &unsent):
		h.finish(start.Token, admission.Unreachable{})
		return notRun{
			minion: start.Minion,
			reason: retryUnreachable,
			sent:   true,
		}
	case abandoned:
		h.finish(start.Token, admission.Abandoned{})
	default:
		h.finish(start.Token, admission.Failed{})
		h.cfg.Minions.CloseIdle()
	}
	return unanswered{
		minion: start.Minion,
		cause:  reply.err,
	}
}
