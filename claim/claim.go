// Package claim holds the aggregate of a claim: the right to run one
// non-idempotent request, given at most once, and the outcome of that run.
package claim

import "time"

// Bounds of the table of claims.
const (
	// MaxClaims is the largest number of claims that are kept.
	MaxClaims = 20_000
	// MaxAnswerBytes is the largest answer that is kept with its claim.
	MaxAnswerBytes = 4 << 10
	// MaxTotalAnswerBytes bounds the answers of all claims together.
	MaxTotalAnswerBytes = 16 << 20
)

// A State says how far a claimed request has come.
type State string

// States of a claim.
const (
	// Open means that the holder may run the request, or is running it.
	Open State = "open"
	// Done means that the request ran and its answer went out.
	Done State = "done"
	// NotRun means that the request did not run; the key can be claimed anew.
	NotRun State = "not-run"
	// Unknown means that it may have run; it is never run again.
	Unknown State = "unknown"
	// Resolved means that an operator settled an unknown outcome.
	Resolved State = "settled"
)

// A Key names a claim.
type Key struct {
	// Organisation is the organisation that made the request.
	Organisation string `json:"organisation"`
	// ID is the caller's idempotency key.
	ID string `json:"id"`
}

// String returns the key in the order in which claims are listed.
func (k Key) String() string {
	return k.Organisation + "/" + k.ID
}

// An Answer is what a minion answered.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the type of the body.
	ContentType string `json:"content-type"`
	// Body is the whole body; nil if it was too large to keep.
	Body []byte `json:"body"`
	// Bytes is the length of the body as it was sent.
	Bytes int `json:"bytes"`
}

// A Claim is the record of one non-idempotent request.
type Claim struct {
	// Key names the claim.
	Key Key `json:"key"`
	// Fingerprint is a digest of the request; another request under the same
	// key is refused.
	Fingerprint string `json:"fingerprint"`
	// Holder is the gateway that may run the request.
	Holder string `json:"holder"`
	// Attempt counts how often the key was claimed after a true not-run.
	Attempt int `json:"attempt"`
	// State says how far the request has come.
	State State `json:"state"`
	// Deadline is when an open claim becomes unknown.
	Deadline time.Time `json:"deadline"`
	// Expires is when the claim is forgotten.
	Expires time.Time `json:"expires"`
	// Answer is the outcome, if Done.
	Answer Answer `json:"answer"`
	// Note is what the operator said of a settled claim.
	Note string `json:"note"`
}

// WithState returns c in another state.
func (c Claim) WithState(s State) Claim {
	c.State = s
	return c
}

// WithAnswer returns c as done with an answer.
func (c Claim) WithAnswer(a Answer) Claim {
	c.State = Done
	c.Answer = a
	return c
}

// WithResolution returns c as settled by an operator.
func (c Claim) WithResolution(note string) Claim {
	c.State = Resolved
	c.Note = note
	return c
}

// At returns c as it is at the given time: an open claim whose deadline has
// passed is unknown.
func (c Claim) At(now time.Time) Claim {
	if c.State == Open && now.After(c.Deadline) {
		return c.WithState(Unknown)
	}
	return c
}
