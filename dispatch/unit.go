package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A unit is the waiting tasks of one step of one occurrence.
type unit struct {
	flow       workflow.Workflow
	occurrence int
	step       int
	terms      workflow.Step
	// indexes holds the tasks that wait.
	indexes []int
	// perWorker counts the step's tasks that are placed or done, by worker, if
	// the step bounds them.
	perWorker map[string]int
	// objective is when the occurrence should be done.
	objective time.Time
	// isLate is true if the objective cannot be met any more.
	isLate bool
	// isGuaranteed is true for urgent work inside its organisation's guarantee.
	isGuaranteed bool
	// isFirstFit is true if the first nodes that fit are taken.
	isFirstFit bool
}

// units returns what waits for a place, the most urgent first.
func (s *sweeper) units(scene ClusterState) []unit {
	var list []unit
	held := map[string]int{}
	for _, w := range scene.Workflows {
		if !w.IsOpen() {
			continue
		}
		isGuaranteed := false
		if w.Terms.Priority == 0 {
			org := w.Spec.Organisation
			held[org] += w.Spec.Accelerators()
			isGuaranteed = held[org] <= scene.GuaranteedTo(org)
		}
		for k := range w.Due(s.now) {
			for _, u := range s.unitsOf(w, k) {
				u.isGuaranteed = isGuaranteed
				list = append(list, u)
			}
		}
	}
	slices.SortStableFunc(list, orderOf(s.board.cfg.Policy))
	return list
}

func (s *sweeper) unitsOf(w workflow.Workflow, occurrence int) (list []unit) {
	o := w.Occurrence(occurrence)
	if o.IsDone(w.Spec) {
		return nil
	}
	takes := func(declared time.Duration) time.Duration {
		return s.board.estimates.of(w.Spec.Queue, declared)
	}
	for i, terms := range w.Spec.Steps {
		r := o.Steps[i]
		if r.IsDone(terms) || !o.IsReady(w.Spec, i) || terms.IsGang && r.HasPlaced() {
			continue
		}
		terms.Estimate = takes(terms.Estimate)
		u := unit{
			flow:       w,
			occurrence: occurrence,
			step:       i,
			terms:      terms,
			perWorker:  map[string]int{},
			isFirstFit: takesFirstFit(s.board.cfg.Policy),
			objective:  w.Objective(occurrence, takes),
		}
		for n, t := range r.Tasks {
			if t.IsWaiting() {
				u.indexes = append(u.indexes, n)
			}
			if p, ok := t.Place(); ok {
				u.perWorker[p.Worker]++
			}
		}
		u.isLate = s.now.Add(terms.Estimate).After(u.objective)
		if len(u.indexes) > 0 {
			list = append(list, u)
		}
	}
	return list
}

// compareUnits orders by priority; then what is inside a guarantee, in the order
// of submission, since a guarantee has to be met within a fixed time; then what
// can still be in time; then by the objective.
func compareUnits(a, b unit) int {
	if c := cmp.Or(
		cmp.Compare(a.flow.Terms.Priority, b.flow.Terms.Priority),
		compareBool(b.isGuaranteed, a.isGuaranteed),
	); c != 0 {
		return c
	}
	if a.isGuaranteed {
		return a.flow.Submitted.Compare(b.flow.Submitted)
	}
	return cmp.Or(compareBool(a.isLate, b.isLate), a.objective.Compare(b.objective))
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (u unit) key(index int) workflow.Key {
	return workflow.Key{
		Workflow:   u.flow.Spec.ID,
		Occurrence: u.occurrence,
		Step:       u.step,
		Index:      index,
	}
}

func (u unit) placement(index int, w pool.Worker) workflow.Placement {
	k := u.key(index)
	return workflow.Placement{
		Ref: workflow.Ref{
			Key: k,
			Run: u.flow.NextRun(k),
		},
		Worker: w.ID,
		Born:   w.Incarnation,
	}
}

// A need is what units have in common that find room, or none, alike.
type need struct {
	pool     string
	each     pool.ResourceVector
	tasks    int
	isGang   bool
	isBound  bool
	label    string
	dataRack string
	priority int
	// only is the workflow whose own tasks decide as well; empty for none.
	only string
}

// need returns what decides whether u finds room. A unit that bounds its tasks
// for each worker depends on those already placed.
func (u unit) need() need {
	n := need{
		pool:     u.flow.Terms.Pool,
		each:     u.terms.Each,
		tasks:    1,
		isGang:   u.terms.IsGang,
		isBound:  u.terms.IsRackBound,
		label:    u.terms.Label,
		dataRack: u.terms.DataRack,
		priority: u.flow.Terms.Priority,
	}
	if u.terms.IsGang {
		n.tasks = u.terms.Tasks
	}
	if u.terms.MaxPerWorker > 0 {
		n.only = u.flow.Spec.ID
	}
	return n
}

// fits returns how many of a unit's tasks may go to a node with the given room.
func (u unit) fits(n *node, room pool.ResourceVector, limit int) int {
	if u.terms.Label != "" && !n.worker.HasLabel(u.terms.Label) {
		return 0
	}
	if u.terms.MaxPerWorker > 0 {
		limit = min(limit, u.terms.MaxPerWorker-u.perWorker[n.worker.ID])
	}
	return u.terms.Each.CopiesIn(room, limit)
}
