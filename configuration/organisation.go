package configuration

import "slices"

// An Organisation is a customer that submits workflows.
type Organisation struct {
	// Name is the organisation's name.
	Name string `json:"name"`
	// Tokens lists the tokens with which its callers authenticate.
	Tokens []string `json:"tokens"`
	// GuaranteedAccelerators is the number of accelerators that the urgent
	// workflows of the organisation can use at any time.
	GuaranteedAccelerators int `json:"guaranteed-accelerators"`
}

// HasToken reports whether the token is one of the organisation's.
func (o Organisation) HasToken(token string) bool {
	return slices.Contains(o.Tokens, token)
}
