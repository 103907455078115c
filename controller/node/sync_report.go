package node

import (
	"context"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
)

// A syncReporter passes the last durable entry from the disk writer to the event
// loop. The writer must not wait for the loop, which waits for the writer while
// the writer's queue is full.
type syncReporter struct {
	// latest holds the last entry that was not reported yet.
	latest chan consensus.Entry
}

func newSyncReporter() syncReporter {
	return syncReporter{
		latest: make(chan consensus.Entry, 1),
	}
}

// report replaces the entry to report. It does not block; only the disk writer may
// call it.
func (s syncReporter) report(e consensus.Entry) {
	select {
	case <-s.latest:
	default:
	}
	s.latest <- e
}

// run posts the entries until ctx ends.
func (s syncReporter) run(ctx context.Context, post func(ctx context.Context, e control.Event) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.latest:
			_ = post(ctx, control.EntriesSynced{
				Index: e.Index,
				Term:  e.Term,
			})
		}
	}
}
