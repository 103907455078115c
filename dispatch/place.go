package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// maxKept bounds the gangs for which a plan keeps room free. Each costs the
// work that could have run there meanwhile.
const maxKept = 3

// planEvery is the period of plans while nothing is committed: only time and
// what workers said can have changed.
const planEvery = 50 * time.Millisecond

// planner is the working copy of one plan.
type planner struct {
	s       *sweeper
	fleets  map[string]*fleet
	blocked map[need]bool
	// hopeless holds what urgent units need and no stop can free.
	hopeless map[need]bool
	kept     int
	places   []workflow.Placement
}

// place returns the places to be given in a scene.
func (s *sweeper) place(scene ClusterState) []workflow.Placement {
	if scene.Version == s.board.plannedFor && s.now.Sub(s.board.plannedAt) < planEvery {
		return nil
	}
	s.board.plannedFor, s.board.plannedAt = scene.Version, s.now
	waiting := s.units(scene)
	if len(waiting) == 0 {
		return nil
	}
	p := &planner{
		s:        s,
		fleets:   s.fleets(scene),
		blocked:  map[need]bool{},
		hopeless: map[need]bool{},
	}
	for _, u := range waiting {
		f := p.fleets[u.flow.Terms.Pool]
		switch {
		case f == nil:
		case mayPreempt(s.board.cfg.Policy, u):
			p.placeUrgent(f, u)
		case !p.blocked[u.need()]:
			p.placeUnit(f, u)
		}
	}
	return p.places
}

func (p *planner) placeUnit(f *fleet, u unit) {
	keeps := keepsRoom(p.s.board.cfg.Policy)
	if keeps && !f.hasHeadroom(u) || p.hasPlaced(f, u) {
		return
	}
	p.blocked[u.need()] = true
	if keeps && u.terms.IsGang && p.kept < maxKept {
		p.keep(f, u)
	}
}

// placeUrgent places a unit of the highest priority or makes room for it. Of units
// that need the same only the first stops others at once: room that comes by
// itself meanwhile serves the next. Those that have waited for as long as a stop
// takes do not wait for each other, since a guarantee has to be met in time.
func (p *planner) placeUrgent(f *fleet, u unit) {
	isFirst := !p.blocked[u.need()]
	if isFirst && p.hasPlaced(f, u) {
		return
	}
	p.blocked[u.need()] = true
	hasWaited := p.s.now.Sub(u.flow.Submitted) >= p.s.board.cfg.MaxStopDuration
	if (isFirst || hasWaited) && !p.hopeless[u.need()] {
		p.hopeless[u.need()] = !p.preempt(f, u)
	}
}

// hasPlaced places a unit and reports whether all of its tasks have places.
func (p *planner) hasPlaced(f *fleet, u unit) bool {
	if u.terms.IsGang {
		return p.placeGang(f, u)
	}
	return p.placeSet(f, u)
}

// A seat is a number of a unit's tasks on a node.
type seat struct {
	node  *node
	tasks int
}

// room returns what a unit may use of a node now.
func (p *planner) room(n *node, u unit) pool.ResourceVector {
	if !n.keptUntil.IsZero() && p.s.now.Add(u.terms.Estimate).After(n.keptUntil) {
		return pool.ResourceVector{}
	}
	return n.free
}

