package dispatch

import (
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// sweepRun decides what a worker is told about one run that has a place there.
func (s *sweeper) sweepRun(v view, t workflow.PlacedTask) view {
	if v.hasFinish(t.Ref) {
		return v
	}
	r := v.runs[t.Ref]
	mayHaveStarted := !r.isOurs || r.starts > 0
	if mayHaveStarted && v.worker.Incarnation == t.Born && s.isLeaseOver(v) {
		s.end(t, workflow.EndedLost, "lease-over", s.now.Sub(v.answered))
		return v
	}
	if r.unwanted == "" {
		r = s.judge(v, t, r)
		v = v.blame(s.now, t, r)
	}
	if r.unwanted != "" {
		return s.stopRun(v, t, r)
	}
	return s.startRun(v, t, r)
}

// isLeaseOver reports whether everything on a worker has surely been killed. A
// worker that was never heard is bounded by what a leader before can have
// promised.
func (s *sweeper) isLeaseOver(v view) bool {
	switch {
	case !v.clock.isKnown():
		return s.now.Sub(s.board.since) > s.unheardPatience()
	case !v.goneAt.IsZero():
		// The next life may have taken a start, and counts the lease anew.
		return s.now.Sub(v.goneAt) > 2*s.unheardPatience()
	}
	return v.isLeaseOver(s.now)
}

// judge returns r marked with the reason to end it, if there is one.
func (s *sweeper) judge(v view, t workflow.PlacedTask, r run) run {
	isStarted := !r.accepted.IsZero()
	_, isListed := v.listed[t.Ref]
	switch {
	case !t.IsWanted:
		r.unwanted = reasonDecided
	case v.worker.Incarnation != t.Born:
		r.unwanted = reasonReborn
	case s.index.isBroken[t.Ref]:
		if r.brokenAt.IsZero() {
			r.brokenAt = s.now
		}
		if s.now.Sub(r.brokenAt) >= brokenGrace || !isStarted {
			r.unwanted = reasonBroken
		}
	case r.isRefused:
		r.unwanted = reasonRefused
	case !isStarted && v.worker.Leaving:
		r.unwanted = reasonLeaving
	case !isStarted && s.scene.IsOutOfService(v.worker.DataCentre):
		r.unwanted = reasonOut
	case !isStarted && r.starts > 0 && s.now.Sub(r.firstStart) >= startPatience:
		r.unwanted = reasonNoAnswer
	case isStarted && v.listedAt.After(r.accepted) && !isListed:
		r.unwanted = reasonVanished
	case isListed && isStuck(v, s.expected(t), r):
		r.unwanted = reasonStuck
	}
	if r.unwanted != "" {
		s.note(Note{
			Text:   "Run is to end.",
			Ref:    t.Ref,
			Worker: v.worker.ID,
			Reason: string(r.unwanted),
			Age:    s.now.Sub(v.heard),
		})
	}
	return r
}

// blame returns v after a run was found stuck there. A member of a gang may wait
// for another, so it counts as one failure; a single task's worker stands still.
func (v view) blame(now time.Time, t workflow.PlacedTask, r run) view {
	if r.unwanted != reasonStuck {
		return v
	}
	v.isChanged = true
	v = v.withEnding(now, workflow.EndedFailed)
	if !t.Terms.IsGang {
		pause := stuckAvoidance << min(v.refusals, maxAvoidanceShift)
		v.avoidUntil = later(v.avoidUntil, now.Add(pause))
	}
	return v
}

const (
	// stuckAfter is how long a listed run may show the same progress, if that
	// is also the time in which it should have moved by several percent.
	stuckAfter = 1800 * time.Millisecond
	// stuckPercent is that progress.
	stuckPercent = 10
	// stuckAvoidance is half of how long a worker that stands still gets nothing
	// new at first, and twice as long each time: it takes as long to find out.
	stuckAvoidance = 4 * time.Second
	// donePercent is the progress of a gang's member that waits for the others.
	donePercent = 99
)

// isStuck reports whether a run has not moved for much longer than it should.
func isStuck(v view, takes time.Duration, r run) bool {
	still := v.listedAt.Sub(r.movedAt)
	return !r.movedAt.IsZero() && r.percent < donePercent && still >= max(stuckAfter, takes*stuckPercent/100)
}

// startRun sends a start until it is answered. A run that an earlier leader
// placed may be there, and one that was not answered may have reached another
// life of the worker: the worker is asked first.
func (s *sweeper) startRun(v view, t workflow.PlacedTask, r run) view {
	isAsked := r.isOurs || !v.listedAt.IsZero()
	if r.starts > 0 {
		isAsked = v.listedAt.After(r.lastStart)
	}
	if !r.accepted.IsZero() || !isAsked || !v.clock.isKnown() || !v.goneAt.IsZero() {
		return v.withRun(t.Ref, r)
	}
	if r.starts == 0 {
		r.firstStart = s.now
	}
	r.lastStart = s.now
	r.starts++
	r.open++
	lease := v.clock.now(s.now) + s.board.cfg.LeaseDuration.Milliseconds()
	v.promised = max(v.promised, lease)
	w := s.index.flows[t.Workflow]
	checkpoint := w.StartCheckpoint(t.Key)
	r.isResumed = checkpoint != ""
	s.send(Start{
		Target:     s.target(v),
		Ref:        t.Ref,
		Payload:    w.Spec.Payload,
		Checkpoint: checkpoint,
		LeaseUntil: lease,
	})
	return v.withRun(t.Ref, r)
}

// stopRun sends a stop until it is obeyed, and ends the run once the worker
// does not list it any more. A run that no start can have reached ends at once.
func (s *sweeper) stopRun(v view, t workflow.PlacedTask, r run) view {
	isUntouched := r.isOurs && r.starts == 0
	isDeclined := r.isOurs && r.isRefused && r.starts == 1
	if isUntouched || isDeclined {
		s.end(t, workflow.EndedUnstarted, string(r.unwanted), 0)
		return v.withRun(t.Ref, r)
	}
	if r.stopped.IsZero() {
		return s.sendStop(v, t.Ref, r)
	}
	_, isListed := v.listed[t.Ref]
	switch {
	case v.listedAt.After(r.stopped) && !isListed:
		s.end(t, workflow.EndedLost, string(r.unwanted), s.now.Sub(v.listedAt))
	case isListed && s.now.Sub(r.stopped) > s.board.cfg.MaxStopDuration+time.Second:
		return s.sendStop(v, t.Ref, r)
	}
	return v.withRun(t.Ref, r)
}

func (s *sweeper) sendStop(v view, ref workflow.Ref, r run) view {
	if s.now.Sub(r.lastStop) >= stopRetry && v.goneAt.IsZero() {
		r.lastStop = s.now
		s.send(Stop{
			Target: s.target(v),
			Ref:    ref,
		})
	}
	return v.withRun(ref, r)
}

// stopGhosts stops runs that a worker lists though they have no place there.
func (s *sweeper) stopGhosts(v view) view {
	for ref := range v.listed {
		if !v.goneAt.IsZero() {
			return v
		}
		if s.index.refs[ref] || v.hasFinish(ref) {
			continue
		}
		s.send(Stop{
			Target: s.target(v),
			Ref:    ref,
		})
		s.note(Note{
			Text:   "Worker runs what has no place there.",
			Ref:    ref,
			Worker: v.worker.ID,
			Reason: "stopped",
			Age:    s.now.Sub(v.listedAt),
		})
		v = v.withoutListed(ref)
	}
	return v
}
