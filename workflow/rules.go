package workflow

import (
	"slices"
	"time"
)

// CanPlace reports whether a task may be placed now: the workflow is open, the
// occurrence is due, all dependencies of the step have succeeded, and no other
// run of the task, or of its gang, can be in progress.
func (w Workflow) CanPlace(now time.Time, k TaskKey) bool {
	if !w.IsOpen() || k.Occurrence >= w.Spec.OccurrenceCount() || !w.IsDue(now, k.Occurrence) || k.Step >= len(w.Spec.Steps) {
		return false
	}
	o := w.Occurrence(k.Occurrence)
	if !o.IsReady(w.Spec, k.Step) {
		return false
	}
	r := o.Steps[k.Step]
	if w.Spec.Steps[k.Step].IsGang {
		return !r.HasPlacedTask() && !r.HasSucceeded(w.Spec.Steps[k.Step])
	}
	return k.Index < len(r.Tasks) && r.Tasks[k.Index].IsWaiting()
}

// NextRun returns the number of the next run of a task. All members of a gang
// have the same run number.
func (w Workflow) NextRun(k TaskKey) int {
	if k.Occurrence >= len(w.Occurrences) {
		return 1
	}
	r := w.Occurrence(k.Occurrence).Steps[k.Step]
	if w.Spec.Steps[k.Step].IsGang {
		return r.LatestRun() + 1
	}
	return r.Tasks[k.Index].Run + 1
}

// WithPlacements returns a copy of w with tasks of one step placed. It returns w
// unchanged and false if any of the placements is not allowed, or if some
// members of a gang are missing. The list must not be empty.
func (w Workflow) WithPlacements(now time.Time, list []Placement) (Workflow, bool) {
	first := list[0].TaskKey
	if !w.CanPlace(now, first) {
		return w, false
	}
	next := w.withOccurrence(first.Occurrence)
	if !next.Occurrences[first.Occurrence].Steps[first.Step].accepts(w.Spec.Steps[first.Step], list) {
		return w, false
	}
	next = next.withStep(first, func(r StepState) StepState {
		return r.withPlacements(now, list)
	})
	next.HasStarted = true
	return next, true
}

// accepts reports whether the tasks of a list of placements may be placed, all members
// if the step is a gang, given that one of them may be.
func (r StepState) accepts(s Step, list []Placement) bool {
	gangRun := r.LatestRun() + 1
	for _, p := range list {
		if p.Index >= len(r.Tasks) || s.IsGang && p.Run != gangRun {
			return false
		}
		if t := r.Tasks[p.Index]; !s.IsGang && (!t.IsWaiting() || p.Run != t.Run+1) {
			return false
		}
	}
	return !s.IsGang || len(list) == s.Tasks
}

// withPlacements returns a copy of r with tasks placed.
func (r StepState) withPlacements(now time.Time, list []Placement) StepState {
	r.Tasks = slices.Clone(r.Tasks)
	for _, p := range list {
		r.Tasks[p.Index] = r.Tasks[p.Index].WithPlacement(p.Run, Placed{
			Worker:      p.Worker,
			Incarnation: p.Incarnation,
			At:          now,
		})
	}
	return r
}

func (w Workflow) withTask(k TaskKey, change func(t Task) Task) Workflow {
	return w.withStep(k, func(r StepState) StepState {
		return r.WithTask(k.Index, change(r.Tasks[k.Index]))
	})
}

func (w Workflow) withStep(k TaskKey, change func(r StepState) StepState) Workflow {
	w = w.withOccurrence(k.Occurrence)
	o := w.Occurrences[k.Occurrence]
	w.Occurrences[k.Occurrence] = o.WithStep(k.Step, change(o.Steps[k.Step]))
	return w
}

// withOccurrence returns a copy of w that holds its occurrences up to an index.
func (w Workflow) withOccurrence(index int) Workflow {
	w.Occurrences = slices.Clone(w.Occurrences)
	for len(w.Occurrences) <= index {
		w.Occurrences = append(w.Occurrences, newOccurrence(w.Spec))
	}
	return w
}

// AcceptsEnd reports whether e is the end of the current run of a placed task.
func (w Workflow) AcceptsEnd(e RunEnd) bool {
	t, ok := w.Task(e.TaskKey)
	if !ok || t.Run != e.Run {
		return false
	}
	_, isPlaced := t.CurrentPlacement()
	return isPlaced
}

