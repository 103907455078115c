package plantainladder

import (
	"time"

	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/util"
)

func (s State) applyMakeClaim(now time.Time, c MakeClaim) (State, Outcome) {
	terms, ok := s.Contract(c.Key.Organisation)
	if !ok {
		return s, refuse(RefusedUnknownOrganisation, "organisation", "there is no such contract")
	}
	current, exists := s.claims.get(c.Key.String())
	current = current.At(now)
	switch {
	case exists && current.Fingerprint != c.Fingerprint:
		return s, refuse(RefusedKeyReuse, "idempotency-key", "the key was used for another request")
	case exists && current.State != claim.NotRun:
		return s, Outcome{
			Claim: &current,
		}
	case !exists && s.claims.len() >= claim.MaxClaims:
		return s, refuse(RefusedTableFull, "idempotency-key", "too many non-idempotent requests are remembered")
	}
	opened := claim.Claim{
		Key:         c.Key,
		Fingerprint: c.Fingerprint,
		Holder:      c.Holder,
		Attempt:     current.Attempt + 1,
		State:       claim.Open,
		Deadline:    now.Add(time.Duration(c.TimeoutMS) * time.Millisecond),
		Expires:     now.Add(time.Duration(terms.ClaimWindowS) * time.Second),
	}
	s.claims = s.claims.with(c.Key.String(), opened)
	s = s.withExpiry(Expiry{
		Kind: expireClaim,
		Key:  c.Key.String(),
		At:   opened.Expires,
	})
	return s, Outcome{
		Claim: &opened,
	}
}

func (s State) applySettleClaim(now time.Time, c SettleClaim) (State, Outcome) {
	current, ok := s.claims.get(c.Key.String())
	if !ok || current.Attempt != c.Attempt {
		return s, refuse(RefusedNotFound, "idempotency-key", "there is no such claim")
	}
	if current.State != claim.Open && current.State != claim.Unknown {
		return s, Outcome{
			Claim: &current,
		}
	}
	next := current.WithState(c.State)
	switch c.State {
	case claim.Done:
		next = current.WithAnswer(s.retainableAnswer(c.Answer))
	case claim.NotRun:
		// After the deadline the claim may already have been reported as Unknown.
		if current.At(now).State == claim.Unknown {
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

// retainableAnswer returns the answer, without its body if that would exceed the
// limits of the claim table.
func (s State) retainableAnswer(a claim.Answer) claim.Answer {
	if len(a.Body) > claim.MaxAnswerBytes || s.claimAnswerBytes+len(a.Body) > claim.MaxTotalAnswerBytes {
		a.Body = nil
	}
	return a
}

func (s State) applyResolveClaim(now time.Time, c ResolveClaim) (State, Outcome) {
	current, ok := s.Claim(now, c.Key)
	if !ok {
		return s, refuse(RefusedNotFound, "idempotency-key", "there is no such claim")
	}
	if current.State != claim.Unknown {
		return s, refuse(RefusedWrongState, "idempotency-key", "the outcome is not unknown")
	}
	s.claims = s.claims.with(c.Key.String(), current.WithResolution(c.Note))
	// A claim with an unknown outcome does not expire, so its first expiry may
	// have passed without effect.
	s = s.withExpiry(Expiry{
		Kind: expireClaim,
		Key:  c.Key.String(),
		At:   util.Later(current.Expires, now),
	})
	return s, Outcome{}
}
