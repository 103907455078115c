package caller

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/gateway/minion"
	"github.com/plantainladder/plantainladder/gateway/reply"
)

const (
	// minHedgeDelay is the shortest delay before a hedged request is sent.
	minHedgeDelay = 500 * time.Millisecond
	// hedgeDivisor determines the delay of a hedged request, as the time until
	// the deadline divided by it.
	hedgeDivisor = 4
	// maxHedges bounds the hedges of one request, so that a slow request cannot
	// spend the retry budget of the others.
	maxHedges = 3
	// maxBrokenOff bounds the minions that break off one request, which may be what
	// crashes them.
	maxBrokenOff = 3
)

// A startedCopy is a copy of a request that is about to be sent to a minion.
type startedCopy struct {
	minion  string
	isHedge bool
}

// idempotentRequest is the state of an idempotent request, of which several copies
// may run. Only the goroutine that handles the caller's call uses it.
type idempotentRequest struct {
	h       *Handler
	ctx     context.Context
	call    call
	results chan result
	// started receives each copy that is about to be sent.
	started chan startedCopy
	// pending is the number of copies without a result.
	pending int
	// sent is the number of copies that may have run, brokenOff that of those whose
	// minion broke them off.
	sent, brokenOff int
	// hedges is the number of hedges that were started.
	hedges int
	// hedgeTimer fires when the copies have been silent for too long.
	hedgeTimer *time.Timer
	// last is the latest result; a refusal does not replace an earlier result.
	last result
}

// runIdempotent runs a request until one copy gets a complete answer. Copies that
// fail are retried on other minions. Each time the copies stay without an answer
// for too long, a hedged request is sent on a new connection.
func (h *Handler) runIdempotent(ctx context.Context, w http.ResponseWriter, c call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ir := &idempotentRequest{
		h:          h,
		ctx:        ctx,
		call:       c,
		results:    make(chan result),
		started:    make(chan startedCopy),
		hedgeTimer: time.NewTimer(maxDeadline),
	}
	defer ir.hedgeTimer.Stop()
	ir.launch(false, false)
	a, ok := ir.run()
	if ok {
		writeAnswer(w, a)
		return
	}
	h.fail(w, ir.failure())
}

// launch starts one copy of the request, unless too many minions have broken it off.
func (ir *idempotentRequest) launch(retry, hedge bool) {
	if ir.brokenOff >= maxBrokenOff {
		return
	}
	ir.pending++
	r := ir.call.request
	r.IsRetry, r.IsHedge = retry, hedge
	work := ir.call.work
	work.NewConnection = retry || hedge
	go func() {
		res := ir.h.attempt(ir.ctx, r, work, func(name string) {
			select {
			case ir.started <- startedCopy{
				minion:  name,
				isHedge: hedge,
			}:
			case <-ir.ctx.Done():
			}
		})
		select {
		case ir.results <- res:
		case <-ir.ctx.Done():
		}
	}()
}

func (ir *idempotentRequest) run() (answered, bool) {
	for ir.pending > 0 {
		select {
		case <-ir.ctx.Done():
			return answered{}, false
		case c := <-ir.started:
			ir.handleStarted(c)
		case <-ir.hedgeTimer.C:
			if ir.hedges < maxHedges {
				ir.launch(false, true)
			}
		case res := <-ir.results:
			ir.pending--
			if a, ok := res.(answered); ok {
				return a, true
			}
			ir.handleFailure(res)
		}
	}
	return answered{}, false
}

func (ir *idempotentRequest) handleStarted(c startedCopy) {
	ir.sent++
	if c.isHedge {
		ir.hedges++
		countRetry(retrySilent)
	}
	r := &ir.call.request
	r.AvoidedMinions = append(slices.Clip(r.AvoidedMinions), c.minion)
	ir.hedgeTimer.Reset(ir.hedgeDelay())
}

func (ir *idempotentRequest) hedgeDelay() time.Duration {
	left := ir.call.request.Deadline.Sub(ir.h.cfg.Clock())
	return max(minHedgeDelay, left/hedgeDivisor)
}

