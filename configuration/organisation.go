package configuration

import (
	"fmt"
	"math"
	"slices"

	"github.com/plantainladder/plantainladder/pool"
)

// An Organisation is a customer that submits workflows.
type Organisation struct {
	// Name is the organisation's name.
	Name string `json:"name"`
	// Tokens lists the tokens with which its callers authenticate.
	Tokens []string `json:"tokens"`
	// GuaranteedAccelerators is the number of accelerators that the urgent
	// workflows of the organisation can use at any time.
	GuaranteedAccelerators int `json:"guaranteed-accelerators"`
	// Weight is the organisation's share, relative to those of others, while the work
	// of all does not fit; zero if it is not set. Documents of earlier versions lack it
	// and the limit.
	Weight float64 `json:"weight,omitempty"`
	// Limit is what the organisation may have running on all workers together. A
	// component of 0 means that the resource is not limited.
	Limit pool.ResourceVector `json:"limit,omitzero"`
}

// HasToken reports whether the token is one of the organisation's.
func (o Organisation) HasToken(token string) bool {
	return slices.Contains(o.Tokens, token)
}

// maxLimit bounds each component of a limit.
var maxLimit = pool.ResourceVector{
	MilliCores:   pool.MaxLimitAmount,
	MemoryMB:     pool.MaxLimitAmount,
	Accelerators: pool.MaxLimitAmount,
}

// faults returns the reasons for which the organisation, which has an index in its list, is
// refused.
func (o Organisation) faults(index int) (faults []Finding) {
	report := func(field, problem string) {
		faults = append(faults, newFinding(SeverityError, ListOrganisations, index, o.Name, field, problem))
	}
	if o.Name == "" {
		report("name", "must not be empty")
	}
	if o.Weight < 0 || math.IsNaN(o.Weight) || math.IsInf(o.Weight, 0) {
		report("weight", fmt.Sprintf("%q has the weight %v, which is not a finite number from 0", o.Name, o.Weight))
	}
	if o.Limit.IsNegative() || !o.Limit.FitsIn(maxLimit) {
		report("limit", fmt.Sprintf("%q has a limit with amounts that are not from 0 to %d", o.Name, pool.MaxLimitAmount))
	}
	return faults
}
