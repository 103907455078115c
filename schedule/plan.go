package schedule

import (
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/shape"
)

// Plan returns the decisions for the queued jobs and for the running jobs that
// have to stop, at the given time.
func Plan(now time.Time, in Input) []Decision {
	p := newPlanner(now, in)
	p.stopOutOfService()
	for _, j := range p.sortedQueue(in.Jobs) {
		p.decideJob(j)
	}
	return p.decisions
}

// A planner holds the mutable state of one call of Plan.
type planner struct {
	now                 time.Time
	in                  Input
	contracts           map[string]contract.Contract
	remainingGuarantees map[string]Guarantee
	acceleratorsInUse   map[string]int
	free                Fleet
	// freeAfterReclaim is the free capacity after all reclaimable jobs have ended.
	freeAfterReclaim Fleet
	// placeableGuarantees is the number of unused guaranteed shapes that can be
	// placed in freeAfterReclaim. It is valid only if isPlaceableGuaranteesCurrent
	// is true.
	placeableGuarantees int
	// isPlaceableGuaranteesCurrent is false if placeableGuarantees has to be
	// counted again before its next use.
	isPlaceableGuaranteesCurrent bool
	preemptionCandidates         []job.Job
	reservation                  *reservation
	placements                   int
	decisions                    []Decision
}

// A reservation is the capacity that is reserved for the first job that could
// not be placed, and when it is expected to become free.
type reservation struct {
	allocations []Allocation
	startsAt    time.Time
}

func newPlanner(now time.Time, in Input) *planner {
	p := &planner{
		now:                 now,
		in:                  in,
		contracts:           make(map[string]contract.Contract, len(in.Contracts)),
		remainingGuarantees: remainingGuarantees(in.Contracts, in.Jobs),
		acceleratorsInUse:   map[string]int{},
		free:                in.Fleet,
	}
	for _, c := range in.Contracts {
		p.contracts[c.Organisation] = c
	}
	var reclaimable []Allocation
	for _, j := range in.Jobs {
		if !j.HoldsCapacity() {
			continue
		}
		p.acceleratorsInUse[j.Spec.Organisation] += j.Spec.Shape.Total().Accelerators
		if isReclaimable(j) {
			reclaimable = append(reclaimable, allocationsOfJob(j)...)
		}
		if isPreemptionCandidate(j) {
			p.preemptionCandidates = append(p.preemptionCandidates, j)
		}
	}
	p.freeAfterReclaim = in.Fleet.WithReleased(reclaimable)
	p.sortPreemptionCandidates()
	return p
}

// stopOutOfService stops the preemptible jobs in data centres that are out of
// service, and every job there that has not started.
func (p *planner) stopOutOfService() {
	for _, j := range p.in.Jobs {
		if !p.isAnyOutOfService(j.TaskPlacements) {
			continue
		}
		switch j.Phase.(type) {
		case job.Preparing:
			p.stop(j, job.StopOutOfService)
		case job.Running:
			if j.Spec.IsPreemptible() {
				p.stop(j, job.StopOutOfService)
			}
		case job.Queued, job.Stopping, job.Parked, job.Ended:
		}
	}
}

func (p *planner) isAnyOutOfService(placements []job.TaskPlacement) bool {
	for _, placement := range placements {
		if p.in.OutOfService[placement.DataCentre] {
			return true
		}
	}
	return false
}

func (p *planner) stop(j job.Job, reason job.StopReason) {
	p.decisions = append(p.decisions, Stop{
		ID:      j.Spec.ID,
		Attempt: j.Attempt,
		Reason:  reason,
	})
}

func (p *planner) wait(j job.Job, reason WaitReason) {
	p.decisions = append(p.decisions, Wait{
		ID:     j.Spec.ID,
		Reason: reason,
	})
}

func (p *planner) park(j job.Job, reason string) {
	p.decisions = append(p.decisions, Park{
		ID:     j.Spec.ID,
		Reason: reason,
	})
}

func (p *planner) decideJob(j job.Job) {
	c, ok := p.contracts[j.Spec.Organisation]
	if !ok {
		p.wait(j, WaitNoContract)
		return
	}
	need := j.Spec.Shape.Total().Accelerators
	if need > c.CeilingAccelerators {
		p.park(j, "The gang is larger than the organisation's ceiling.")
		return
	}
	if p.acceleratorsInUse[c.Organisation]+need > c.CeilingAccelerators {
		p.wait(j, WaitCeiling)
		return
	}
	if p.placements >= p.in.MaxPlacements {
		p.wait(j, WaitNextPlan)
		return
	}
	if _, baseline := p.in.Policy.(FirstFit); baseline {
		p.decideFirstFit(j)
		return
	}
	p.decideGuaranteed(j)
}

