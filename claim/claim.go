// Package claim defines claims. A claim gives one gateway the right to run a
// non-idempotent request and records the outcome, so that the request runs at
// most once under its idempotency key.
package claim

import "time"

// Limits of the claim table.
const (
	// MaxClaims is the maximum number of claims in the table.
	MaxClaims = 20_000
	// MaxAnswerBytes is the maximum size of a response body, in bytes, that is
	// stored with its claim.
	MaxAnswerBytes = 4 << 10
	// MaxTotalAnswerBytes limits the stored response bodies of all claims
	// together, in bytes.
	MaxTotalAnswerBytes = 16 << 20
)

// A State is the state of a claimed request.
type State string

// The states of a claim.
const (
	// Open means that the holder may run the request or is running it.
	Open State = "open"
	// Done means that the request ran and its answer was sent to the caller.
	Done State = "done"
	// NotRun means that the request did not run. The key can be claimed again.
	NotRun State = "not-run"
	// Unknown means that the request may have run. It is never run again.
	Unknown State = "unknown"
	// Resolved means that an operator has dealt with an unknown outcome.
	Resolved State = "settled"
)

// A Key identifies a claim.
type Key struct {
	// Organisation is the organisation that made the request.
	Organisation string `json:"organisation"`
	// ID is the caller's idempotency key.
	ID string `json:"id"`
}

// String returns the key as text. The claim table is ordered by it.
func (k Key) String() string {
	return k.Organisation + "/" + k.ID
}

// An Answer is a minion's HTTP response to a claimed request.
type Answer struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// ContentType is the media type of the body.
	ContentType string `json:"content-type"`
	// Body is the whole body, or nil if it was too large to store.
	Body []byte `json:"body"`
	// Bytes is the length in bytes of the body that was sent to the caller.
	Bytes int `json:"bytes"`
}

// A Claim is the record of one non-idempotent request.
type Claim struct {
	// Key identifies the claim.
	Key Key `json:"key"`
	// Fingerprint is a digest of the request. A different request with the same
	// key is refused.
	Fingerprint string `json:"fingerprint"`
	// Holder is the gateway that may run the request.
	Holder string `json:"holder"`
	// Attempt counts the claims of the key from 1. A new attempt begins when
	// the key is claimed again after NotRun.
	Attempt int `json:"attempt"`
	// State is the state as it was last recorded; see At.
	State State `json:"state"`
	// Deadline is when an open claim becomes Unknown.
	Deadline time.Time `json:"deadline"`
	// Expires is when the claim may be removed from the table.
	Expires time.Time `json:"expires"`
	// Answer is the minion's response if State is Done.
	Answer Answer `json:"answer"`
	// Note is the operator's remark on a resolved claim.
	Note string `json:"note"`
}

// WithState returns a copy of c in the given state.
func (c Claim) WithState(s State) Claim {
	c.State = s
	return c
}

// WithAnswer returns a copy of c in state Done with the given answer.
func (c Claim) WithAnswer(a Answer) Claim {
	c.State = Done
	c.Answer = a
	return c
}

// WithResolution returns a copy of c in state Resolved with the operator's
// note.
func (c Claim) WithResolution(note string) Claim {
	c.State = Resolved
	c.Note = note
	return c
}

// At returns c as it is at the given time. An open claim whose deadline has
// passed is Unknown, since its holder may have run the request.
func (c Claim) At(now time.Time) Claim {
	if c.State == Open && now.After(c.Deadline) {
		return c.WithState(Unknown)
	}
	return c
}
