package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/gateway/minion"
	"github.com/plantainladder/plantainladder/gateway/reply"
	"github.com/plantainladder/plantainladder/util"
)

const (
	// claimGrace is the time after a request's deadline at which its open claim
	// becomes unknown.
	claimGrace = 2 * time.Second
	// settleTimeout is the longest time to wait until an outcome is recorded.
	settleTimeout = 3 * time.Second
	// claimPollInterval is the interval at which the open claim of another call is
	// checked again.
	claimPollInterval = 150 * time.Millisecond
)

// runOnce runs a request that is not idempotent at most once. It commits a claim
// before it sends the request, and records the outcome before it responds. A
// request that is sent again finds the claim.
func (h *Handler) runOnce(ctx context.Context, w http.ResponseWriter, c call) {
	claimed, failure := h.claim(ctx, c)
	if failure != nil {
		h.fail(w, *failure)
		return
	}
	if claimed.State != claim.Open {
		h.writeRecordedOutcome(w, claimed)
		return
	}
	// From here on the request continues even if the caller disconnects, since
	// the caller may send it again to get the outcome.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.request.Deadline)
	defer cancel()
	res := h.sendOnce(ctx, c)
	h.recordOutcome(w, c, claimed, res)
}

// claim commits a claim for the request. If another call holds the claim already,
// it waits until that claim is settled. A claim that it returns open belongs to
// this call.
func (h *Handler) claim(ctx context.Context, c call) (claimed claim.Claim, failure *reply.Failure) {
	holder := h.cfg.Gateway + "/" + util.NewID()
	for {
		o, err := h.cfg.LeaderClient.Command(ctx, "", plantainladder.MakeClaim{
			Key:         c.claimKey(),
			Fingerprint: c.fingerprint(),
			Holder:      holder,
			TimeoutMS:   (c.request.Deadline.Sub(h.cfg.Clock()) + claimGrace).Milliseconds(),
		})
		switch {
		case err != nil:
			// The claim may have been committed without a reply; it then becomes
			// unknown. This call has not sent the request and does not send it.
			failure = notRunFailure(admission.RefusedViewExpired, viewRetryAfter)
			if reason, ok := controller.RefusalReason(err); ok {
				failure.Body.Reason, failure.Body.Detail = reason, err.Error()
			}
			return claimed, failure
		case !o.IsAccepted():
			return claimed, reply.Refused(o)
		case o.Claim.State != claim.Open || o.Claim.Holder == holder:
			return *o.Claim, nil
		}
		t := time.NewTimer(claimPollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return claimed, unknownFailure("in-progress", "the same request is still running; retry to get its outcome")
		case <-t.C:
		}
	}
}

func (c call) claimKey() claim.Key {
	return claim.Key{
		Organisation: c.request.Organisation,
		ID:           c.key,
	}
}

// fingerprint returns a digest of the path, the content type and the body, by
// which two requests with one key are compared.
func (c call) fingerprint() string {
	sum := sha256.New()
	sum.Write([]byte(c.work.Path + "\n" + c.work.ContentType + "\n"))
	sum.Write(c.work.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// sendOnce repeats the attempt for as long as the request certainly did not run.
func (h *Handler) sendOnce(ctx context.Context, c call) result {
	for {
		res := h.attempt(ctx, c.request, c.work, func(string) {})
		n, ok := res.(notRun)
		if !ok || ctx.Err() != nil {
			return res
		}
		countRetry(n.reason)
	}
}

// recordOutcome records the outcome and responds to the caller.
func (h *Handler) recordOutcome(w http.ResponseWriter, c call, claimed claim.Claim, res result) {
	command := plantainladder.SettleClaim{
		Key:     claimed.Key,
		Attempt: claimed.Attempt,
		State:   claim.NotRun,
	}
	var failure *reply.Failure
	switch res := res.(type) {
	case answered:
		command.State = claim.Done
		command.Answer = recordedAnswer(res.answer)
	case refused:
		failure = notRunFailure(res.reason, res.retryAfter)
	case notRun:
		failure = notRunFailure(admission.RefusedDeadlinePassed, 0)
	case unanswered:
		command.State = claim.Unknown
		failure = unknownFailure("broken-off", res.cause.Error())
	case revoked:
		command.State = claim.Unknown
		failure = unknownFailure("revoked", "the slot of the request was revoked")
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if _, err := h.cfg.LeaderClient.Command(ctx, "", command); err != nil {
		h.cfg.Logger.Warn().Err(err).Str("key", c.key).Msg("Outcome of a request could not be recorded.")
	}
	if failure != nil {
		h.fail(w, *failure)
		return
	}
	if a, ok := res.(answered); ok {
		writeAnswer(w, a)
	}
}

func recordedAnswer(a minion.Answer) claim.Answer {
	kept := claim.Answer{
		Status:      a.Status,
		ContentType: a.ContentType,
		Body:        a.Body,
		Bytes:       len(a.Body),
	}
	if kept.Bytes > claim.MaxAnswerBytes {
		kept.Body = nil
	}
	return kept
}

// writeRecordedOutcome responds with the outcome that the claim records.
func (h *Handler) writeRecordedOutcome(w http.ResponseWriter, c claim.Claim) {
	a := c.Answer
	switch {
	case c.State == claim.Done && len(a.Body) == a.Bytes:
		w.Header().Set(api.HeaderOutcome, api.OutcomeDone)
		w.Header().Set(api.HeaderReason, "recorded")
		writeBody(w, minion.Answer{
			Status:      a.Status,
			ContentType: a.ContentType,
			Body:        a.Body,
		})
	case c.State == claim.Done:
		reply.Fail(w, reply.Failure{
			Status: http.StatusGone,
			Body: api.Error{
				Outcome: api.OutcomeDone,
				Reason:  "answer-not-kept",
				Detail:  "the request ran and was answered; the answer was too large to be stored",
			},
		})
	case c.State == claim.Resolved:
		h.fail(w, *unknownFailure("settled", c.Note))
	default:
		h.fail(w, *unknownFailure("unknown", "the request may have run; it will not be run again"))
	}
}
