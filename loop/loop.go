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
	// Observe is called after each event with the time that it took; nil for none. It
	// must not block.
	Observe func(t Timing[E, F])
}

// A Timing is the time that an event took.
type Timing[E, F any] struct {
	// Event is the event.
	Event E
	// EndedAt is when its last effect was performed.
	EndedAt time.Time
	// Waited is how long it waited in the queue, Step how long the step function took,
	// and Perform how long all effects took.
	Waited, Step, Perform time.Duration
	// Effects is the number of effects. Slowest is the one that took the longest, for
	// SlowestTook; there is none if Effects is zero.
	Effects     int
	Slowest     F
	SlowestTook time.Duration
	// Queued is the number of events that wait after it.
	Queued int
}

// queuedEvent is an event with the time at which it was queued.
type queuedEvent[E any] struct {
	event    E
	queuedAt time.Time
}

// A Loop is an event loop that owns the state of a process.
type Loop[S, E, F any] struct {
	cfg    Config[S, E, F]
	events chan queuedEvent[E]
	state  atomic.Pointer[S]
}

// New returns a Loop; Run starts it.
func New[S, E, F any](cfg Config[S, E, F]) *Loop[S, E, F] {
	l := &Loop[S, E, F]{
		cfg:    cfg,
		events: make(chan queuedEvent[E], cfg.QueueLength),
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
	case l.events <- l.queued(e):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPost queues an event without waiting and reports whether the queue had
// room.
func (l *Loop[S, E, F]) TryPost(e E) bool {
	select {
	case l.events <- l.queued(e):
		return true
	default:
		return false
	}
}

func (l *Loop[S, E, F]) queued(e E) queuedEvent[E] {
	return queuedEvent[E]{
		event:    e,
		queuedAt: l.cfg.Clock(),
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

func (l *Loop[S, E, F]) apply(e queuedEvent[E]) {
	startedAt := l.cfg.Clock()
	next, effects := l.cfg.Step(l.State(), startedAt, e.event)
	l.state.Store(&next)
	if l.cfg.Observe == nil {
		for _, f := range effects {
			l.cfg.Perform(f)
		}
		return
	}
	performedAt := l.cfg.Clock()
	t := Timing[E, F]{
		Event:   e.event,
		EndedAt: performedAt,
		Waited:  startedAt.Sub(e.queuedAt),
		Step:    performedAt.Sub(startedAt),
		Effects: len(effects),
	}
	for _, f := range effects {
		l.cfg.Perform(f)
		t = t.withEffect(f, l.cfg.Clock())
	}
	t.Perform = t.EndedAt.Sub(performedAt)
	t.Queued = len(l.events)
	l.cfg.Observe(t)
}

// withEffect returns t with an effect that was performed until now.
func (t Timing[E, F]) withEffect(f F, now time.Time) Timing[E, F] {
	if took := now.Sub(t.EndedAt); took >= t.SlowestTook {
		t.Slowest, t.SlowestTook = f, took
	}
	t.EndedAt = now
	return t
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
