package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// maxReservations bounds the gangs for which a plan keeps room free. Each costs the
// work that could have run there meanwhile.
const maxReservations = 3

// placementInterval is the period of plans while nothing is committed: only time and
// what workers said can have changed.
const placementInterval = 50 * time.Millisecond

// placer is the working copy of one plan.
type placer struct {
	s       *scheduler
	fleets  map[string]*fleet
	blocked map[requirement]bool
	// unpreemptable holds what urgent units need and no stop can free.
	unpreemptable map[requirement]bool
	reservations  int
	placements    []workflow.Placement
}

// place returns the places to be given in a scene.
func (s *scheduler) place(state ClusterState) []workflow.Placement {
	if state.Version == s.dispatcher.placedVersion && s.now.Sub(s.dispatcher.placedAt) < placementInterval {
		return nil
	}
	s.dispatcher.placedVersion, s.dispatcher.placedAt = state.Version, s.now
	groups := s.taskGroups(state)
	if len(groups) == 0 {
		return nil
	}
	p := &placer{
		s:             s,
		fleets:        s.fleets(state),
		blocked:       map[requirement]bool{},
		unpreemptable: map[requirement]bool{},
	}
	for _, u := range groups {
		f := p.fleets[u.wf.Terms.Pool]
		switch {
		case f == nil:
		case mayPreempt(s.dispatcher.cfg.Policy, u):
			p.placeUrgent(f, u)
		case !p.blocked[u.requirement()]:
			p.placeGroup(f, u)
		}
	}
	return p.placements
}

func (p *placer) placeGroup(f *fleet, u taskGroup) {
	reserves := reservesCapacity(p.s.dispatcher.cfg.Policy)
	if reserves && !f.hasHeadroom(u) || p.tryPlace(f, u) {
		return
	}
	p.blocked[u.requirement()] = true
	if reserves && u.step.IsGang && p.reservations < maxReservations {
		p.reserve(f, u)
	}
}

// placeUrgent places a unit of the highest priority or makes room for it. Of units
// that need the same only the first stops others at once: room that comes by
// itself meanwhile serves the next. Those that have waited for as long as a stop
// takes do not wait for each other, since a guarantee has to be met in time.
func (p *placer) placeUrgent(f *fleet, u taskGroup) {
	isFirst := !p.blocked[u.requirement()]
	if isFirst && p.tryPlace(f, u) {
		return
	}
	p.blocked[u.requirement()] = true
	hasWaited := p.s.now.Sub(u.wf.Submitted) >= p.s.dispatcher.cfg.MaxStopDuration
	if (isFirst || hasWaited) && !p.unpreemptable[u.requirement()] {
		p.unpreemptable[u.requirement()] = !p.preempt(f, u)
	}
}

// tryPlace places a unit and reports whether all of its tasks have places.
func (p *placer) tryPlace(f *fleet, u taskGroup) bool {
	if u.step.IsGang {
		return p.placeGang(f, u)
	}
	return p.placeIndependent(f, u)
}

// A assignment is a number of a unit's tasks on a node.
type assignment struct {
	node  *node
	tasks int
}

// available returns what a unit may use of a node now.
func (p *placer) available(n *node, u taskGroup) pool.ResourceVector {
	if !n.reservedUntil.IsZero() && p.s.now.Add(u.step.Estimate).After(n.reservedUntil) {
		return pool.ResourceVector{}
	}
	return n.free
}

