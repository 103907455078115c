package control

import (
	"time"

	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/minion"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/shape"
)

// A GatewayState is what the leader knows of a gateway.
type GatewayState struct {
	// Name is the gateway's name.
	Name string
	// Index is the version of the configuration that it last had.
	Index uint64
	// Until is when it can act on that version no more without another answer.
	LeaseExpiry time.Time
}

// Gateways returns the gateways whose leases are out.
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

// Behind returns the gateways that may still act on a version older than
// index. A leader that began less than a lease ago adds "unheard gateways",
// since the leader before it may have given leases.
func (c Core) Behind(now time.Time, index uint64) []string {
	if c.leadership == nil {
		return nil
	}
	var names []string
	if now.Before(c.leadership.since.Add(lease.View + lease.DriftMargin)) {
		names = append(names, "unheard gateways")
	}
	for _, g := range c.Gateways(now) {
		if g.Index < index {
			names = append(names, g.Name)
		}
	}
	return names
}

// Minions returns the live minions.
func (c Core) Minions(now time.Time) []minion.Minion {
	if c.leadership == nil {
		return nil
	}
	return c.leadership.minions.WithoutExpired(now).All()
}

// IsWorkerAlive reports whether a worker may still be running tasks.
func (c Core) IsWorkerReachable(now time.Time, name string) bool {
	return c.leadership != nil && c.leadership.isReachable(now, name)
}

// WaitingFor returns what a queued job waits for, empty if the last plan did
// not say.
func (c Core) WaitReason(id string) string {
	if c.leadership == nil {
		return ""
	}
	return string(c.leadership.waitReasons[id])
}

// Used returns what tasks hold on each worker.
func (c Core) Used() map[string]shape.Resources {
	m := map[string]shape.Resources{}
	for _, u := range schedule.UsesOfJobs(c.state.ActiveJobs()) {
		m[u.Worker] = m[u.Worker].Plus(u.Each)
	}
	return m
}

// Fragmentation returns the measure of each data centre in service.
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
