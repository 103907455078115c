package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// maxReservations is the largest number of gangs with reserved nodes in one
// placement pass. Each reservation costs the work that could have run there in
// the meantime.
const maxReservations = 3

// placementInterval is the time between placement passes over the same
// committed state, in which only time and the workers' messages can have
// changed the result.
const placementInterval = 50 * time.Millisecond

// A placer is the mutable working state of one placement pass.
type placer struct {
	s      *reconciliation
	fleets map[string]*fleet
	// blocked holds the requirements of task groups that did not fit in this
	// pass.
	blocked map[requirement]bool
	// waitsForRack holds those of them that fit off their rack, so that waiting is
	// a choice that depends on the run time of the task group too.
	waitsForRack map[requirement]bool
	rackStarts   map[rackStartKey]rackStart
	// unpreemptable holds the requirements of urgent task groups for which no
	// preemption can free enough capacity.
	unpreemptable map[requirement]bool
	// unhastenable holds those of gangs for which no preemption on faster workers is worth it.
	unhastenable map[requirement]bool
	reservations int
	placements   []workflow.Placement
	limits       *organisationLimits
	// runs holds the runs of each organisation; nil until a limit makes work wait.
	runs map[string]*organisationRuns
	// waits holds task groups that were not placed, if reportsWaits is true.
	waits        []wait
	reportsWaits bool
}

// place runs a placement pass and returns the new placements. It returns nil if
// a pass over the same state was run less than placementInterval ago.
func (s *reconciliation) place(state ClusterState) []workflow.Placement {
	if state.Version == s.dispatcher.placedVersion && s.now.Sub(s.dispatcher.placedAt) < placementInterval {
		return nil
	}
	s.dispatcher.placedVersion, s.dispatcher.placedAt = state.Version, s.now
	groups := s.taskGroups(state)
	if len(groups) == 0 {
		return nil
	}
	x := s.indexOf(state)
	p := &placer{
		s:             s,
		fleets:        s.fleets(state, x),
		limits:        newOrganisationLimits(state, s.dispatcher.cfg.LimitOverage, s.withOrphanUse(x.used)),
		blocked:       map[requirement]bool{},
		waitsForRack:  map[requirement]bool{},
		rackStarts:    map[rackStartKey]rackStart{},
		unpreemptable: map[requirement]bool{},
		unhastenable:  map[requirement]bool{},
		reportsWaits:  s.now.Sub(s.dispatcher.waitsReportedAt) >= waitReportInterval,
	}
	order := newGroupOrder(groups, s.dispatcher.cfg.Policy, state.WeightOf)
	for {
		g, ok := order.pop(p.useInShare)
		if !ok {
			break
		}
		p.placeWithinLimit(g)
	}
	p.reportWaits(state)
	return p.placements
}

func (p *placer) placeOne(f *fleet, g taskGroup) {
	switch {
	case mayPreempt(p.s.dispatcher.cfg.Policy, g):
		p.placeUrgent(f, g)
	case !p.isBlocked(g):
		p.placeGroup(f, g)
	default:
		p.wait(g, waitsBehindEqual)
	}
}

// isBlocked reports whether a task group need not be tried, since one with the same
// requirement did not fit.
func (p *placer) isBlocked(g taskGroup) bool {
	r := g.requirement()
	return p.blocked[r] && !p.waitsForRack[r]
}

// placeGroup places a task group that may not preempt. Once a task group does
// not fit, those with the same requirement are skipped for the rest of the
// pass, and a gang may get a reservation.
func (p *placer) placeGroup(f *fleet, g taskGroup) {
	reserves := reservesCapacity(p.s.dispatcher.cfg.Policy)
	whole := g
	if reserves {
		g = f.withinHeadroom(g)
		if len(g.waiting) == 0 && p.isStarved(f, whole) {
			g = whole.withFirstWaiting()
		}
	}
	if len(g.waiting) == 0 {
		p.wait(whole, waitsForHeadroom)
		return
	}
	if p.tryPlace(f, g) {
		return
	}
	p.blocked[g.requirement()] = true
	if g.isIsolated {
		p.wait(g, waitsForIsolation)
		return
	}
	p.wait(g, p.waitReason(f, g))
	if reserves && g.step.IsGang && p.reservations < maxReservations {
		p.reserve(f, g)
	}
}

// tryPlace places as much of a task group as fits and reports whether all of
// its waiting tasks were placed.
func (p *placer) tryPlace(f *fleet, g taskGroup) bool {
	if g.step.IsGang {
		return p.placeGang(f, g)
	}
	return p.placeIndependent(f, g)
}

// An assignment is a number of a task group's tasks on one node.
type assignment struct {
	node  *node
	tasks int
}

