package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainladder/plantainladder/control"
)

const (
	// maxTickAge is how old the last tick may be before an event loop is late.
	maxTickAge = heartbeatInterval + tickInterval
	// maxLateness is how long a leader whose event loop is late keeps its office.
	maxLateness = 4 * electionTimeout
)

// A keeper sends the members of the group messages in the place of a leader whose event
// loop is late, so that they do not elect another one, whose loop may become late as well.
type keeper struct {
	core func() control.Core
	send func(m control.SendMessage)
	// tickedAt is when the event loop last applied a tick.
	tickedAt atomic.Pointer[time.Time]
}

func newKeeper(now time.Time, core func() control.Core, send func(m control.SendMessage)) *keeper {
	k := &keeper{
		core: core,
		send: send,
	}
	k.recordTick(now)
	return k
}

func (k *keeper) recordTick(now time.Time) {
	k.tickedAt.Store(&now)
}

// run sends the messages until ctx ends.
func (k *keeper) run(ctx context.Context, clock func() time.Time) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.sendDue(clock())
		}
	}
}

// sendDue sends a message to each member if the event loop is late, but not for too long.
func (k *keeper) sendDue(now time.Time) {
	late := now.Sub(*k.tickedAt.Load())
	if late <= maxTickAge || late > maxLateness {
		return
	}
	for _, m := range k.core().KeepAlives() {
		k.send(m)
	}
}
