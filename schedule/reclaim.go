package schedule

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/shape"
)

// isReclaimable reports whether a job's capacity can be reclaimed for a
// guarantee: the job can be preempted, or is already stopping.
func isReclaimable(j job.Job) bool {
	_, stopping := j.Phase.(job.Stopping)
	return stopping || isPreemptionCandidate(j)
}

// isPreemptionCandidate reports whether a job may be preempted: it borrows
// capacity, has been placed and can be stopped and run again later.
func isPreemptionCandidate(j job.Job) bool {
	if !j.Borrowed || !j.Spec.IsPreemptible() {
		return false
	}
	switch j.Phase.(type) {
	case job.Preparing, job.Running:
		return true
	case job.Queued, job.Stopping, job.Parked, job.Ended:
		return false
	}
	return false
}

func allocationsOfJob(j job.Job) []Allocation {
	allocations := make([]Allocation, 0, len(j.TaskPlacements))
	for _, placement := range j.TaskPlacements {
		if !placement.Ended {
			allocations = append(allocations, Allocation{
				Worker:  placement.Worker,
				PerTask: j.Spec.Shape.PerTask,
			})
		}
	}
	return allocations
}

// sortPreemptionCandidates sorts the candidates by the work that their
// preemption loses, the least first.
func (p *planner) sortPreemptionCandidates() {
	slices.SortStableFunc(p.preemptionCandidates, func(a, b job.Job) int {
		return cmp.Or(
			cmp.Compare(p.lostWork(a), p.lostWork(b)),
			cmp.Compare(a.Spec.ID, b.Spec.ID),
		)
	})
}

// lostWork returns the accelerator time that is lost if a job is stopped; jobs
// that save checkpoints lose none.
func (p *planner) lostWork(j job.Job) time.Duration {
	running, ok := j.Phase.(job.Running)
	if !ok || j.Spec.Checkpointable {
		return 0
	}
	return p.now.Sub(running.Since) * time.Duration(max(1, j.Spec.Shape.Total().Accelerators))
}

// preservesGuarantees reports whether as many unused guaranteed shapes can be
// placed after a placement as before. For a job that is not covered by its
// guarantee only the shapes of other organisations count. A preemptible job
// that borrows always passes, since its capacity can be reclaimed.
func (p *planner) preservesGuarantees(j job.Job, nodes []Node, covered bool) bool {
	if !covered && j.Spec.IsPreemptible() {
		return true
	}
	after := p.freeAfterReclaim.WithAllocations(NewAllocations(nodes, j.Spec.Shape.PerTask))
	if !covered {
		others := p.unusedShapesExcept(j.Spec.Organisation)
		p.isPlaceableGuaranteesCurrent = false
		return after.CountPlaceable(others) >= p.freeAfterReclaim.CountPlaceable(others)
	}
	if !p.isPlaceableGuaranteesCurrent {
		p.placeableGuarantees = p.freeAfterReclaim.CountPlaceable(p.unusedShapes())
		p.isPlaceableGuaranteesCurrent = true
	}
	// The job uses up guaranteed shapes of its own organisation. They are no longer
	// unused after the placement, so they may be missing from the count.
	unusedShapes := p.unusedShapesAfter(j)
	placeableGuarantees := after.CountPlaceable(unusedShapes)
	if placeableGuarantees < p.placeableGuarantees-(len(p.unusedShapes())-len(unusedShapes)) {
		return false
	}
	p.placeableGuarantees = placeableGuarantees
	return true
}

// unusedShapes returns the unused guaranteed shapes of all organisations.
func (p *planner) unusedShapes() []shape.Shape {
	return p.unusedShapesExcept("")
}

// unusedShapesExcept returns the unused guaranteed shapes of all organisations
// but one.
func (p *planner) unusedShapesExcept(organisation string) []shape.Shape {
	var list []shape.Shape
	for _, c := range p.in.Contracts {
		if c.Organisation != organisation {
			list = append(list, p.remainingGuarantees[c.Organisation].Unused()...)
		}
	}
	return list
}

// unusedShapesAfter returns the unused guaranteed shapes of all organisations
// once a job is placed within its guarantee.
func (p *planner) unusedShapesAfter(j job.Job) []shape.Shape {
	org := j.Spec.Organisation
	kept := p.remainingGuarantees[org]
	defer func() { p.remainingGuarantees[org] = kept }()
	p.remainingGuarantees[org], _ = kept.WithUsed(j.Spec.Shape)
	return p.unusedShapes()
}

// reclaim preempts jobs that borrow capacity until a job fits, those that lose
// the least work first, and reserves the capacity until they have ended.
func (p *planner) reclaim(j job.Job, covered bool) {
	afterStops := p.free.WithReleased(p.stoppingAllocations())
	n := sort.Search(len(p.preemptionCandidates)+1, func(n int) bool {
		_, ok := afterStops.WithReleased(AllocationsOfJobs(p.preemptionCandidates[:n])).Place(j.Spec.Shape)
		return ok
	})
	if n > len(p.preemptionCandidates) {
		p.parkOrWait(j)
		return
	}
	nodes, _ := afterStops.WithReleased(AllocationsOfJobs(p.preemptionCandidates[:n])).Place(j.Spec.Shape)
	if !p.preservesGuarantees(j, nodes, covered) {
		nodes = p.placeWithGuarantees(j, nodes)
	}
	allocations := NewAllocations(nodes, j.Spec.Shape.PerTask)
	p.preemptOverfull(afterStops.WithAllocations(allocations))
	if p.hasCapacity(allocations) {
		p.place(j, nodes, covered)
		return
	}
	p.wait(j, WaitReclaim)
	p.reserveReclaimed(j, allocations, covered)
}