// WithRunEnd returns a copy of w after the end of a run. It returns w unchanged
// if AcceptsEnd is false for e, as for a repeated report.
func (w Workflow) WithRunEnd(now time.Time, e RunEnd) Workflow {
	if !w.AcceptsEnd(e) {
		return w
	}
	isGang := w.Spec.Steps[e.Step].IsGang
	w = w.withStep(e.TaskKey, func(r StepState) StepState {
		if isGang {
			r = r.withGangRunEnd(e)
		}
		return r.WithTask(e.Index, r.Tasks[e.Index].withRunEnd(now, e))
	})
	return w.withPhaseAfter(now, e)
}

func (t Task) withRunEnd(now time.Time, e RunEnd) Task {
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	if e.IsStalled {
		t.Stalls++
	}
	if e.isCrash() {
		t.Crashes++
		t.CrashedAt = now
	}
	if e.isCrash() && e.IsUnconfirmed {
		t.UnconfirmedCrashes++
	}
	if e.isCrash() && e.EndReason == EndedLost {
		t.SilentLosses++
	}
	if p, isPlaced := t.CurrentPlacement(); isPlaced && e.isCrash() && e.AwaitsVerdict {
		t.UnresolvedLosses = append(slices.Clone(t.UnresolvedLosses), SilentLoss{
			Worker:      p.Worker,
			Incarnation: p.Incarnation,
			At:          now,
			WasAlone:    e.WasAlone,
			HasBegun:    e.HasBegun,
		})
	}
	switch e.EndReason {
	case EndedDone:
		return t.WithState(Succeeded{})
	case EndedFailed:
		t.Failures++
	case EndedStopped, EndedLeaseExpired, EndedGangAborted, EndedGangIncomplete, EndedLost, EndedCrashed, EndedNotStarted:
	}
	return t.WithState(Waiting{})
}

// withGangRunEnd records the effect of a run's end on the gang as a whole. Members
// that fail in the same run count as one failure.
func (r StepState) withGangRunEnd(e RunEnd) StepState {
	if e.Checkpoint != "" {
		r.Checkpoint = e.Checkpoint
	}
	if e.EndReason == EndedFailed && r.LastFailedRun != e.Run {
		r.LastFailedRun = e.Run
		r.Failures++
	}
	return r
}

// withPhaseAfter returns a copy of w in the phase that the end of a run leads to.
func (w Workflow) withPhaseAfter(now time.Time, e RunEnd) Workflow {
	if !w.IsOpen() {
		return w
	}
	if w.mustGiveUpAfter(e) {
		w.Phase = Failed{
			At:    now,
			Cause: e.EndReason,
		}
		return w
	}
	if w.countDoneOccurrences() == w.Spec.OccurrenceCount() {
		w.Phase = Completed{
			At: now,
		}
	}
	return w
}

// mustGiveUpAfter reports whether the end of a run was the last that its task, or
// its gang, may have without success.
func (w Workflow) mustGiveUpAfter(e RunEnd) bool {
	step := w.Spec.Steps[e.Step]
	r := w.Occurrences[e.Occurrence].Steps[e.Step]
	if r.HasSucceeded(step) {
		return false
	}
	t := r.Tasks[e.Index]
	switch e.EndReason {
	case EndedFailed:
		failures := t.Failures
		if step.IsGang {
			failures = r.Failures
		}
		return failures >= w.QueueSettings.MaxAttempts
	case EndedCrashed, EndedLost:
		return e.isCrash() && t.mustGiveUp(e.WasAlone && !e.AwaitsVerdict)
	case EndedDone, EndedStopped, EndedLeaseExpired, EndedGangAborted, EndedGangIncomplete, EndedNotStarted:
	}
	return false
}

func (w Workflow) countDoneOccurrences() int {
	n := 0
	for _, o := range w.Occurrences {
		if o.HasSucceeded(w.Spec) {
			n++
		}
	}
	return n
}

// WithCancelled returns a copy of w in phase Cancelled. A workflow that is already
// finished is returned unchanged.
func (w Workflow) WithCancelled(now time.Time) Workflow {
	if w.IsOpen() {
		w.Phase = Cancelled{
			At: now,
		}
	}
	return w
}