// available returns the capacity of a node that g may use now: none on a node
// that is reserved from before g would end, or whose other workflows do not admit g.
func (p *placer) available(n *node, g taskGroup) pool.ResourceVector {
	if !n.tenancy.admits(g) {
		return pool.ResourceVector{}
	}
	// DeclaredRunTime holds the predicted run time.
	endsLate := p.s.now.Add(atSpeed(g.step.DeclaredRunTime, n.speed.Mean)).After(n.reservedUntil)
	if !n.reservedUntil.IsZero() && endsLate && !p.ignoresReservations(g) {
		return pool.ResourceVector{}
	}
	return n.free
}

// maxReservationWait is how long a task group waits behind reservations while most of
// the capacity is free. Source: the platform's rules, by which a task that could run
// may wait for 3 s.
const maxReservationWait = 2 * time.Second

// ignoresReservations reports whether a task group has waited for so long that it need
// not leave nodes to gangs, which cannot start yet although most of the capacity is
// free.
func (p *placer) ignoresReservations(g taskGroup) bool {
	return p.fleets[g.wf.QueueSettings.Pool].isMostlyFree && p.s.now.Sub(g.since()) >= maxReservationWait
}

// A rankedNode is a node on which a task group fits, with what the order of nodes depends on.
type rankedNode struct {
	node       *node
	available  pool.ResourceVector
	speedRank  int
	interferes bool
}

func (n rankedNode) compare(other rankedNode) int {
	return cmp.Or(
		cmp.Compare(n.speedRank, other.speedRank),
		compareBool(n.interferes, other.interferes),
		cmp.Compare(n.available.Accelerators, other.available.Accelerators),
		cmp.Compare(n.available.MilliCores, other.available.MilliCores),
	)
}

// assignments assigns a number of a task group's tasks to nodes and returns nil
// if they do not all fit. It takes nodes of the best speed rank, of these first the ones on
// which no kind of task interferes, and fills the fullest of them first, so that whole nodes
// stay free, unless the task group uses first fit. A suspect gets the emptiest nodes, where a
// crash does the least damage.
func assignments(nodes []*node, g taskGroup, tasks int, available func(n *node) pool.ResourceVector) []assignment {
	var order []rankedNode
	for _, n := range nodes {
		if free := available(n); g.fitCount(n, free, 1) > 0 {
			order = append(order, rankedNode{
				node:       n,
				available:  free,
				speedRank:  g.speedRank(n),
				interferes: g.interferesOn(n),
			})
		}
	}
	if !g.isFirstFit {
		slices.SortStableFunc(order, func(a, b rankedNode) int {
			if g.isSuspect {
				a, b = b, a
			}
			return a.compare(b)
		})
	}
	var list []assignment
	for _, n := range order {
		if tasks == 0 {
			break
		}
		if fit := g.fitCount(n.node, n.available, tasks); fit > 0 {
			list = append(list, assignment{
				node:  n.node,
				tasks: fit,
			})
			tasks -= fit
		}
	}
	if tasks > 0 {
		return nil
	}
	return list
}

// assign places the first waiting tasks of a task group as the assignments say.
func (p *placer) assign(g taskGroup, list []assignment) {
	next := 0
	p.s.recordInRound(DecisionRecord{
		Text:       "Tasks were placed.",
		RunKey:     g.firstRun(),
		Worker:     list[0].node.worker.ID,
		Reason:     "room" + g.speedReason(list) + g.interferenceReason(list),
		Age:        p.s.now.Sub(g.wf.Submitted),
		Tasks:      taskCount(list),
		Queue:      g.wf.Spec.Queue,
		CompleteBy: g.targetCompletion,
	})
	p.limits.add(g, taskCount(list))
	for _, assignment := range list {
		assignment.node.free = assignment.node.free.Minus(g.step.PerTask.Times(assignment.tasks))
		assignment.node.kinds |= g.kind
		assignment.node.tenancy = assignment.node.tenancy.withRun(g.wf.Spec.ID, g.isIsolated)
		assignment.node.hasNewIsolated = assignment.node.hasNewIsolated || g.isIsolated
		g.perWorker[assignment.node.worker.ID] += assignment.tasks
		for range assignment.tasks {
			p.placements = append(p.placements, g.placement(g.waiting[next], assignment.node.worker))
			next++
		}
	}
}

func taskCount(list []assignment) (n int) {
	for _, a := range list {
		n += a.tasks
	}
	return n
}

// placeGang places all members of a gang or none, and reports which.
func (p *placer) placeGang(f *fleet, g taskGroup) bool {
	if list := p.freeGangAssignments(f, g); list != nil {
		p.assign(g, list)
		return true
	}
	return false
}

// freeGangAssignments finds assignments for a gang on what it may use now.
func (p *placer) freeGangAssignments(f *fleet, g taskGroup) []assignment {
	return p.gangAssignments(f, g, func(n *node) pool.ResourceVector {
		return p.available(n, g)
	})
}

