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
	"github.com/plantainladder/plantainladder/gateway/minion"
	"github.com/plantainladder/plantainladder/gateway/reply"
	"github.com/plantainladder/plantainladder/util"
)

const (
	// claimGrace is added to the deadline before an open claim is unknown.
	claimGrace = 2 * time.Second
	// settleTimeout bounds the wait for an outcome to be recorded.
	settleTimeout = 3 * time.Second
	// claimPoll is the pause between two looks at another's open claim.
	claimPollInterval = 150 * time.Millisecond
)

// runOnce runs a request that is not idempotent at most once: a claim is
// committed first, the request is sent at most once, and the outcome is
// recorded before the caller hears it. A resend finds the claim.
func (h *Handler) runOnce(ctx context.Context, w http.ResponseWriter, c call) {
	claimed, failure := h.claim(ctx, c)
	if failure != nil {
		h.refuse(w, *failure)
		return
	}
	if claimed.State != claim.Open {
		h.writeRecordedOutcome(w, claimed)
		return
	}
	// Once claimed, the request goes on even if its caller leaves: a resend
	// will ask for the outcome.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.request.Deadline)
	defer cancel()
	res := h.sendOnce(ctx, c)
	h.settleClaim(w, c, claimed, res)
}

// claim commits a claim or finds another's and waits for its outcome. Only a
// claim of this very call comes back open.
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
			// A claim that was made unheard becomes unknown; this call has run
			// nothing and never will.
			return claimed, notRunFailure(admission.RefusedViewExpired, viewRetryAfter)
		case !o.IsAccepted():
			return claimed, reply.Refused(o)
		case o.Claim.State != claim.Open || o.Claim.Holder == holder:
			return *o.Claim, nil
		}
		t := time.NewTimer(claimPollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return claimed, unknownFailure("in-progress", "the same request is being run; ask again")
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

// fingerprint returns a digest of what makes two requests the same.
func (c call) fingerprint() string {
	sum := sha256.New()
	sum.Write([]byte(c.work.Path + "\n" + c.work.ContentType + "\n"))
	sum.Write(c.work.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// sendOnce tries minions until one has taken the request, and stops then.
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

// record commits the outcome and answers the caller.
func (h *Handler) settleClaim(w http.ResponseWriter, c call, claimed claim.Claim, res result) {
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
		failure = unknownFailure("revoked", "the slot was taken back")
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if _, err := h.cfg.LeaderClient.Command(ctx, "", command); err != nil {
		h.cfg.Logger.Warn().Err(err).Str("key", c.key).Msg("Outcome is not recorded.")
	}
	if failure != nil {
		h.refuse(w, *failure)
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

// writeClaim answers a resend with the recorded outcome.
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
				Detail:  "the request ran and was answered; the answer was too large to keep",
			},
		})
	case c.State == claim.Resolved:
		h.refuse(w, *unknownFailure("settled", c.Note))
	default:
		h.refuse(w, *unknownFailure("unknown", "the request may have run; it will not be run again"))
	}
}
