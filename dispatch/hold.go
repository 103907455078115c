package dispatch

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// hold renews a worker's lease and asks for its ends, if that is due. An idle
// worker is left alone.
func (s *sweeper) hold(v view, tasks []workflow.PlacedTask) view {
	needsLook := s.needsLook(v, tasks)
	isUrgent := needsLook && v.holds < 2
	switch {
	case !v.goneAt.IsZero():
		return v
	case v.holds > 0 && !isUrgent:
		return v
	case s.now.Sub(v.holdSent) < holdRetry && (v.silence > 0 || isUrgent):
		return v
	case len(v.finished) > 0:
		if s.now.Sub(v.holdSent) < renewEvery && !needsLook {
			return v
		}
		return s.sendHold(v, 0)
	case needsLook:
		return s.sendHold(v, 0)
	case s.hasStarted(v, tasks):
		return s.sendHold(v, MaxRenewWait)
	case v.told < v.cursor:
		return s.sendHold(v, 0)
	}
	return v
}

// needsLook reports whether something waits for a fresh listing.
func (s *sweeper) needsLook(v view, tasks []workflow.PlacedTask) bool {
	for _, t := range tasks {
		r := v.runs[t.Ref]
		isInherited := !r.isOurs && v.listedAt.IsZero()
		isStopped := !r.stopped.IsZero() && !v.listedAt.After(r.stopped)
		isOverdue := r.starts > 0 && r.accepted.IsZero() && s.now.Sub(r.lastStart) >= startRetry
		isUnsure := isOverdue && !v.listedAt.After(r.lastStart)
		if isInherited || isStopped || isUnsure || !v.clock.isKnown() {
			return true
		}
	}
	return false
}

// hasStarted reports whether any run can be going on.
func (s *sweeper) hasStarted(v view, tasks []workflow.PlacedTask) bool {
	for _, t := range tasks {
		r := v.runs[t.Ref]
		isTried := r.starts > 0 && s.now.Sub(r.firstStart) >= startRetry
		if !r.isOurs || !r.accepted.IsZero() || isTried {
			return true
		}
	}
	return false
}

func (s *sweeper) sendHold(v view, wait time.Duration) view {
	lease := int64(0)
	if v.clock.isKnown() && s.now.Sub(v.lastAnswer(s.board.since)) < trustSilence {
		lease = v.clock.now(s.now) + s.board.cfg.LeaseDuration.Milliseconds()
		v.promised = max(v.promised, lease)
	}
	cursor := v.cursor
	if v.silence > 0 {
		// Another life may answer: see who it is before its ends are forgotten.
		cursor, wait = 0, 0
	}
	v.isChanged = true
	v.holdSent = s.now
	v.holds++
	s.send(Renew{
		Target:      s.target(v),
		LeaseUntil:  lease,
		AckSequence: cursor,
		MaxWait:     wait,
	})
	return v
}

// lastAnswer returns when the worker last answered an order; one that was asked
// nothing yet counts as answering since the leader heard of it.
func (v view) lastAnswer(since time.Time) time.Time {
	if v.answered.IsZero() {
		return later(v.heard, since)
	}
	return v.answered
}

func (v view) withoutListed(ref workflow.Ref) view {
	v.isChanged = true
	v.listed = maps.Clone(v.listed)
	delete(v.listed, ref)
	return v
}