// gangAssignments finds assignments for a gang. A rack-sensitive gang goes to the
// rack that it fills best, and runs across racks only if waiting for a rack is not
// worthwhile.
func (p *placer) gangAssignments(f *fleet, g taskGroup, available func(n *node) pool.ResourceVector) []assignment {
	if !g.step.IsRackSensitive && g.step.DataRack == "" {
		return assignments(f.nodes, g, g.step.Tasks, available)
	}
	if list := bestRack(f, g, available); list != nil {
		return list
	}
	list := assignments(f.nodes, g, g.step.Tasks, available)
	p.waitsForRack[g.requirement()] = list != nil
	if list != nil && p.isWorthWaiting(f, g) {
		return nil
	}
	return list
}

// bestRack returns assignments in the rack with the best speed rank, of those with the fewest
// nodes on which a kind of task interferes, and of those with the least free capacity, among the
// racks that hold the whole task group. If the task group has a data rack, only that one is tried.
func bestRack(f *fleet, g taskGroup, available func(n *node) pool.ResourceVector) (best []assignment) {
	least, bestRank, fewest := 0, 0, 0
	for _, r := range f.racks {
		if g.step.DataRack != "" && r.name != g.step.DataRack {
			continue
		}
		list := assignments(r.nodes, g, g.step.Tasks, available)
		if list == nil {
			continue
		}
		free := 0
		for _, n := range r.nodes {
			free += available(n).Accelerators*pool.CoresPerAccelerator + available(n).MilliCores/milliPerCore
		}
		rank, interfering := g.worstRank(list), g.interferingNodes(list)
		if best == nil || cmp.Or(cmp.Compare(rank, bestRank), cmp.Compare(interfering, fewest), cmp.Compare(free, least)) < 0 {
			best, least, bestRank, fewest = list, free, rank, interfering
		}
	}
	return best
}

// milliPerCore is the number of thousandths in a core.
const milliPerCore = 1000

// isWorthWaiting reports whether a task group that runs slower off its rack
// should wait for capacity there: a rack is expected to become free, by the ends of
// the runs there or by preemption, before as much time has passed as it would lose
// by running off its rack, and it has not waited for that long, or for MaxRackWait,
// already.
func (p *placer) isWorthWaiting(f *fleet, g taskGroup) bool {
	// DeclaredRunTime holds the predicted run time.
	loss := time.Duration(float64(g.step.DeclaredRunTime) * (p.s.dispatcher.cfg.CrossRackFactor - 1))
	waited := p.s.now.Sub(g.since())
	if most := p.s.dispatcher.cfg.MaxRackWait; waited > loss || most > 0 && waited > most {
		return false
	}
	if start := p.rackStart(f, g); start.isExpected && start.at.Sub(p.s.now) <= loss {
		return true
	}
	return mayPreempt(p.s.dispatcher.cfg.Policy, g) && p.s.dispatcher.cfg.MaxStopDuration <= loss && p.canPreemptRack(f, g)
}

// placeIndependent places as many tasks of a task group that is no gang as fit,
// and reports whether all were placed. Tasks with a data rack go there first
// and elsewhere only once waiting is no longer worthwhile.
func (p *placer) placeIndependent(f *fleet, g taskGroup) bool {
	available := func(n *node) pool.ResourceVector {
		return p.available(n, g)
	}
	nodes := f.nodes
	if g.step.DataRack != "" {
		dataNodes := rackNodes(f, g.step.DataRack)
		g = p.assignSome(dataNodes, g, available)
		if len(g.waiting) == 0 {
			return true
		}
		if len(dataNodes) > 0 && p.isWorthWaiting(f, g.withTasks(1)) {
			p.waitsForRack[g.requirement()] = true
			return false
		}
	}
	g = p.assignSome(nodes, g, available)
	return len(g.waiting) == 0
}

func rackNodes(f *fleet, rackName string) []*node {
	for _, r := range f.racks {
		if r.name == rackName {
			return r.nodes
		}
	}
	return nil
}

// assignSome places as many of a task group's tasks as fit and returns the task
// group with the rest.
func (p *placer) assignSome(nodes []*node, g taskGroup, available func(n *node) pool.ResourceVector) taskGroup {
	total := 0
	for _, n := range nodes {
		total += g.fitCount(n, available(n), len(g.waiting))
	}
	tasks := min(total, len(g.waiting))
	if tasks == 0 {
		return g
	}
	p.assign(g, assignments(nodes, g, tasks, available))
	g.waiting = g.waiting[tasks:]
	return g
}

// withTasks returns g as if its step had n tasks.
func (g taskGroup) withTasks(n int) taskGroup {
	g.step.Tasks = n
	return g
}
