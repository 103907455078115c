package workflow

import (
	"slices"
	"time"
)

// A SilentLoss is the loss of a run whose worker was out of reach until its lease was
// over. The worker may have crashed under the run, or only have been cut off.
type SilentLoss struct {
	// Worker and Incarnation identify the worker process.
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born"`
	// At is when the loss was recorded.
	At time.Time `json:"at"`
	// WasAlone and HasBegun are as in RunEnd.
	WasAlone bool `json:"was-alone,omitempty"`
	HasBegun bool `json:"has-begun,omitempty"`
}

// A WorkerFate is what became of the worker of a silent loss.
type WorkerFate string

// The fates of workers.
const (
	// FateAlive means that the same incarnation has answered since, so that it had not
	// crashed.
	FateAlive WorkerFate = "alive"
	// FateCrashed means that the incarnation has ended without notice.
	FateCrashed WorkerFate = "crashed"
	// FateUnknown means that nothing was heard of the worker for too long.
	FateUnknown WorkerFate = "unknown"
)

// WorkerFates returns all fates.
func WorkerFates() []WorkerFate {
	return []WorkerFate{
		FateAlive,
		FateCrashed,
		FateUnknown,
	}
}

// A LossVerdict records the fate of the worker of a silent loss.
type LossVerdict struct {
	TaskKey
	// Worker and Incarnation identify the worker process.
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born"`
	// Fate is what became of it.
	Fate WorkerFate `json:"fate"`
}

// An UnresolvedLoss is a silent loss of a task for which there is no verdict yet.
type UnresolvedLoss struct {
	TaskKey
	SilentLoss
}

// UnresolvedLosses returns the silent losses of all tasks for which there is no
// verdict yet.
func (w Workflow) UnresolvedLosses() (list []UnresolvedLoss) {
	for k, o := range w.Occurrences {
		for s, r := range o.Steps {
			for i, t := range r.Tasks {
				for _, l := range t.UnresolvedLosses {
					list = append(list, UnresolvedLoss{
						TaskKey: TaskKey{
							Workflow:   w.Spec.ID,
							Occurrence: k,
							Step:       s,
							Index:      i,
						},
						SilentLoss: l,
					})
				}
			}
		}
	}
	return list
}

// AcceptsVerdict reports whether the task of v has a loss that v is about.
func (w Workflow) AcceptsVerdict(v LossVerdict) bool {
	t, ok := w.Task(v.TaskKey)
	return ok && slices.ContainsFunc(t.UnresolvedLosses, v.isAbout)
}

// WithLossVerdict returns a copy of w after a verdict on a silent loss, which may
// be what gives a task up. It returns w unchanged if AcceptsVerdict is false for v.
func (w Workflow) WithLossVerdict(now time.Time, v LossVerdict) Workflow {
	if !w.AcceptsVerdict(v) {
		return w
	}
	t, _ := w.Task(v.TaskKey)
	wasAlone := slices.ContainsFunc(t.UnresolvedLosses, func(l SilentLoss) bool {
		return v.isAbout(l) && l.WasAlone
	})
	t = t.withLossVerdict(now, v)
	w = w.withTask(v.TaskKey, func(Task) Task {
		return t
	})
	hasSucceeded := w.Occurrences[v.Occurrence].Steps[v.Step].HasSucceeded(w.Spec.Steps[v.Step])
	if w.IsOpen() && !hasSucceeded && v.Fate == FateCrashed && t.mustGiveUp(wasAlone) {
		w.Phase = Failed{
			At:    now,
			Cause: EndedCrashed,
		}
	}
	return w
}

// isAbout reports whether l is a loss of the worker that v is about.
func (v LossVerdict) isAbout(l SilentLoss) bool {
	return l.Worker == v.Worker && l.Incarnation == v.Incarnation
}

// withLossVerdict returns a copy of t with the loss counted by the fate of its worker:
// not at all, as a crash, which is confirmed if the run had certainly begun, or as
// before.
func (t Task) withLossVerdict(now time.Time, v LossVerdict) Task {
	var rest []SilentLoss
	for _, l := range t.UnresolvedLosses {
		if !v.isAbout(l) {
			rest = append(rest, l)
			continue
		}
		switch v.Fate {
		case FateAlive:
			t.Crashes--
			t.UnconfirmedCrashes--
			t.SilentLosses--
		case FateCrashed:
			t.SilentLosses--
			t.CrashedAt = now
			if l.HasBegun {
				t.UnconfirmedCrashes--
			}
		case FateUnknown:
		}
	}
	t.UnresolvedLosses = rest
	return t
}

// AwaitsVerdict reports whether the task may not be started again before there is a
// verdict on a silent loss: it would have to be given up if the workers had crashed.
func (t Task) AwaitsVerdict() bool {
	return t.Crashes >= maxSharedCrashes && len(t.UnresolvedLosses) > 0
}
