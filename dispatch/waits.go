package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/workflow"
)

// A waitReason is why a placement pass did not place a task group.
type waitReason string

// Reasons why a task group waits.
const (
	waitsForHeadroom   waitReason = "headroom"
	waitsBehindEqual   waitReason = "equal-requirement"
	waitsForRack       waitReason = "rack"
	waitsForCapacity   waitReason = "capacity"
	waitsForPreemption waitReason = "preemption"
	waitsForIsolation  waitReason = "isolation"
	waitsForWorker     waitReason = "no-worker"
	waitsForLimit      waitReason = "organisation-limit"
)

const (
	// waitReportAge is how long a task group waits, or a worker does not answer,
	// before it is logged.
	waitReportAge = 3 * time.Second
	// waitReportInterval is the time between two reports on task groups that wait.
	waitReportInterval = 5 * time.Second
	// maxWaitRecords is the largest number of records of one report.
	maxWaitRecords = 5
)

// A wait is a task group that a placement pass did not place.
type wait struct {
	taskGroup taskGroup
	reason    waitReason
}

// wait notes why a task group was not placed, for the log.
func (p *placer) wait(g taskGroup, reason waitReason) {
	if p.reportsWaits && p.s.now.Sub(g.since()) >= waitReportAge {
		p.waits = append(p.waits, wait{
			taskGroup: g,
			reason:    reason,
		})
	}
}

// waitReason returns why a task group that was tried did not fit.
func (p *placer) waitReason(f *fleet, g taskGroup) waitReason {
	hasRack := g.step.IsGang && g.step.IsRackSensitive || g.step.DataRack != ""
	if !g.step.IsGang {
		g = g.withTasks(1)
	}
	switch {
	case p.reportsWaits && hasRack && p.isWorthWaiting(f, g):
		return waitsForRack
	case p.reportsWaits && g.withTasks(1).fitsOn(f.closedTo(g)):
		return waitsForIsolation
	}
	return waitsForCapacity
}

// closedTo returns the nodes on which isolation keeps a task group from being placed.
func (f *fleet) closedTo(g taskGroup) (nodes []*node) {
	for _, n := range f.nodes {
		if !n.tenancy.admits(g) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// since returns from when a task group counts as waiting: its due time, or the
// submission of its workflow.
func (g taskGroup) since() time.Time {
	return util.Later(g.wf.Spec.DueAt(g.occurrence), g.wf.Submitted)
}

// reportWaits logs task groups that wait although they fit on the workers in
// service, schedulable or not, by their free capacity, or whose pool has no worker in
// service.
func (p *placer) reportWaits(state ClusterState) {
	if len(p.waits) == 0 {
		return
	}
	p.s.dispatcher.waitsReportedAt = p.s.now
	p.reportLimitWaits()
	nodes, excluded := p.s.nodesInService(state)
	n := 0
	for _, w := range p.waits {
		g := w.taskGroup
		if w.reason == waitsForLimit {
			continue
		}
		inService, text := nodes[g.wf.QueueSettings.Pool], "Tasks wait although workers have capacity for them."
		if len(inService) == 0 {
			text = "Tasks wait, since their pool has no worker in service."
		} else if !g.fitsOn(inService) {
			continue
		}
		if n++; n > maxWaitRecords {
			return
		}
		p.s.record(DecisionRecord{
			Text:       text,
			RunKey:     g.firstRun(),
			Reason:     string(w.reason) + excluded,
			Age:        p.s.now.Sub(g.since()),
			Tasks:      len(g.waiting),
			Queue:      g.wf.Spec.Queue,
			CompleteBy: g.targetCompletion,
		})
	}
}

// fitsOn reports whether a whole gang, or one task of another group, fits.
func (g taskGroup) fitsOn(nodes []*node) bool {
	needed := 1
	if g.step.IsGang {
		needed = g.step.Tasks
	}
	for _, n := range nodes {
		if needed -= g.fitCount(n, n.free, needed); needed <= 0 {
			return true
		}
	}
	return false
}

// nodesInService returns the workers in service with their free capacity, by
// pool, and for the log how many of them are not schedulable, by cause.
func (s *reconciliation) nodesInService(state ClusterState) (nodes map[string][]*node, excluded string) {
	nodes = map[string][]*node{}
	causes := map[string]int{}
	for _, w := range state.Workers {
		v, ok := s.dispatcher.workerView(w.ID)
		if w.Leaving || v.hasEnded || state.IsOutOfService(w.DataCentre) {
			continue
		}
		if !ok || !s.isSchedulable(w, v) {
			causes[s.exclusionCause(v, ok)]++
		}
		free := w.Capacity
		for _, t := range s.index.placedByWorker[w.ID] {
			free = free.Minus(t.StepSpec.PerTask)
		}
		for _, o := range v.orphans {
			free = free.Minus(o.needs)
		}
		nodes[w.Pool] = append(nodes[w.Pool], &node{
			worker: w,
			free:   free,
		})
	}
	var b strings.Builder
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		fmt.Fprintf(&b, " %s=%d", cause, causes[cause])
	}
	return nodes, b.String()
}

// exclusionCause returns, for the log, why a worker in service is not
// schedulable.
func (s *reconciliation) exclusionCause(v workerView, isKnown bool) string {
	switch {
	case !isKnown, !s.hasRecentContact(v):
		return "silent"
	case v.unanswered > 0:
		return "unanswered"
	case !v.clock.isKnown():
		return "clock-unknown"
	case s.now.Before(v.backoffUntil):
		return "backoff"
	}
	return "other"
}

// heldRun returns which run on a worker has to be waited for, and why: the worker does not
// answer, the next incarnation may carry out a start, or the gang of the run is broken. It
// returns -1 for none.
func (s *reconciliation) heldRun(v workerView, tasks []workflow.PlacedTask, silence time.Duration) (held int, reason string) {
	if v.hasEnded || !s.hasRecentContact(v) && v.isLeaseExpired(s.now) {
		held = slices.IndexFunc(tasks, func(t workflow.PlacedTask) bool {
			return s.mayStartLate(v, t.RunKey)
		})
		if held >= 0 {
			return held, string(reasonStartOpen)
		}
	}
	if v.unanswered > 0 && silence >= waitReportAge {
		return 0, "unanswered"
	}
	held = slices.IndexFunc(tasks, func(t workflow.PlacedTask) bool {
		return s.index.isGangBroken[t.RunKey] && s.now.Sub(t.At) >= waitReportAge
	})
	return held, string(reasonGangBroken)
}

// reportHeldRuns logs workers on which runs have to be waited for.
func (s *reconciliation) reportHeldRuns() {
	if s.now.Sub(s.dispatcher.heldReportedAt) < waitReportInterval {
		return
	}
	s.dispatcher.heldReportedAt = s.now
	n := 0
	for _, id := range slices.Sorted(maps.Keys(s.index.placedByWorker)) {
		v, ok := s.dispatcher.workerView(id)
		tasks := s.index.placedByWorker[id]
		silence := s.now.Sub(v.lastAnswerAt(s.dispatcher.termStartedAt))
		held, reason := 0, "unanswered"
		if ok {
			held, reason = s.heldRun(v, tasks, silence)
		}
		if held < 0 {
			continue
		}
		if n++; n > maxWaitRecords {
			return
		}
		s.record(DecisionRecord{
			Text:   "Tasks wait for the end of their runs on a worker.",
			RunKey: tasks[held].RunKey,
			Worker: id,
			Reason: reason,
			Age:    silence,
			Tasks:  len(tasks),
		})
	}
}