func (p *planner) decideGuaranteed(j job.Job) {
	covered := p.remainingGuarantees[j.Spec.Organisation].Covers(j.Spec.Shape)
	if nodes, ok := p.capacityFor(j).Place(j.Spec.Shape); ok {
		if p.preservesGuarantees(j, nodes, covered) {
			p.place(j, nodes, covered)
			return
		}
		if !covered {
			p.wait(j, WaitGuarantees)
			return
		}
	}
	if covered || j.Spec.Class == "urgent" {
		p.reclaim(j, covered)
		return
	}
	if !p.canEverRun(j) {
		p.park(j, "No data centre has room for the gang even when empty.")
		return
	}
	p.waitWithReservation(j)
}

func (p *planner) canEverRun(j job.Job) bool {
	if p.in.AllWorkers.Len() == 0 {
		return true
	}
	_, ok := p.in.AllWorkers.Place(j.Spec.Shape)
	return ok
}

// capacityFor returns the free capacity that a job may use. It includes the
// reserved capacity if the job is expected to end before the reservation
// starts.
func (p *planner) capacityFor(j job.Job) Fleet {
	r := p.reservation
	if r == nil || !p.now.Add(p.expectedRunTime(j)).After(r.startsAt) {
		return p.free
	}
	return p.free.WithAllocations(r.allocations)
}

func (p *planner) place(j job.Job, nodes []Node, covered bool) {
	allocations := NewAllocations(nodes, j.Spec.Shape.PerTask)
	p.free = p.free.WithAllocations(allocations)
	if covered || !j.Spec.IsPreemptible() {
		p.freeAfterReclaim = p.freeAfterReclaim.WithAllocations(allocations)
	}
	if covered {
		p.remainingGuarantees[j.Spec.Organisation], _ = p.remainingGuarantees[j.Spec.Organisation].WithUsed(j.Spec.Shape)
	}
	p.acceleratorsInUse[j.Spec.Organisation] += j.Spec.Shape.Total().Accelerators
	p.placements++
	p.decisions = append(p.decisions, Place{
		ID:             j.Spec.ID,
		Attempt:        j.Attempt + 1,
		TaskPlacements: taskPlacementsOn(nodes),
		Borrowed:       !covered,
	})
}

func taskPlacementsOn(nodes []Node) []job.TaskPlacement {
	placements := make([]job.TaskPlacement, len(nodes))
	for i, n := range nodes {
		placements[i] = job.TaskPlacement{
			Worker:      n.Worker,
			Incarnation: n.Incarnation,
			DataCentre:  n.DataCentre,
		}
	}
	return placements
}

func (p *planner) decideFirstFit(j job.Job) {
	if p.reservation != nil {
		p.wait(j, WaitReservation)
		return
	}
	nodes, ok := p.free.placeFirst(j.Spec.Shape)
	if ok {
		p.place(j, nodes, p.remainingGuarantees[j.Spec.Organisation].Covers(j.Spec.Shape))
		return
	}
	if !p.canEverRun(j) {
		p.park(j, "No data centre has room for the gang even when empty.")
		return
	}
	p.wait(j, WaitNoRoom)
	p.reservation = &reservation{}
}

// singleNodes returns a range for each node.
func (f Fleet) singleNodes() []nodeRange {
	list := make([]nodeRange, len(f.nodes))
	for i := range f.nodes {
		list[i] = nodeRange{
			start: i,
			end:   i + 1,
		}
	}
	return list
}

// placeFirst places a shape on the first nodes with enough free capacity that
// satisfy its adjacency.
func (f Fleet) placeFirst(s shape.Shape) ([]Node, bool) {
	candidates := f.dataCentres
	switch s.Adjacency().(type) {
	case shape.SameWorker:
		candidates = f.singleNodes()
	case shape.SameRack:
		candidates = f.racks
	case shape.Anywhere:
		candidates = f.allNodes()
	case shape.SameDataCentre:
	}
	for _, c := range candidates {
		var placed []Node
		for i := c.start; i < c.end && len(placed) < s.Tasks; i++ {
			for range s.PerTask.FitCount(f.nodes[i].Free, s.Tasks-len(placed)) {
				placed = append(placed, f.nodes[i])
			}
		}
		if len(placed) == s.Tasks {
			return placed, true
		}
	}
	return nil, false
}
