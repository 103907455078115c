package configuration

import "slices"

// An Organisation is a customer with its tokens and its guarantee.
type Organisation struct {
	// Name is the organisation's name.
	Name string `json:"name"`
	// Tokens holds the tokens that its callers may show.
	Tokens []string `json:"tokens"`
	// GuaranteedAccelerators belong to the organisation's urgent workflows at
	// all times.
	GuaranteedAccelerators int `json:"guaranteed-accelerators"`
}

// HasToken reports whether a token is one of the organisation's.
func (o Organisation) HasToken(token string) bool {
	return slices.Contains(o.Tokens, token)
}
