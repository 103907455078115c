package gateway

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/plantainladder/plantainladder/control"
)

// PendingRequests matches answers of the controller's core with the goroutines
// that wait for them. Each request has a token that its answer carries.
type PendingRequests struct {
	lastToken atomic.Uint64
	// waiters maps tokens to channels of control.Answer.
	waiters sync.Map
}

// NewPendingRequests returns an empty PendingRequests.
func NewPendingRequests() *PendingRequests {
	return &PendingRequests{}
}

// Answer delivers an answer to the goroutine that waits for the token. It drops the
// answer if none waits any more.
func (p *PendingRequests) Answer(token uint64, a control.Answer) {
	if ch, ok := p.waiters.LoadAndDelete(token); ok {
		ch.(chan control.Answer) <- a
	}
}

// PostAndWait posts the event that newEvent returns for a new token and waits for
// its answer. It returns Busy if the event could not be posted, and
// OutcomeUnknown if ctx ends before the answer arrives.
func (p *PendingRequests) PostAndWait(ctx context.Context, post func(ctx context.Context, e control.Event) error, newEvent func(token uint64) control.Event) control.Answer {
	token := p.lastToken.Add(1)
	ch := make(chan control.Answer, 1)
	p.waiters.Store(token, ch)
	defer p.waiters.Delete(token)
	if err := post(ctx, newEvent(token)); err != nil {
		return control.Busy{}
	}
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
		return control.OutcomeUnknown{}
	}
}
