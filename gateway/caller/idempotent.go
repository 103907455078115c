package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/gateway/minion"
	"github.com/plantainladder/plantainladder/gateway/reply"
)

const (
	// minHedge is the least time before a second copy of a request is sent.
	minHedge = 500 * time.Millisecond
	// hedgeShare is the part of the time left after which it is sent.
	hedgeShare = 4
)

// race is the state of an idempotent request that may run in several copies.
// Only the goroutine of its caller touches it.
type race struct {
	h       *Handler
	ctx     context.Context
	call    call
	results chan result
	began   chan string
	pending int
	sent    int
	hedged  bool
	last    result
}

// runIdempotent runs a request until one copy brings a whole answer. Copies
// that fail are retried elsewhere, and one that stays silent gets a rival on a
// connection of its own.
func (h *Handler) runIdempotent(ctx context.Context, w http.ResponseWriter, c call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rc := &race{
		h:       h,
		ctx:     ctx,
		call:    c,
		results: make(chan result),
		began:   make(chan string),
	}
	rc.launch(false, false)
	a, ok := rc.run()
	if ok {
		writeAnswer(w, a)
		return
	}
	h.refuse(w, rc.failure())
}

// launch begins one copy.
func (rc *race) launch(retry, hedge bool) {
	rc.pending++
	r := rc.call.request
	r.IsRetry, r.IsHedge = retry, hedge
	work := rc.call.work
	work.NewConnection = retry || hedge
	go func() {
		res := rc.h.attempt(rc.ctx, r, work, func(name string) {
			select {
			case rc.began <- name:
			case <-rc.ctx.Done():
			}
		})
		select {
		case rc.results <- res:
		case <-rc.ctx.Done():
		}
	}()
}

func (rc *race) run() (answered, bool) {
	hedge := time.NewTimer(time.Hour)
	defer hedge.Stop()
	for rc.pending > 0 {
		select {
		case <-rc.ctx.Done():
			return answered{}, false
		case name := <-rc.began:
			rc.sent++
			rc.call.request.ExcludedMinions = append(rc.call.request.ExcludedMinions[:len(rc.call.request.ExcludedMinions):len(rc.call.request.ExcludedMinions)], name)
			hedge.Reset(rc.hedgeDelay())
		case <-hedge.C:
			if !rc.hedged {
				rc.hedged = true
				countRetry(retrySilent)
				rc.launch(false, true)
			}
		case res := <-rc.results:
			rc.pending--
			if a, ok := res.(answered); ok {
				return a, true
			}
			rc.next(res)
		}
	}
	return answered{}, false
}

func (rc *race) hedgeDelay() time.Duration {
	left := rc.call.request.Deadline.Sub(rc.h.cfg.Clock())
	return max(minHedge, left/hedgeShare)
}

// next decides what follows a copy that brought no answer.
func (rc *race) next(res result) {
	if _, ok := res.(refused); !ok || rc.last == nil {
		rc.last = res
	}
	switch res := res.(type) {
	case notRun:
		// A true refusal of a minion costs nothing and may be tried again soon.
		countRetry(res.reason)
		if res.sent {
			rc.sent--
		}
		rc.forget(res.minion)
		rc.launch(false, false)
	case broken:
		countRetry(retryBroken)
		if rc.pending == 0 {
			rc.launch(true, false)
		}
	case revoked:
		countRetry(retryRevoked)
		rc.call.request.ExcludedMinions = nil
		rc.launch(false, false)
	case refused, answered:
	}
}

// forget lets a minion that declined be tried again.
func (rc *race) forget(name string) {
	var kept []string
	for _, n := range rc.call.request.ExcludedMinions {
		if n != name {
			kept = append(kept, n)
		}
	}
	rc.call.request.ExcludedMinions = kept
}

// failure says what became of a request without an answer. It is "not run"
// only if no copy was sent but those that minions certainly did not run.
func (rc *race) failure() reply.Failure {
	if f, ok := rc.last.(refused); ok && rc.sent == 0 {
		return *notRunFailure(f.reason, f.retryAfter)
	}
	if rc.sent == 0 {
		return *notRunFailure(admission.RefusedDeadlinePassed, 0)
	}
	detail := "the deadline passed"
	if b, ok := rc.last.(broken); ok {
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
		return "this gateway has lost touch with the controllers; try another"
	case admission.RefusedUnknownOrganisation:
		return "there is no contract for this organisation"
	case admission.RefusedClassNotAllowed:
		return "the contract does not allow this class"
	case admission.RefusedQueueFull:
		return "too many requests wait here"
	case admission.RefusedWouldMissDeadline:
		return "the answer could not be there before the deadline"
	case admission.RefusedDeadlinePassed:
		return "the deadline passed before the request could start"
	case admission.RefusedRetryBudgetSpent:
		return "too many requests are being retried"
	case admission.RefusedNoMinion:
		return "no minion takes requests"
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