func (p *planner) hasCapacity(allocations []Allocation) bool {
	after := p.free.WithAllocations(allocations)
	for _, a := range allocations {
		if !(shape.Resources{}).FitsIn(after.nodes[after.index[a.Worker]].Free) {
			return false
		}
	}
	return true
}

// preemptOverfull preempts jobs on every node of a fleet whose free capacity is
// negative.
func (p *planner) preemptOverfull(after Fleet) {
	p.preemptionCandidates = slices.DeleteFunc(p.preemptionCandidates, func(candidate job.Job) bool {
		for _, a := range allocationsOfJob(candidate) {
			i, ok := after.index[a.Worker]
			if ok && !(shape.Resources{}).FitsIn(after.nodes[i].Free) {
				after = after.WithReleased(allocationsOfJob(candidate))
				p.stop(candidate, job.StopReclaimed)
				return true
			}
		}
		return false
	})
}

// reserveReclaimed deducts a job's allocations from the free capacity, so that
// later jobs of this plan cannot take them.
func (p *planner) reserveReclaimed(j job.Job, allocations []Allocation, covered bool) {
	p.free = p.free.WithAllocations(allocations)
	p.acceleratorsInUse[j.Spec.Organisation] += j.Spec.Shape.Total().Accelerators
	if covered {
		p.remainingGuarantees[j.Spec.Organisation], _ = p.remainingGuarantees[j.Spec.Organisation].WithUsed(j.Spec.Shape)
		p.freeAfterReclaim = p.freeAfterReclaim.WithAllocations(allocations)
	}
}

// placeWithGuarantees places a job after all unused guaranteed shapes that are
// at least as large, and returns the given nodes if it does not fit then.
func (p *planner) placeWithGuarantees(j job.Job, nodes []Node) []Node {
	f := p.freeAfterReclaim
	s := j.Spec.Shape
	for _, u := range largestFirst(p.unusedShapesAfter(j)) {
		if u.Total().Accelerators < s.Total().Accelerators {
			break
		}
		if taken, ok := f.Place(u); ok {
			f = f.WithAllocations(NewAllocations(taken, u.PerTask))
		}
	}
	if placed, ok := f.Place(s); ok {
		return placed
	}
	return nodes
}

func largestFirst(shapes []shape.Shape) []shape.Shape {
	list := slices.Clone(shapes)
	slices.SortStableFunc(list, func(a, b shape.Shape) int {
		return cmp.Compare(b.Total().Accelerators, a.Total().Accelerators)
	})
	return list
}

func (p *planner) stoppingAllocations() []Allocation {
	var allocations []Allocation
	for _, j := range p.in.Jobs {
		if _, ok := j.Phase.(job.Stopping); ok {
			allocations = append(allocations, allocationsOfJob(j)...)
		}
	}
	return allocations
}

// AllocationsOfJobs returns the allocations of the jobs' tasks, without those
// of tasks that have ended.
func AllocationsOfJobs(jobs []job.Job) []Allocation {
	var allocations []Allocation
	for _, j := range jobs {
		allocations = append(allocations, allocationsOfJob(j)...)
	}
	return allocations
}

// parkOrWait parks a job that can never run, and leaves others in the queue.
func (p *planner) parkOrWait(j job.Job) {
	if !p.canEverRun(j) {
		p.park(j, "No data centre has room for the gang even when empty.")
		return
	}
	p.waitWithReservation(j)
}

// waitWithReservation leaves a job in the queue. The first such job reserves
// the capacity that is expected to become free first, so that smaller jobs
// cannot starve it.
func (p *planner) waitWithReservation(j job.Job) {
	if p.reservation != nil {
		p.wait(j, WaitReservation)
		return
	}
	p.wait(j, WaitNoRoom)
	holders := p.jobsByExpectedEnd()
	n := sort.Search(len(holders)+1, func(n int) bool {
		_, ok := p.free.WithReleased(AllocationsOfJobs(holders[:n])).Place(j.Spec.Shape)
		return ok
	})
	if n > len(holders) || n == 0 {
		return
	}
	nodes, _ := p.free.WithReleased(AllocationsOfJobs(holders[:n])).Place(j.Spec.Shape)
	p.reservation = &reservation{
		allocations: NewAllocations(nodes, j.Spec.Shape.PerTask),
		startsAt:    p.expectedEnd(holders[n-1]),
	}
}

func (p *planner) jobsByExpectedEnd() []job.Job {
	holders := slices.DeleteFunc(slices.Clone(p.in.Jobs), func(j job.Job) bool {
		return !j.HoldsCapacity()
	})
	slices.SortStableFunc(holders, func(a, b job.Job) int {
		return p.expectedEnd(a).Compare(p.expectedEnd(b))
	})
	return holders
}
