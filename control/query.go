package control

import (
	"time"

	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/minion"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/shape"
)

// GatewayState is the version of a gateway's view (contracts and data centres)
// and its lease, as the leader knows them.
type GatewayState struct {
	// Name is the gateway's name.
	Name string
	// Index is the log index of the view that it last reported.
	Index uint64
	// LeaseExpiry is when the gateway stops acting on that view unless
	// it gets another poll reply.
	LeaseExpiry time.Time
}

// Gateways returns the gateways with valid leases in the order of their names.
func (c Core) Gateways(now time.Time) []GatewayState {
	if c.leadership == nil {
		return nil
	}
	var list []GatewayState
	for itr := c.leadership.gateways.Iterator(); !itr.Done(); {
		name, g, _ := itr.Next()
		if now.Before(g.leaseExpiry) {
			list = append(list, GatewayState{
				Name:        name,
				Index:       g.index,
				LeaseExpiry: g.leaseExpiry,
			})
		}
	}
	return list
}

// GatewaysBehind returns the names of the gateways that may still act on a view
// older than index. For the length of a lease after its election, a leader adds
// the entry "unheard gateways" for gateways that it has not heard from, since
// the previous leader may have granted leases to them.
func (c Core) GatewaysBehind(now time.Time, index uint64) []string {
	if c.leadership == nil {
		return nil
	}
	var names []string
	if now.Before(c.leadership.since.Add(lease.ViewDuration + lease.DriftMargin)) {
		names = append(names, "unheard gateways")
	}
	for _, g := range c.Gateways(now) {
		if g.Index < index {
			names = append(names, g.Name)
		}
	}
	return names
}

// Minions returns the minions whose announcements have not expired.
func (c Core) Minions(now time.Time) []minion.Minion {
	if c.leadership == nil {
		return nil
	}
	return c.leadership.minions.WithoutExpired(now).All()
}

// IsWorkerReachable reports whether a worker's last contact is recent enough for
// new tasks.
func (c Core) IsWorkerReachable(now time.Time, name string) bool {
	return c.leadership != nil && c.leadership.isReachable(now, name)
}

// WaitReason returns why a queued job waits according to the last scheduling
// plan, or "" if the plan gave no reason.
func (c Core) WaitReason(id string) string {
	if c.leadership == nil {
		return ""
	}
	return string(c.leadership.waitReasons[id])
}

// Used returns the resources that tasks hold on each worker.
func (c Core) Used() map[string]shape.Resources {
	m := map[string]shape.Resources{}
	for _, u := range schedule.AllocationsOfJobs(c.state.ActiveJobs()) {
		m[u.Worker] = m[u.Worker].Plus(u.PerTask)
	}
	return m
}

// Fragmentation returns the fragmentation of free capacity in each data centre
// that is in service.
func (c Core) Fragmentation(now time.Time) []schedule.Fragmentation {
	if c.leadership == nil {
		return nil
	}
	rc := &reconciler{
		core: c,
		now:  now,
	}
	return rc.planInput(c.state.ActiveJobs()).Fleet.Fragmentation()
}
