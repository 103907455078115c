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
	core     func() control.Core
	send     func(m control.SendMessage)
	lastTick atomic.Pointer[appliedTick]
}

// appliedTick is a tick that the event loop has applied.
type appliedTick struct {
	at time.Time
	// inTimeAt is when the last tick was applied that was not late.
	inTimeAt time.Time
}

func newKeeper(now time.Time, core func() control.Core, send func(m control.SendMessage)) *keeper {
	k := &keeper{
		core: core,
		send: send,
	}
	k.lastTick.Store(&appliedTick{
		at:       now,
		inTimeAt: now,
	})
	return k
}

// recordTick records that the event loop has applied a tick. Only the event loop calls it.
func (k *keeper) recordTick(now time.Time) {
	last := k.lastTick.Load()
	next := appliedTick{
		at:       now,
		inTimeAt: last.inTimeAt,
	}
	if now.Sub(last.at) <= maxTickAge {
		next.inTimeAt = now
	}
	k.lastTick.Store(&next)
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

// sendDue sends a message to each member if the event loop is late, but not for too long: a
// loop whose ticks all come late must not keep its office for good either.
func (k *keeper) sendDue(now time.Time) {
	last := k.lastTick.Load()
	if now.Sub(last.at) <= maxTickAge || now.Sub(last.inTimeAt) > maxLateness {
		return
	}
	for _, m := range k.core().KeepAlives() {
		k.send(m)
	}
}