// handleFailure decides whether to retry after a copy that got no answer.
func (ir *idempotentRequest) handleFailure(res result) {
	if _, ok := res.(refused); !ok || ir.last == nil {
		ir.last = res
	}
	switch res := res.(type) {
	case notRun:
		// The minion did not run the request, so the new copy is not marked as a
		// retry (IsRetry), and the minion may be chosen again.
		countRetry(res.reason)
		if res.sent {
			ir.sent--
		}
		ir.stopAvoiding(res.minion)
		ir.launch(false, false)
	case unanswered:
		countRetry(retryUnanswered)
		ir.stopAvoiding(res.minion)
		r := &ir.call.request
		r.ExcludedMinions = append(slices.Clip(r.ExcludedMinions), res.minion)
		ir.brokenOff++
		if ir.pending == 0 {
			ir.launch(true, false)
		}
	case revoked:
		countRetry(retryRevoked)
		ir.call.request.AvoidedMinions = nil
		ir.call.request.ExcludedMinions = nil
		ir.launch(false, false)
	case refused:
		// The copies that are still silent may be hedged later.
		ir.hedgeTimer.Reset(ir.hedgeDelay())
	case answered:
	}
}

// stopAvoiding removes the minion of a copy that has ended.
func (ir *idempotentRequest) stopAvoiding(name string) {
	var kept []string
	for _, n := range ir.call.request.AvoidedMinions {
		if n != name {
			kept = append(kept, n)
		}
	}
	ir.call.request.AvoidedMinions = kept
}

// failure returns the failure for a request without an answer. The outcome is
// "not run" only if minions certainly did not run any of the copies.
func (ir *idempotentRequest) failure() reply.Failure {
	if f, ok := ir.last.(refused); ok && ir.sent == 0 {
		return *notRunFailure(f.reason, f.retryAfter)
	}
	if ir.sent == 0 {
		return *notRunFailure(admission.RefusedDeadlinePassed, 0)
	}
	detail := "the deadline passed"
	if b, ok := ir.last.(unanswered); ok {
		detail = b.cause.Error()
	}
	return *unknownFailure("no-whole-answer", detail)
}

func notRunFailure(reason admission.Reason, after time.Duration) *reply.Failure {
	return &reply.Failure{
		Status: statusOf(reason),
		Body: api.Error{
			Outcome:      api.OutcomeNotRun,
			Reason:       string(reason),
			Detail:       detailOf(reason),
			RetryAfterMS: after.Milliseconds(),
		},
	}
}

func statusOf(reason admission.Reason) int {
	switch reason {
	case admission.RefusedUnknownOrganisation:
		return http.StatusNotFound
	case admission.RefusedClassNotAllowed:
		return http.StatusForbidden
	case admission.RefusedQueueFull, admission.RefusedWouldMissDeadline, admission.RefusedRetryBudgetSpent:
		return http.StatusTooManyRequests
	case admission.RefusedDeadlinePassed:
		return http.StatusGatewayTimeout
	case admission.RefusedViewExpired, admission.RefusedNoMinion:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}

func detailOf(reason admission.Reason) string {
	switch reason {
	case admission.RefusedViewExpired:
		return "this gateway has no contact with the controllers; try another gateway"
	case admission.RefusedUnknownOrganisation:
		return "there is no contract for this organisation"
	case admission.RefusedClassNotAllowed:
		return "the contract does not allow this class"
	case admission.RefusedQueueFull:
		return "too many requests are queued"
	case admission.RefusedWouldMissDeadline:
		return "the request could not be answered before the deadline"
	case admission.RefusedDeadlinePassed:
		return "the deadline passed before the request could start"
	case admission.RefusedRetryBudgetSpent:
		return "too many requests are being retried"
	case admission.RefusedNoMinion:
		return "no minion accepts requests"
	}
	return ""
}

func unknownFailure(reason, detail string) *reply.Failure {
	return &reply.Failure{
		Status: http.StatusBadGateway,
		Body: api.Error{
			Outcome: api.OutcomeUnknown,
			Reason:  reason,
			Detail:  detail,
		},
	}
}

func writeAnswer(w http.ResponseWriter, a answered) {
	w.Header().Set(api.HeaderOutcome, api.OutcomeDone)
	w.Header().Set(api.HeaderMinion, a.minion)
	writeBody(w, a.answer)
}

func writeBody(w http.ResponseWriter, a minion.Answer) {
	w.Header().Set("Content-Type", a.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
