package dispatch

import "time"

// InventoryRead reports a reading of the platform's inventory of machines. It
// tells workers that have ended, whose runs can be placed again at once, from
// workers that cannot be reached, whose runs may go on.
type InventoryRead struct {
	// StartedAt is when the reading began, on the leader's clock.
	StartedAt time.Time
	// IsComplete is true if the whole inventory was read.
	IsComplete bool
	// Running holds the IDs of the workers on machines that are up.
	Running map[string]bool
}

func (InventoryRead) observation() {}

const (
	// inventoryLag is how far the inventory may lag behind the machines: a worker
	// that was heard from later than that before a reading may be missing in it.
	inventoryLag = time.Second
	// inventoryInterval is the least time between the starts of two readings.
	inventoryInterval = 250 * time.Millisecond
	// inventoryRecheckInterval is the same while the last reading has listed all
	// workers that are missed.
	inventoryRecheckInterval = time.Second
	// inventoryRefreshInterval is the same while all workers with runs answer.
	inventoryRefreshInterval = 5 * time.Second
	// inventoryTimeout is the time after which a reading counts as lost.
	inventoryTimeout = 5 * time.Second
)

// An inventory is what the dispatcher knows about its readings of the inventory.
type inventory struct {
	// isReading is true from the request for a reading to its result.
	isReading bool
	// requestedAt is when the last reading was requested.
	requestedAt time.Time
	// running is the result of the last complete reading.
	running map[string]bool
}

// withInventory returns d after a reading of the inventory. A worker that an
// earlier reading listed has ended once two successive complete readings lack
// it: in a single one it may be missing because entries moved between its pages.
func (d Dispatcher) withInventory(now time.Time, r InventoryRead) Dispatcher {
	before := d.inventory.running
	d.inventory.isReading = false
	d.isDirty = true
	if !r.IsComplete {
		return d
	}
	d.inventory.running = r.Running
	for itr := d.views.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		v := p.withInventory(r, before[id])
		if !v.isChanged {
			continue
		}
		if v.hasEnded {
			d = d.withDecisionRecord(DecisionRecord{
				Text:   "Worker is missing in the platform's inventory of machines.",
				Worker: v.worker.ID,
				Reason: string(reasonWorkerMissing),
				Age:    now.Sub(v.lastContact),
			})
		}
		d = d.withView(v)
	}
	return d
}

// withInventory returns v after a complete reading; wasListed is true if the one
// before listed the worker.
func (v workerView) withInventory(r InventoryRead, wasListed bool) workerView {
	v.isChanged = false
	isListed := r.Running[v.worker.ID]
	mayLag := !v.lastContact.Before(r.StartedAt.Add(-inventoryLag))
	switch {
	case v.hasEnded:
	case isListed && (!v.isListed || !v.missingSince.IsZero()):
		v.isListed, v.missingSince = true, time.Time{}
		v.isChanged = true
	case isListed || !v.isListed && !wasListed || mayLag:
	case v.missingSince.IsZero():
		v.isListed, v.missingSince = true, r.StartedAt
		v.isChanged = true
	default:
		v.hasEnded = true
		v.isChanged = true
	}
	return v
}

// isMissed reports whether a worker with runs does not answer, so that it matters
// whether it has ended.
func (s *reconciliation) isMissed(v workerView) bool {
	return v.unanswered > 0 && !v.hasEnded && len(s.index.placedByWorker[v.worker.ID]) > 0
}

// requestInventory requests a reading of the inventory if one is due.
func (s *reconciliation) requestInventory() {
	x := s.dispatcher.inventory
	since := s.now.Sub(x.requestedAt)
	if !s.dispatcher.cfg.HasInventory || since < inventoryInterval || x.isReading && since < inventoryTimeout || since < s.inventoryWait() {
		return
	}
	x.isReading, x.requestedAt = true, s.now
	s.dispatcher.inventory = x
	s.plan.ReadsInventory = true
}

// inventoryWait returns the time between the last reading and the next.
func (s *reconciliation) inventoryWait() time.Duration {
	wait := inventoryRefreshInterval
	for itr := s.dispatcher.views.Iterator(); !itr.Done(); {
		_, v, _ := itr.Next()
		if !s.isMissed(*v) {
			continue
		}
		isNew := v.lastContact.Add(inventoryLag).After(s.dispatcher.inventory.requestedAt)
		if isNew || !v.missingSince.IsZero() {
			return inventoryInterval
		}
		wait = inventoryRecheckInterval
	}
	return wait
}
