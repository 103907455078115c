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
	lastToken atomic.Uint64
	channels  sync.Map
}

// slots of a request's channel: a start, a refusal and a revocation at most.
const effectsPerRequest = 4

// NewEffectRouter returns a desk without requests.
func NewEffectRouter() *EffectRouter {
	return &EffectRouter{}
}

// open returns a new token and the channel of its effects.
func (r *EffectRouter) subscribe() (token uint64, effects <-chan admission.Effect) {
	token = r.lastToken.Add(1)
	ch := make(chan admission.Effect, effectsPerRequest)
	r.channels.Store(token, ch)
	return token, ch
}

func (r *EffectRouter) unsubscribe(token uint64) {
	r.channels.Delete(token)
}

// Perform hands an effect to its request.
func (r *EffectRouter) Perform(f admission.Effect) {
	var token uint64
	switch f := f.(type) {
	case admission.Start:
		token = f.Token
	case admission.Refuse:
		token = f.Token
	case admission.Revoke:
		token = f.Token
	}
	ch, ok := r.channels.Load(token)
	if !ok {
		return
	}
	select {
	case ch.(chan admission.Effect) <- f:
	default:
	}
}