// seats finds seats for a number of a unit's tasks on nodes, the fullest nodes
// first, so that whole ones stay free, unless the unit takes the first that fit.
// It returns nil if there are too few.
func seats(nodes []*node, u unit, tasks int, room func(n *node) pool.ResourceVector) []seat {
	var order []*node
	for _, n := range nodes {
		if u.fits(n, room(n), 1) > 0 {
			order = append(order, n)
		}
	}
	if !u.isFirstFit {
		slices.SortStableFunc(order, func(a, b *node) int {
			return cmp.Or(
				cmp.Compare(room(a).Accelerators, room(b).Accelerators),
				cmp.Compare(room(a).MilliCores, room(b).MilliCores),
			)
		})
	}
	var list []seat
	for _, n := range order {
		if tasks == 0 {
			break
		}
		if fit := u.fits(n, room(n), tasks); fit > 0 {
			list = append(list, seat{
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

// take gives the seats to the first waiting tasks of a unit.
func (p *planner) take(u unit, list []seat) {
	next := 0
	p.s.note(Note{
		Text: "Tasks get places.",
		Ref: workflow.Ref{
			Key: u.key(u.indexes[0]),
			Run: u.flow.NextRun(u.key(u.indexes[0])),
		},
		Worker:     list[0].node.worker.ID,
		Reason:     "room",
		Age:        p.s.now.Sub(u.flow.Submitted),
		Tasks:      seatCount(list),
		Queue:      u.flow.Spec.Queue,
		CompleteBy: u.objective,
	})
	for _, seat := range list {
		seat.node.free = seat.node.free.Minus(u.terms.Each.Times(seat.tasks))
		u.perWorker[seat.node.worker.ID] += seat.tasks
		for range seat.tasks {
			p.places = append(p.places, u.placement(u.indexes[next], seat.node.worker))
			next++
		}
	}
}

func seatCount(list []seat) (n int) {
	for _, s := range list {
		n += s.tasks
	}
	return n
}

// placeGang places all members of a gang or none.
func (p *planner) placeGang(f *fleet, u unit) bool {
	room := func(n *node) pool.ResourceVector {
		return p.room(n, u)
	}
	if list := p.gangSeats(f, u, room); list != nil {
		p.take(u, list)
		return true
	}
	return false
}

// gangSeats finds seats for a gang. One that is bound to a rack gets the rack
// where it leaves the least; it is spread over several only if no rack could
// ever hold it, or if waiting has cost more than being slow would.
func (p *planner) gangSeats(f *fleet, u unit, room func(n *node) pool.ResourceVector) []seat {
	if !u.terms.IsRackBound && u.terms.DataRack == "" {
		return seats(f.nodes, u, u.terms.Tasks, room)
	}
	if list := bestRack(f, u, room); list != nil {
		return list
	}
	if p.isWorthWaiting(f, u) {
		return nil
	}
	return seats(f.nodes, u, u.terms.Tasks, room)
}

// bestRack returns the seats in the rack that has the least room beyond what
// the gang takes. A rack that holds its data goes first.
func bestRack(f *fleet, u unit, room func(n *node) pool.ResourceVector) (best []seat) {
	least := 0
	for _, r := range f.racks {
		if u.terms.DataRack != "" && r.name != u.terms.DataRack {
			continue
		}
		list := seats(r.nodes, u, u.terms.Tasks, room)
		if list == nil {
			continue
		}
		free := 0
		for _, n := range r.nodes {
			free += room(n).Accelerators*pool.CoresPerAccelerator + room(n).MilliCores/milli
		}
		if best == nil || free < least {
			best, least = list, free
		}
	}
	return best
}

const milli = 1000

// isWorthWaiting reports whether a unit that is slow off its rack should rather
// wait for room: some rack could hold it, and it has not waited longer than it
// would lose.
func (p *planner) isWorthWaiting(f *fleet, u unit) bool {
	loss := time.Duration(float64(u.terms.Estimate) * (p.s.board.cfg.CrossRackFactor - 1))
	since := u.flow.Submitted
	if due := u.flow.Spec.DueAt(u.occurrence); !due.IsZero() {
		since = due
	}
	if p.s.now.Sub(since) > loss {
		return false
	}
	whole := func(n *node) pool.ResourceVector {
		return n.worker.Capacity
	}
	return bestRack(f, u, whole) != nil
}

// placeSet places as many tasks of a set as there is room for and reports
// whether all of them have places.
func (p *planner) placeSet(f *fleet, u unit) bool {
	room := func(n *node) pool.ResourceVector {
		return p.room(n, u)
	}
	nodes := f.nodes
	if u.terms.DataRack != "" {
		home := nodesOf(f, u.terms.DataRack)
		u = p.takeSome(home, u, room)
		if len(u.indexes) == 0 {
			return true
		}
		if len(home) > 0 && p.isWorthWaiting(f, u.withTasks(1)) {
			return false
		}
	}
	u = p.takeSome(nodes, u, room)
	return len(u.indexes) == 0
}

func nodesOf(f *fleet, rackName string) []*node {
	for _, r := range f.racks {
		if r.name == rackName {
			return r.nodes
		}
	}
	return nil
}

// takeSome places as many of a unit's tasks as fit and returns the rest.
func (p *planner) takeSome(nodes []*node, u unit, room func(n *node) pool.ResourceVector) unit {
	total := 0
	for _, n := range nodes {
		total += u.fits(n, room(n), len(u.indexes))
	}
	tasks := min(total, len(u.indexes))
	if tasks == 0 {
		return u
	}
	p.take(u, seats(nodes, u, tasks, room))
	u.indexes = u.indexes[tasks:]
	return u
}

// withTasks returns u as if it needed another number of tasks.
func (u unit) withTasks(n int) unit {
	u.terms.Tasks = n
	return u
}
