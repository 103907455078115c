package node

import (
	"context"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
)

// A syncReporter passes what became durable last, or whether the disk is full, from the
// disk writer to the event loop. The writer must not wait for the loop, which waits for
// the writer while the writer's queue is full.
type syncReporter[T any] struct {
	// latest holds the last value that was not reported yet.
	latest chan T
}

func newSyncReporter[T any]() syncReporter[T] {
	return syncReporter[T]{
		latest: make(chan T, 1),
	}
}

// report replaces the value to report. It does not block; only the disk writer may
// call it.
func (s syncReporter[T]) report(v T) {
	select {
	case <-s.latest:
	default:
	}
	s.latest <- v
}

// run posts an event for each value until ctx ends.
func (s syncReporter[T]) run(ctx context.Context, post func(ctx context.Context, e control.Event) error, toEvent func(v T) control.Event) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-s.latest:
			_ = post(ctx, toEvent(v))
		}
	}
}

func entriesSynced(e consensus.Entry) control.Event {
	return control.EntriesSynced{
		Index: e.Index,
		Term:  e.Term,
	}
}

func hardStateSynced(hard consensus.HardState) control.Event {
	return control.HardStateSynced{
		Hard: hard,
	}
}

func diskFullChanged(isFull bool) control.Event {
	return control.DiskFullChanged{
		IsFull: isFull,
	}
}
