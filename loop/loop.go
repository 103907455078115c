// Package loop runs an event loop that owns the state of a process. One
// goroutine applies events to the state with a pure step function, publishes
// the new value and performs the effects. All other goroutines read the
// published value.
package loop

import (
	"context"
	"sync/atomic"
	"time"
)

// A Config describes a Loop with states S, events E and effects F.
type Config[S, E, F any] struct {
	// Initial is the state before the first event.
	Initial S
	// Step returns the state after an event and the effects to perform.
	Step func(s S, now time.Time, e E) (S, []F)
	// Perform carries out one effect. It must not block, since no event is
	// applied meanwhile.
	Perform func(f F)
	// Clock returns the current time.
	Clock func() time.Time
	// QueueLength is the number of events that can be queued.
	QueueLength int
}

// A Loop is an event loop that owns the state of a process.
type Loop[S, E, F any] struct {
	cfg    Config[S, E, F]
	events chan E
	state  atomic.Pointer[S]
}

// New returns a Loop; Run starts it.
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

// Post queues an event. If the queue is full, it waits until there is room or
// ctx ends, and then returns the context's error.
func (l *Loop[S, E, F]) Post(ctx context.Context, e E) error {
	select {
	case l.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPost queues an event without waiting and reports whether the queue had
// room.
func (l *Loop[S, E, F]) TryPost(e E) bool {
	select {
	case l.events <- e:
		return true
	default:
		return false
	}
}

// Run applies queued events in order until ctx ends.
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

// Tick calls event once each period and posts the result, until ctx ends.
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
