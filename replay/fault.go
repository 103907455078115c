package replay

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A Fault is a failure mode that is injected into a simulated worker for a time.
type Fault struct {
	// From and Until are when the fault begins and ends, in simulated time.
	From, Until time.Duration
	// Partitioned is true if the worker's network drops all messages in both
	// directions.
	Partitioned bool
	// LosesOrders is true if orders do not reach the worker, although its
	// announcements arrive.
	LosesOrders bool
	// Hangs is true if tasks on the worker make no progress.
	Hangs bool
	// Fails is true if every task fails half a second after its start.
	Fails bool
	// SlowFactor multiplies the run time of tasks; zero leaves it unchanged.
	SlowFactor float64
	// DelayedShare is the share of orders that are handled seconds late and not
	// answered, from 0 to 1.
	DelayedShare float64
	// DelayedAnnouncements is the share of announcements, from 0 to 1, that arrive
	// seconds late and that the worker sends again in time.
	DelayedAnnouncements float64
	// LosesAnnouncements is true if the worker's announcements are lost, although
	// orders reach it and are answered.
	LosesAnnouncements bool
	// Capacity, if it is not zero, is the worker's capacity during the fault, which
	// has no other effect then.
	Capacity pool.ResourceVector
	// Restarts is true if the worker's process restarts at Until and loses its
	// state.
	Restarts bool
	// Crashes is true if the worker's process crashes at From and is back at Until
	// as its next incarnation.
	Crashes bool
	// IsSilent is true if connections to the worker hang while it is down after a
	// crash, as to a machine without power. Otherwise they are refused.
	IsSilent bool
	// Leaves is true if the worker announces at From that it leaves, and shuts
	// down at Until, or restarts then if Restarts is true as well.
	Leaves bool
	// ReplacedAfter, if it is positive, is how long after Until another worker,
	// with an identifier of its own, sends its first announcement from this
	// worker's address. This worker fails at From.
	ReplacedAfter time.Duration
}

// InjectFault injects a fault into a worker.
func (sim *Simulation) InjectFault(id string, f Fault) {
	s := sim.workersByID[id]
	if f.Capacity != (pool.ResourceVector{}) {
		// The worker may have another fault at the same time.
		sim.scheduleAt(f.From, func(now time.Duration) { s.setCapacity(now, f.Capacity) })
		sim.scheduleAt(f.Until, func(now time.Duration) { s.setCapacity(now, sim.cfg.Capacity) })
		return
	}
	s.faults = append(s.faults, f)
	if f.Restarts {
		sim.scheduleAt(f.Until, s.restart)
	}
	if f.Crashes {
		sim.scheduleAt(f.From, func(now time.Duration) {
			s.crash(now, workflow.RunKey{}, NextIncarnation{
				After: f.Until - f.From,
			})
		})
	}
	if f.Leaves {
		sim.scheduleAt(f.From, func(time.Duration) { s.announced.Leaving = true })
		if !f.Restarts {
			sim.scheduleAt(f.Until, s.shutDown)
		}
	}
	if f.ReplacedAfter > 0 {
		sim.scheduleAt(f.From, s.shutDown)
		sim.scheduleAt(f.Until, func(now time.Duration) {
			sim.replaceWorker(now, s, f.ReplacedAfter)
		})
	}
}

// replaceWorker adds a worker at the address of one that has failed. It first
// announces itself after a delay. Nothing is done if there is one already.
func (sim *Simulation) replaceWorker(now time.Duration, failed *simWorker, announceDelay time.Duration) {
	if failed.isReplaced {
		return
	}
	failed.isReplaced = true
	announced := failed.announced
	announced.ID += "-next"
	announced.Capacity = sim.cfg.Capacity
	next := sim.newWorker(announced)
	sim.workers = append(sim.workers, next)
	sim.workersByID[announced.ID] = next
	sim.scheduleAt(now+announceDelay, next.announce)
}

// HideFromInventory leaves a worker out of the inventory of machines, although it
// is up.
func (sim *Simulation) HideFromInventory(id string) {
	sim.workersByID[id].isHidden = true
}

// ChangeLeader replaces the leader at a time. The new leader knows only the
// committed state.
func (sim *Simulation) ChangeLeader(at time.Duration) {
	sim.scheduleAt(at, func(now time.Duration) {
		sim.term++
		sim.dispatcher = sim.newDispatcher(now)
	})
}

// StallCommits delays the commits of rounds proposed between two times until
// the second.
func (sim *Simulation) StallCommits(from, until time.Duration) {
	sim.stalledFrom, sim.stalledUntil = from, until
}

// SetDataCentreOut takes a data centre out of service or returns it to service
// at a time.
func (sim *Simulation) SetDataCentreOut(at time.Duration, name string, outOfService bool) {
	sim.scheduleAt(at, func(now time.Duration) {
		sim.apply(now, plantainladder.SetDataCentre{
			Name:         name,
			OutOfService: outOfService,
			Force:        true,
		})
		if outOfService {
			sim.outOfServiceSince[name] = now
		} else {
			delete(sim.outOfServiceSince, name)
		}
	})
}
