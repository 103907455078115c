// Package contract holds the aggregate of an organisation's contract, from
// which every limit that the system applies follows.
package contract

import (
	"slices"

	"github.com/plantainladder/plantainladder/shape"
)

// A Block is a guaranteed shape, several times over.
type Block struct {
	// Count is how many such shapes are guaranteed.
	Count int `json:"count"`
	// Shape is the guaranteed shape.
	Shape shape.Shape `json:"shape"`
}

// A Contract is what one organisation is promised and bound to.
type Contract struct {
	// Organisation is the organisation's name.
	Organisation string `json:"organisation"`
	// Revision counts the accepted edits, starting at 1.
	Revision uint64 `json:"revision"`
	// Guarantee lists the shapes that the organisation can always reclaim.
	Guarantee []Block `json:"guarantee"`
	// CeilingAccelerators bounds the accelerators in use at once.
	CeilingAccelerators int `json:"ceiling-accelerators"`
	// GuaranteedSlots is the number of minion slots that it can always reclaim.
	GuaranteedSlots int `json:"guaranteed-slots"`
	// CeilingSlots bounds its requests in flight at once.
	CeilingSlots int `json:"ceiling-slots"`
	// MaxQueuedJobs bounds its jobs that have not ended.
	MaxQueuedJobs int `json:"max-queued-jobs"`
	// ClaimWindowS is how long, in seconds, the outcome of a non-idempotent
	// request is kept.
	ClaimWindowS int `json:"claim-window-s"`
	// LeaseGraceS is how long, in seconds, its running tasks go on after the lease of
	// a worker that hears nothing has run out. Until then they are not replaced.
	LeaseGraceS int `json:"hold-s"`
	// Classes lists the classes that it may use: "urgent", "normal", "batch".
	Classes []string `json:"classes"`
	// TokenSHA256 is the hexadecimal digest of its callers' token.
	TokenSHA256 string `json:"token-sha256"`
}

// Bounds of a contract's fields.
const (
	maxName         = 64
	maxBlocks       = 64
	maxSlots        = 100_000
	maxJobs         = 100_000
	maxAccelerators = 1_000_000
	maxClaimWindowS = 7 * 24 * 3600
	maxHoldS        = 24 * 3600
	digestLength    = 64
)

// Classes lists the known classes from the most to the least pressing.
func Classes() []string {
	return []string{"urgent", "normal", "batch"}
}

// WithRevision returns c at another revision.
func (c Contract) WithRevision(n uint64) Contract {
	c.Revision = n
	return c
}

// WithGuarantee returns c with other guaranteed blocks.
func (c Contract) WithGuarantee(blocks ...Block) Contract {
	c.Guarantee = slices.Clone(blocks)
	return c
}

// WithLeaseGrace returns c with another hold, in seconds.
func (c Contract) WithLeaseGrace(seconds int) Contract {
	c.LeaseGraceS = seconds
	return c
}

// AllowsClass reports whether the organisation may use a class.
func (c Contract) AllowsClass(class string) bool {
	return slices.Contains(c.Classes, class)
}

// GuaranteedTotal returns the sum of the guaranteed shapes.
func (c Contract) GuaranteedTotal() shape.Resources {
	var sum shape.Resources
	for _, b := range c.Guarantee {
		sum = sum.Plus(b.Shape.Total().Times(b.Count))
	}
	return sum
}

// Check returns a *shape.FieldError for the first field that is out of bounds,
// nil for none.
func (c Contract) Check() *shape.FieldError {
	if err := CheckName("organisation", c.Organisation); err != nil {
		return err
	}
	if len(c.Guarantee) > maxBlocks {
		return fieldError("guarantee", "must have at most 64 blocks")
	}
	for _, b := range c.Guarantee {
		if b.Count < 1 || b.Count > shape.MaxTasks {
			return fieldError("count", "must be from 1 to 256")
		}
		if err := b.Shape.Check(); err != nil {
			return err
		}
	}
	for _, class := range c.Classes {
		if !slices.Contains(Classes(), class) {
			return fieldError("classes", `must be of "urgent", "normal", "batch"`)
		}
	}
	return c.checkNumbers()
}

func (c Contract) checkNumbers() *shape.FieldError {
	guaranteed := c.GuaranteedTotal().Accelerators
	switch {
	case len(c.Classes) == 0:
		return fieldError("classes", "must name at least one class")
	case c.CeilingAccelerators < guaranteed || c.CeilingAccelerators > maxAccelerators:
		return fieldError("ceiling-accelerators", "must be from the guaranteed sum to 1000000")
	case c.GuaranteedSlots < 0 || c.GuaranteedSlots > maxSlots:
		return fieldError("guaranteed-slots", "must be from 0 to 100000")
	case c.CeilingSlots < max(1, c.GuaranteedSlots) || c.CeilingSlots > maxSlots:
		return fieldError("ceiling-slots", "must be from guaranteed-slots, at least 1, to 100000")
	case c.MaxQueuedJobs < 0 || c.MaxQueuedJobs > maxJobs:
		return fieldError("max-queued-jobs", "must be from 0 to 100000")
	case c.ClaimWindowS < 1 || c.ClaimWindowS > maxClaimWindowS:
		return fieldError("claim-window-s", "must be from 1 to 604800")
	case c.LeaseGraceS < 0 || c.LeaseGraceS > maxHoldS:
		return fieldError("hold-s", "must be from 0 to 86400")
	case !isDigest(c.TokenSHA256):
		return fieldError("token-sha256", "must be 64 hexadecimal digits, or empty")
	}
	return nil
}

// CheckName returns a *shape.FieldError unless the name has 1 to 64 letters,
// digits, dots, dashes or underscores.
func CheckName(field, name string) *shape.FieldError {
	if name == "" || len(name) > maxName {
		return fieldError(field, "must have 1 to 64 characters")
	}
	for _, r := range name {
		if !isNameRune(r) {
			return fieldError(field, "must have only letters, digits, dots, dashes and underscores")
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

func fieldError(field, problem string) *shape.FieldError {
	return &shape.FieldError{
		Field:   field,
		Problem: problem,
	}
}
