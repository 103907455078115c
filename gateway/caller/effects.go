// Package caller speaks to callers: it takes their requests and jobs and
// answers with the whole answer, a true "not run", or "unknown".
package caller

import (
	"sync"
	"sync/atomic"

	"github.com/plantainladder/plantainladder/admission"
)

// A EffectRouter pairs the effects of the control state with the requests that they
// are for.
type EffectRouter struct {
	last    atomic.Uint64
	waiting sync.Map
}

// slots of a request's channel: a start, a refusal and a revocation at most.
const effectsPerRequest = 4

// NewEffectRouter returns a desk without requests.
func NewEffectRouter() *EffectRouter {
	return &EffectRouter{}
}

// open returns a new token and the channel of its effects.
func (d *EffectRouter) open() (token uint64, effects <-chan admission.Effect) {
	token = d.last.Add(1)
	ch := make(chan admission.Effect, effectsPerRequest)
	d.waiting.Store(token, ch)
	return token, ch
}

func (d *EffectRouter) close(token uint64) {
	d.waiting.Delete(token)
}

// Perform hands an effect to its request.
func (d *EffectRouter) Perform(f admission.Effect) {
	var token uint64
	switch f := f.(type) {
	case admission.Start:
		token = f.Token
	case admission.Refuse:
		token = f.Token
	case admission.Revoke:
		token = f.Token
	}
	ch, ok := d.waiting.Load(token)
	if !ok {
		return
	}
	select {
	case ch.(chan admission.Effect) <- f:
	default:
	}
}
