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
}

// units returns what waits for a place, the most urgent first.
func units(now time.Time, flows []workflow.Workflow) []unit {
	var list []unit
	for _, w := range flows {
		if !w.IsOpen() {
			continue
		}
		for k := range w.Due(now) {
			list = append(list, unitsOf(now, w, k)...)
		}
	}
	slices.SortStableFunc(list, compareUnits)
	return list
}

func unitsOf(now time.Time, w workflow.Workflow, occurrence int) (list []unit) {
	o := w.Occurrence(occurrence)
	if o.IsDone(w.Spec) {
		return nil
	}
	for i, terms := range w.Spec.Steps {
		r := o.Steps[i]
		if r.IsDone(terms) || !o.IsReady(w.Spec, i) || terms.IsGang && r.HasPlaced() {
			continue
		}
		u := unit{
			flow:       w,
			occurrence: occurrence,
			step:       i,
			terms:      terms,
			perWorker:  map[string]int{},
			objective:  w.Objective(occurrence),
		}
		for n, t := range r.Tasks {
			if t.IsWaiting() {
				u.indexes = append(u.indexes, n)
			}
			if p, ok := t.Place(); ok {
				u.perWorker[p.Worker]++
			}
		}
		u.isLate = now.Add(terms.Estimate).After(u.objective)
		if len(u.indexes) > 0 {
			list = append(list, u)
		}
	}
	return list
}

// compareUnits orders by priority, then those that can still be in time, then
// by their objective.
func compareUnits(a, b unit) int {
	late := func(u unit) int {
		if u.isLate {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(a.flow.Terms.Priority, b.flow.Terms.Priority),
		cmp.Compare(late(a), late(b)),
		a.objective.Compare(b.objective),
	)
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
		Born:   w.Born,
	}
}

// A need is what units have in common that find room, or none, alike.
type need struct {
	pool     string
	each     pool.Room
	tasks    int
	isGang   bool
	isBound  bool
	label    string
	dataRack string
	maxEach  int
	priority int
}

// need returns what decides whether u finds room. Units that bound their tasks
// for each worker depend on those already placed and compare to none.
func (u unit) need() need {
	n := need{
		pool:     u.flow.Terms.Pool,
		each:     u.terms.Each,
		tasks:    1,
		isGang:   u.terms.IsGang,
		isBound:  u.terms.IsRackBound,
		label:    u.terms.Label,
		dataRack: u.terms.DataRack,
		maxEach:  u.terms.MaxPerWorker,
		priority: u.flow.Terms.Priority,
	}
	if u.terms.IsGang {
		n.tasks = u.terms.Tasks
	}
	return n
}

// fits returns how many of a unit's tasks may go to a node with the given room.
func (u unit) fits(n *node, room pool.Room, limit int) int {
	if u.terms.Label != "" && !n.worker.HasLabel(u.terms.Label) {
		return 0
	}
	if u.terms.MaxPerWorker > 0 {
		limit = min(limit, u.terms.MaxPerWorker-u.perWorker[n.worker.ID])
	}
	return u.terms.Each.TimesIn(room, limit)
}
