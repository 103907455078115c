// Package caller handles the requests and jobs of callers. A request ends with its
// complete answer, with the assurance that it did not run, or as unknown.
package caller

import (
	"sync"
	"sync/atomic"

	"github.com/plantainladder/plantainladder/admission"
)

// An EffectRouter passes the effects of the gateway's state to the requests that
// they concern. It is safe for concurrent use.
type EffectRouter struct {
	lastToken atomic.Uint64
	channels  sync.Map
}

// effectsPerRequest is the capacity of a request's channel. A request gets at most
// a start, a refusal and a revocation.
const effectsPerRequest = 4

// NewEffectRouter returns a router without requests.
func NewEffectRouter() *EffectRouter {
	return &EffectRouter{}
}

// subscribe returns a new token and the channel of the effects for it.
func (r *EffectRouter) subscribe() (token uint64, effects <-chan admission.Effect) {
	token = r.lastToken.Add(1)
	ch := make(chan admission.Effect, effectsPerRequest)
	r.channels.Store(token, ch)
	return token, ch
}

func (r *EffectRouter) unsubscribe(token uint64) {
	r.channels.Delete(token)
}

// Perform passes an effect to its request. It drops the effect if the request no
// longer exists.
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
