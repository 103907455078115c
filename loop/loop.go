// Package loop runs the control state of a process: one goroutine owns the
// state, applies events to it with a pure step, publishes the new value and
// hands out the effects. Every other goroutine reads the published value.
package loop

import (
	"context"
	"sync/atomic"
	"time"
)

// A Config describes a Loop over a state S, events E and effects F.
type Config[S, E, F any] struct {
	// Initial is the state before the first event.
	Initial S
	// Step returns the state after an event and the effects to perform.
	Step func(s S, now time.Time, e E) (S, []F)
	// Perform carries out one effect. It must not block.
	Perform func(f F)
	// Clock returns the present time.
	Clock func() time.Time
	// QueueLength is the number of events that may wait.
	QueueLength int
}

// A Loop owns a control state.
type Loop[S, E, F any] struct {
	cfg    Config[S, E, F]
	events chan E
	state  atomic.Pointer[S]
}

// New returns a Loop that is not yet running.
func New[S, E, F any](cfg Config[S, E, F]) *Loop[S, E, F] {
	l := &Loop[S, E, F]{
		cfg:    cfg,
		events: make(chan E, cfg.QueueLength),
	}
	l.state.Store(&cfg.Initial)
	return l
}

// State returns the last published state.
func (l *Loop[S, E, F]) State() S {
	return *l.state.Load()
}

// Post queues an event and waits for room until ctx ends. It returns the
// context's error if the event was not queued.
func (l *Loop[S, E, F]) Post(ctx context.Context, e E) error {
	select {
	case l.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPost queues an event if there is room and reports whether it did.
func (l *Loop[S, E, F]) TryPost(e E) bool {
	select {
	case l.events <- e:
		return true
	default:
		return false
	}
}

// Run applies events until ctx ends.
func (l *Loop[S, E, F]) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.apply(e)
		}
	}
}

func (l *Loop[S, E, F]) apply(e E) {
	next, effects := l.cfg.Step(l.State(), l.cfg.Clock(), e)
	l.state.Store(&next)
	for _, f := range effects {
		l.cfg.Perform(f)
	}
}

// Tick posts the event that make returns, once each period, until ctx ends.
func (l *Loop[S, E, F]) Tick(ctx context.Context, period time.Duration, event func() E) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			_ = l.Post(ctx, event())
		}
	}
}