// assignments finds assignments for a number of a unit's tasks on nodes, the fullest nodes
// first, so that whole ones stay free, unless the unit takes the first that fit.
// It returns nil if there are too few.
func assignments(nodes []*node, u taskGroup, tasks int, available func(n *node) pool.ResourceVector) []assignment {
	var order []*node
	for _, n := range nodes {
		if u.fitCount(n, available(n), 1) > 0 {
			order = append(order, n)
		}
	}
	if !u.isFirstFit {
		slices.SortStableFunc(order, func(a, b *node) int {
			return cmp.Or(
				cmp.Compare(available(a).Accelerators, available(b).Accelerators),
				cmp.Compare(available(a).MilliCores, available(b).MilliCores),
			)
		})
	}
	var list []assignment
	for _, n := range order {
		if tasks == 0 {
			break
		}
		if fit := u.fitCount(n, available(n), tasks); fit > 0 {
			list = append(list, assignment{
				node:  n,
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

// assign gives the seats to the first waiting tasks of a unit.
func (p *placer) assign(u taskGroup, list []assignment) {
	next := 0
	p.s.note(Note{
		Text: "Tasks get places.",
		Ref: workflow.Ref{
			Key: u.key(u.waiting[0]),
			Run: u.wf.NextRun(u.key(u.waiting[0])),
		},
		Worker:     list[0].node.worker.ID,
		Reason:     "room",
		Age:        p.s.now.Sub(u.wf.Submitted),
		Tasks:      taskCount(list),
		Queue:      u.wf.Spec.Queue,
		CompleteBy: u.objective,
	})
	for _, assignment := range list {
		assignment.node.free = assignment.node.free.Minus(u.step.Each.Times(assignment.tasks))
		u.perWorker[assignment.node.worker.ID] += assignment.tasks
		for range assignment.tasks {
			p.placements = append(p.placements, u.placement(u.waiting[next], assignment.node.worker))
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

// placeGang places all members of a gang or none.
func (p *placer) placeGang(f *fleet, u taskGroup) bool {
	available := func(n *node) pool.ResourceVector {
		return p.available(n, u)
	}
	if list := p.gangAssignments(f, u, available); list != nil {
		p.assign(u, list)
		return true
	}
	return false
}

// gangAssignments finds seats for a gang. One that is bound to a rack gets the rack
// where it leaves the least; it is spread over several only if no rack could
// ever hold it, or if waiting has cost more than being slow would.
func (p *placer) gangAssignments(f *fleet, u taskGroup, available func(n *node) pool.ResourceVector) []assignment {
	if !u.step.IsRackBound && u.step.DataRack == "" {
		return assignments(f.nodes, u, u.step.Tasks, available)
	}
	if list := bestRack(f, u, available); list != nil {
		return list
	}
	if p.isWorthWaiting(f, u) {
		return nil
	}
	return assignments(f.nodes, u, u.step.Tasks, available)
}

// bestRack returns the seats in the rack that has the least room beyond what
// the gang takes. A rack that holds its data goes first.
func bestRack(f *fleet, u taskGroup, available func(n *node) pool.ResourceVector) (best []assignment) {
	least := 0
	for _, r := range f.racks {
		if u.step.DataRack != "" && r.name != u.step.DataRack {
			continue
		}
		list := assignments(r.nodes, u, u.step.Tasks, available)
		if list == nil {
			continue
		}
		free := 0
		for _, n := range r.nodes {
			free += available(n).Accelerators*pool.CoresPerAccelerator + available(n).MilliCores/milliPerCore
		}
		if best == nil || free < least {
			best, least = list, free
		}
	}
	return best
}

const milliPerCore = 1000

// isWorthWaiting reports whether a unit that is slow off its rack should rather
// wait for room: some rack could hold it, and it has not waited longer than it
// would lose.
func (p *placer) isWorthWaiting(f *fleet, u taskGroup) bool {
	loss := time.Duration(float64(u.step.Estimate) * (p.s.dispatcher.cfg.CrossRackFactor - 1))
	since := u.wf.Submitted
	if due := u.wf.Spec.DueAt(u.occurrence); !due.IsZero() {
		since = due
	}
	if p.s.now.Sub(since) > loss {
		return false
	}
	total := func(n *node) pool.ResourceVector {
		return n.worker.Capacity
	}
	return bestRack(f, u, total) != nil
}

// placeIndependent places as many tasks of a set as there is room for and reports
// whether all of them have places.
func (p *placer) placeIndependent(f *fleet, u taskGroup) bool {
	available := func(n *node) pool.ResourceVector {
		return p.available(n, u)
	}
	nodes := f.nodes
	if u.step.DataRack != "" {
		dataNodes := rackNodes(f, u.step.DataRack)
		u = p.assignSome(dataNodes, u, available)
		if len(u.waiting) == 0 {
			return true
		}
		if len(dataNodes) > 0 && p.isWorthWaiting(f, u.withTasks(1)) {
			return false
		}
	}
	u = p.assignSome(nodes, u, available)
	return len(u.waiting) == 0
}

func rackNodes(f *fleet, rackName string) []*node {
	for _, r := range f.racks {
		if r.name == rackName {
			return r.nodes
		}
	}
	return nil
}

// assignSome places as many of a unit's tasks as fit and returns the rest.
func (p *placer) assignSome(nodes []*node, u taskGroup, available func(n *node) pool.ResourceVector) taskGroup {
	total := 0
	for _, n := range nodes {
		total += u.fitCount(n, available(n), len(u.waiting))
	}
	tasks := min(total, len(u.waiting))
	if tasks == 0 {
		return u
	}
	p.assign(u, assignments(nodes, u, tasks, available))
	u.waiting = u.waiting[tasks:]
	return u
}

// withTasks returns u as if it needed another number of tasks.
func (u taskGroup) withTasks(n int) taskGroup {
	u.step.Tasks = n
	return u
}
