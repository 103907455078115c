package replay

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/workflow"
)

// A Fault is what is wrong with a simulated worker for a while.
type Fault struct {
	// From and Until bound it.
	From, Until time.Duration
	// Partitioned is true if nothing reaches the worker and it reaches nobody.
	Partitioned bool
	// Hangs is true if its tasks stand still.
	Hangs bool
	// Fails is true if all that it starts fails after half a second.
	Fails bool
	// SlowFactor is how many times longer its tasks take, zero for once.
	SlowFactor float64
	// DelayedShare is the part of the orders that are carried out seconds later and
	// get no answer, from 0 to 1.
	DelayedShare float64
	// Restarts is true if the worker starts anew at Until.
	Restarts bool
	// Leaves is true if the worker announces at From that it will end, and ends
	// at Until.
	Leaves bool
}

// InjectFault gives a worker a trouble.
func (sim *Simulation) InjectFault(id string, f Fault) {
	s := sim.workersByID[id]
	s.faults = append(s.faults, f)
	if f.Restarts {
		sim.scheduleAt(f.Until, s.restart)
	}
	if f.Leaves {
		sim.scheduleAt(f.From, func(time.Duration) { s.pool.Leaving = true })
		sim.scheduleAt(f.Until, func(now time.Duration) {
			for _, ref := range s.sortedRuns() {
				sim.recordEnd(now, ref, workflow.EndedLost)
			}
			s.isShutDown = true
		})
	}
}

// ChangeLeader replaces the leader at a time: the new one knows what is
// committed and nothing else.
func (sim *Simulation) ChangeLeader(at time.Duration) {
	sim.scheduleAt(at, func(now time.Duration) {
		sim.term++
		sim.dispatcher = sim.newDispatcher(now)
	})
}

// StallCommits holds back what is to be committed between two times.
func (sim *Simulation) StallCommits(from, until time.Duration) {
	sim.stalledFrom, sim.stalledUntil = from, until
}

// SetDataCentreOut takes a data centre out of service or brings it back.
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
