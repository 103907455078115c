package dispatch

import (
	"fmt"
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// organisationLimits is the working state of a placement pass on what organisations use and
// what they may use.
type organisationLimits struct {
	state   ClusterState
	overage float64
	limits  map[string]pool.ResourceVector
	// placed holds what the committed and the new placements of each organisation use.
	placed map[string]pool.ResourceVector
	// held holds what is kept for urgent work that waits for runs which are being stopped.
	held map[string]pool.ResourceVector
	// reserved holds what is kept for work that waits for the limit: for each organisation at
	// most one gang, and one task that is not in a gang.
	reserved map[string][]limitReservation
}

// A limitReservation is what is kept for a gang or task that is expected to fit within the
// limit of its organisation at a time.
type limitReservation struct {
	taskGroup taskGroup
	use       pool.ResourceVector
	at        time.Time
}

func newOrganisationLimits(state ClusterState, overage float64, used map[string]pool.ResourceVector) *organisationLimits {
	return &organisationLimits{
		state:    state,
		overage:  overage,
		limits:   map[string]pool.ResourceVector{},
		placed:   maps.Clone(used),
		held:     map[string]pool.ResourceVector{},
		reserved: map[string][]limitReservation{},
	}
}

// limitOf returns the limit of an organisation; zero for none.
func (l *organisationLimits) limitOf(organisation string) pool.ResourceVector {
	limit, ok := l.limits[organisation]
	if !ok {
		limit = l.state.LimitOf(organisation)
		l.limits[organisation] = limit
	}
	return limit
}

// add notes that tasks of a task group were placed.
func (l *organisationLimits) add(g taskGroup, tasks int) {
	org := g.wf.Spec.Organisation
	l.placed[org] = l.placed[org].Plus(g.step.PerTask.Times(tasks))
}

// hold keeps room for tasks of an urgent task group for the rest of the pass.
func (l *organisationLimits) hold(g taskGroup, tasks int) {
	org := g.wf.Spec.Organisation
	if l.limitOf(org).IsZero() || !l.canEverFit(g) {
		return
	}
	l.held[org] = l.held[org].Plus(g.step.PerTask.Times(tasks))
}

// canEverFit reports whether a gang, or one task of another group, fits within the limit if
// nothing else of the organisation is placed.
func (l *organisationLimits) canEverFit(g taskGroup) bool {
	limit := l.limitOf(g.wf.Spec.Organisation).WithOverage(l.overage)
	return limit.CanEverFit(g.step.PerTask, g.leastTasks())
}

// leastTasks returns how many of the waiting tasks have to be placed at the same time.
func (g taskGroup) leastTasks() int {
	if g.step.IsGang {
		return len(g.waiting)
	}
	return 1
}

// split returns the tasks of a task group that fit within the limit of its organisation, and
// the others, either without waiting tasks if there are none. A gang is not split.
func (l *organisationLimits) split(now time.Time, g taskGroup, ignoresReservations bool) (within, beyond taskGroup) {
	within, beyond = g, g
	org := g.wf.Spec.Organisation
	limit := l.limitOf(org)
	if limit.IsZero() {
		beyond.waiting = nil
		return within, beyond
	}
	used := l.placed[org].Plus(l.held[org])
	for _, r := range l.reserved[org] {
		if !ignoresReservations && r.isBefore(now, g) {
			used = used.Plus(r.use)
		}
	}
	n := fitWithin(limit, l.overage, used, g.step.PerTask, g.leastTasks(), len(g.waiting))
	within.waiting, beyond.waiting = g.waiting[:n], g.waiting[n:]
	return within, beyond
}

// isBefore reports whether a task group has to leave what is reserved: it began to wait after
// the one that it is for and would not end in time.
func (r limitReservation) isBefore(now time.Time, g taskGroup) bool {
	// DeclaredRunTime holds the predicted run time.
	return !g.since().Before(r.taskGroup.since()) && now.Add(g.step.DeclaredRunTime).After(r.at)
}

// fitWithin returns how many of a number of tasks may be added to what an organisation uses,
// either none or at least the given number. Tasks that exceed the limit by themselves may
// exceed it by the overage if nothing else is used. Only resources that the tasks need count.
func fitWithin(limit pool.ResourceVector, overage float64, used, perTask pool.ResourceVector, least, most int) int {
	if n := perTask.FitCount(limit.RoomFor(perTask, used), most); n >= least {
		return n
	}
	if used.IsZero() && limit.WithOverage(overage).CanEverFit(perTask, least) {
		return least
	}
	return 0
}

// organisationUse returns what the placed tasks of workflows use, by organisation. Placements
// last until the end of the run is committed, so that runs after a lost answer, runs that are
// being stopped and runs of an earlier leader are included.
func organisationUse(list []workflow.Workflow, placed [][]workflow.PlacedTask) map[string]pool.ResourceVector {
	used := map[string]pool.ResourceVector{}
	for i, w := range list {
		if len(placed[i]) > 0 {
			used[w.Spec.Organisation] = used[w.Spec.Organisation].Plus(workflow.UseOf(placed[i]))
		}
	}
	return used
}

// placeWithinLimit places as much of a task group as fits within the limit of its
// organisation. What does not fit there blocks no other work with the same requirement.
func (p *placer) placeWithinLimit(g taskGroup) {
	f := p.fleets[g.wf.QueueSettings.Pool]
	if f == nil {
		p.wait(g, waitsForWorker)
		return
	}
	within, beyond := p.limits.split(p.s.now, g, p.ignoresReservations(g))
	unplaced := len(within.waiting)
	if unplaced > 0 {
		placed := len(p.placements)
		p.placeOne(f, within)
		unplaced -= len(p.placements) - placed
	}
	isUrgent := mayPreempt(p.s.dispatcher.cfg.Policy, g)
	switch {
	case unplaced > 0 && isUrgent && !p.unpreemptable[g.requirement()]:
		p.limits.hold(g, unplaced)
	case unplaced > 0 || len(beyond.waiting) == 0:
	default:
		p.waitForLimit(f, beyond, len(within.waiting) > 0)
	}
}

// describe returns, for the log, what an organisation uses of its limit.
func (l *organisationLimits) describe(organisation string) string {
	limit, used := l.limitOf(organisation), l.placed[organisation]
	text := organisation
	for _, u := range limit.LimitedUses(used) {
		text += fmt.Sprintf(" %s=%d/%d", u.Resource, u.Used, u.Limit)
	}
	return text
}

// reportLimitWaits logs one record for each organisation whose work waits for its limit.
func (p *placer) reportLimitWaits() {
	tasks := map[string]int{}
	var first []taskGroup
	for _, w := range p.waits {
		org := w.taskGroup.wf.Spec.Organisation
		if w.reason != waitsForLimit {
			continue
		}
		if tasks[org] == 0 {
			first = append(first, w.taskGroup)
		}
		tasks[org] += len(w.taskGroup.waiting)
	}
	for _, g := range first[:min(len(first), maxWaitRecords)] {
		org := g.wf.Spec.Organisation
		p.s.record(DecisionRecord{
			Text:       "Tasks wait for the limit of their organisation.",
			RunKey:     g.firstRun(),
			Reason:     string(waitsForLimit) + " " + p.limits.describe(org),
			Age:        p.s.now.Sub(g.since()),
			Tasks:      tasks[org],
			Queue:      g.wf.Spec.Queue,
			CompleteBy: g.targetCompletion,
		})
	}
}
