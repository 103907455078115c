package gateway

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/plantainladder/plantainladder/control"
)

// PendingRequests pair the answers of the control state with the goroutines that wait
// for them.
type PendingRequests struct {
	lastToken atomic.Uint64
	waiters   sync.Map
}

// NewPendingRequests returns an empty set of tickets.
func NewPendingRequests() *PendingRequests {
	return &PendingRequests{}
}

// Answer hands an answer to whoever waits for it.
func (p *PendingRequests) Answer(token uint64, a control.Answer) {
	if ch, ok := p.waiters.LoadAndDelete(token); ok {
		ch.(chan control.Answer) <- a
	}
}

// PostAndWait posts the event that make returns for a new token and waits for its
// answer until ctx ends; then the answer is OutcomeUnknown.
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
