// Package contract defines the contract of an organisation: the capacity that
// it is guaranteed and the limits that the system enforces for it.
package contract

import (
	"slices"

	"github.com/plantainladder/plantainladder/shape"
)

// A Block guarantees capacity for a number of gangs of the same shape at once.
type Block struct {
	// Count is the number of gangs.
	Count int `json:"count"`
	// Shape is the shape of each gang.
	Shape shape.Shape `json:"shape"`
}

// A Contract holds the guarantees and the limits of one organisation.
type Contract struct {
	// Organisation is the organisation's name.
	Organisation string `json:"organisation"`
	// Revision counts the accepted edits from 1.
	Revision uint64 `json:"revision"`
	// Guarantee lists the gangs that the organisation can always run, if need be
	// by preempting work that borrows their capacity.
	Guarantee []Block `json:"guarantee"`
	// CeilingAccelerators limits the accelerators that its jobs use at once.
	CeilingAccelerators int `json:"ceiling-accelerators"`
	// GuaranteedSlots is the number of minion slots that it can always use, if
	// need be by revoking slots that others borrowed.
	GuaranteedSlots int `json:"guaranteed-slots"`
	// CeilingSlots limits its requests that run at once.
	CeilingSlots int `json:"ceiling-slots"`
	// MaxQueuedJobs limits its jobs that have not ended.
	MaxQueuedJobs int `json:"max-queued-jobs"`
	// ClaimWindowS is how long, in seconds, the claim of a non-idempotent
	// request and its outcome are kept.
	ClaimWindowS int `json:"claim-window-s"`
	// LeaseGraceS is the lease grace period in seconds: how long running tasks
	// continue on a worker whose lease has expired because it cannot reach the
	// controllers. Until then they are not placed elsewhere.
	LeaseGraceS int `json:"hold-s"`
	// Classes lists the priority classes that it may use: "urgent", "normal",
	// "batch".
	Classes []string `json:"classes"`
	// TokenSHA256 is the SHA-256 digest, in lower-case hexadecimal, of the token
	// of its callers. While it is empty, no token is accepted.
	TokenSHA256 string `json:"token-sha256"`
}

// Limits of the fields of a contract.
const (
	maxNameLength   = 64
	maxBlocks       = 64
	maxSlots        = 100_000
	maxJobs         = 100_000
	maxAccelerators = 1_000_000
	maxClaimWindowS = 7 * 24 * 3600
	maxLeaseGraceS  = 24 * 3600
	digestLength    = 64
)

// Classes returns the priority classes from the most to the least urgent.
func Classes() []string {
	return []string{"urgent", "normal", "batch"}
}

// WithRevision returns a copy of c with the given revision.
func (c Contract) WithRevision(n uint64) Contract {
	c.Revision = n
	return c
}

// WithGuarantee returns a copy of c that guarantees the given blocks.
func (c Contract) WithGuarantee(blocks ...Block) Contract {
	c.Guarantee = slices.Clone(blocks)
	return c
}

// WithLeaseGrace returns a copy of c with the given lease grace period, in
// seconds.
func (c Contract) WithLeaseGrace(seconds int) Contract {
	c.LeaseGraceS = seconds
	return c
}

// AllowsClass reports whether the organisation may use the priority class.
func (c Contract) AllowsClass(class string) bool {
	return slices.Contains(c.Classes, class)
}

// GuaranteedTotal returns the resources of all guaranteed gangs together.
func (c Contract) GuaranteedTotal() shape.Resources {
	var sum shape.Resources
	for _, b := range c.Guarantee {
		sum = sum.Plus(b.Shape.Total().Times(b.Count))
	}
	return sum
}

// Check returns a *shape.FieldError for the first field whose value is not
// allowed, or nil if the contract is valid.
func (c Contract) Check() *shape.FieldError {
	if err := CheckName("organisation", c.Organisation); err != nil {
		return err
	}
	if len(c.Guarantee) > maxBlocks {
		return newFieldError("guarantee", "must have at most 64 blocks")
	}
	for _, b := range c.Guarantee {
		if b.Count < 1 || b.Count > shape.MaxTasks {
			return newFieldError("count", "must be from 1 to 256")
		}
		if err := b.Shape.Check(); err != nil {
			return err
		}
	}
	for _, class := range c.Classes {
		if !slices.Contains(Classes(), class) {
			return newFieldError("classes", `must be of "urgent", "normal", "batch"`)
		}
	}
	return c.checkLimits()
}

func (c Contract) checkLimits() *shape.FieldError {
	guaranteed := c.GuaranteedTotal().Accelerators
	switch {
	case len(c.Classes) == 0:
		return newFieldError("classes", "must name at least one class")
	case c.CeilingAccelerators < guaranteed || c.CeilingAccelerators > maxAccelerators:
		return newFieldError("ceiling-accelerators", "must be from the guaranteed sum to 1000000")
	case c.GuaranteedSlots < 0 || c.GuaranteedSlots > maxSlots:
		return newFieldError("guaranteed-slots", "must be from 0 to 100000")
	case c.CeilingSlots < max(1, c.GuaranteedSlots) || c.CeilingSlots > maxSlots:
		return newFieldError("ceiling-slots", "must be from guaranteed-slots, at least 1, to 100000")
	case c.MaxQueuedJobs < 0 || c.MaxQueuedJobs > maxJobs:
		return newFieldError("max-queued-jobs", "must be from 0 to 100000")
	case c.ClaimWindowS < 1 || c.ClaimWindowS > maxClaimWindowS:
		return newFieldError("claim-window-s", "must be from 1 to 604800")
	case c.LeaseGraceS < 0 || c.LeaseGraceS > maxLeaseGraceS:
		return newFieldError("hold-s", "must be from 0 to 86400")
	case !isDigest(c.TokenSHA256):
		return newFieldError("token-sha256", "must be 64 hexadecimal digits, or empty")
	}
	return nil
}

// CheckName returns a *shape.FieldError for the given field unless the name
// consists of 1 to 64 ASCII letters, digits, dots, dashes or underscores.
func CheckName(field, name string) *shape.FieldError {
	if name == "" || len(name) > maxNameLength {
		return newFieldError(field, "must have 1 to 64 characters")
	}
	for _, r := range name {
		if !isNameRune(r) {
			return newFieldError(field, "must have only letters, digits, dots, dashes and underscores")
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '-' || r == '_'
}

func isDigest(s string) bool {
	if s == "" {
		return true
	}
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return len(s) == digestLength
}

func newFieldError(field, problem string) *shape.FieldError {
	return &shape.FieldError{
		Field:   field,
		Problem: problem,
	}
}
