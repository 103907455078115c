package plantainladder

import (
	"time"

	"github.com/plantainladder/plantainladder/claim"
)

func (s State) applyMakeClaim(now time.Time, c MakeClaim) (State, Outcome) {
	holder, ok := s.Contract(c.Key.Organisation)
	if !ok {
		return s, refuse(RefusedUnknownOrganisation, "organisation", "there is no such contract")
	}
	known, exists := s.claims.get(c.Key.String())
	known = known.At(now)
	switch {
	case exists && known.Fingerprint != c.Fingerprint:
		return s, refuse(RefusedKeyReuse, "idempotency-key", "the key was used for another request")
	case exists && known.State != claim.NotRun:
		return s, Outcome{
			Claim: &known,
		}
	case !exists && s.claims.len() >= claim.MaxClaims:
		return s, refuse(RefusedTableFull, "idempotency-key", "too many non-idempotent requests are remembered")
	}
	made := claim.Claim{
		Key:         c.Key,
		Fingerprint: c.Fingerprint,
		Holder:      c.Holder,
		Attempt:     known.Attempt + 1,
		State:       claim.Open,
		Deadline:    now.Add(time.Duration(c.TimeoutMS) * time.Millisecond),
		Expires:     now.Add(time.Duration(holder.ClaimWindowS) * time.Second),
	}
	s.claims = s.claims.with(c.Key.String(), made)
	s = s.withExpiry(expiry{
		Kind: expireClaim,
		Key:  c.Key.String(),
		At:   made.Expires,
	})
	return s, Outcome{
		Claim: &made,
	}
}

func (s State) applySettleClaim(now time.Time, c SettleClaim) (State, Outcome) {
	known, ok := s.claims.get(c.Key.String())
	if !ok || known.Attempt != c.Attempt {
		return s, refuse(RefusedNotFound, "idempotency-key", "there is no such claim")
	}
	if known.State != claim.Open && known.State != claim.Unknown {
		return s, Outcome{
			Claim: &known,
		}
	}
	next := known.WithState(c.State)
	switch c.State {
	case claim.Done:
		next = known.WithAnswer(s.retainableAnswer(c.Answer))
	case claim.NotRun:
		// Past its deadline a claim may have been reported as unknown already.
		if known.At(now).State == claim.Unknown {
			return s, refuse(RefusedWrongState, "idempotency-key", "the outcome is unknown already")
		}
	case claim.Unknown:
	case claim.Open, claim.Resolved:
		return s, refuse(RefusedBadField, "state", `must be "done", "not-run" or "unknown"`)
	}
	s.claimAnswerBytes += len(next.Answer.Body)
	s.claims = s.claims.with(c.Key.String(), next)
	return s, Outcome{
		Claim: &next,
	}
}

// retainableAnswer returns an answer without its body if there is no room for it.
func (s State) retainableAnswer(a claim.Answer) claim.Answer {
	if len(a.Body) > claim.MaxAnswerBytes || s.claimAnswerBytes+len(a.Body) > claim.MaxTotalAnswerBytes {
		a.Body = nil
	}
	return a
}

func (s State) applyResolveClaim(now time.Time, c ResolveClaim) (State, Outcome) {
	known, ok := s.Claim(now, c.Key)
	if !ok {
		return s, refuse(RefusedNotFound, "idempotency-key", "there is no such claim")
	}
	if known.State != claim.Unknown {
		return s, refuse(RefusedWrongState, "idempotency-key", "the outcome is not unknown")
	}
	s.claims = s.claims.with(c.Key.String(), known.WithResolution(c.Note))
	// The table forgets a claim once its outcome is no longer unknown.
	s = s.withExpiry(expiry{
		Kind: expireClaim,
		Key:  c.Key.String(),
		At:   laterOf(known.Expires, now),
	})
	return s, Outcome{}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
