package dispatch

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// renewLease renews a worker's lease and asks for its ends, if that is due. An idle
// worker is left alone.
func (s *scheduler) renewLease(v workerView, tasks []workflow.PlacedTask) workerView {
	needsListing := s.needsListing(v, tasks)
	isUrgent := needsListing && v.renewsInFlight < 2
	switch {
	case !v.supersededAt.IsZero():
		return v
	case v.renewsInFlight > 0 && !isUrgent:
		return v
	case s.now.Sub(v.renewSentAt) < renewRetryInterval && (v.unanswered > 0 || isUrgent):
		return v
	case len(v.uncommittedEnds) > 0:
		if s.now.Sub(v.renewSentAt) < renewInterval && !needsListing {
			return v
		}
		return s.sendRenew(v, 0)
	case needsListing:
		return s.sendRenew(v, 0)
	case s.mayBeRunning(v, tasks):
		return s.sendRenew(v, MaxRenewWait)
	case v.ackedCursor < v.cursor:
		return s.sendRenew(v, 0)
	}
	return v
}

// needsListing reports whether something waits for a fresh listing.
func (s *scheduler) needsListing(v workerView, tasks []workflow.PlacedTask) bool {
	for _, t := range tasks {
		r := v.runs[t.Ref]
		isInherited := !r.isOwnPlacement && v.listingSentAt.IsZero()
		isStopped := !r.stopAckedAt.IsZero() && !v.listingSentAt.After(r.stopAckedAt)
		isOverdue := r.startsSent > 0 && r.startedAt.IsZero() && s.now.Sub(r.lastStartAt) >= startRetryInterval
		isUnsure := isOverdue && !v.listingSentAt.After(r.lastStartAt)
		if isInherited || isStopped || isUnsure || !v.clock.isKnown() {
			return true
		}
	}
	return false
}

// mayBeRunning reports whether any run can be going on.
func (s *scheduler) mayBeRunning(v workerView, tasks []workflow.PlacedTask) bool {
	for _, t := range tasks {
		r := v.runs[t.Ref]
		isTried := r.startsSent > 0 && s.now.Sub(r.firstStartAt) >= startRetryInterval
		if !r.isOwnPlacement || !r.startedAt.IsZero() || isTried {
			return true
		}
	}
	return false
}

func (s *scheduler) sendRenew(v workerView, wait time.Duration) workerView {
	lease := int64(0)
	if v.clock.isKnown() && s.now.Sub(v.lastAnswerAt(s.dispatcher.termStartedAt)) < maxRenewalSilence {
		lease = v.clock.now(s.now) + s.dispatcher.cfg.LeaseDuration.Milliseconds()
		v.maxLeaseUntilMS = max(v.maxLeaseUntilMS, lease)
	}
	cursor := v.cursor
	if v.unanswered > 0 {
		// Another life may answer: see who it is before its ends are forgotten.
		cursor, wait = 0, 0
	}
	v.isChanged = true
	v.renewSentAt = s.now
	v.renewsInFlight++
	s.send(Renew{
		Target:      s.target(v),
		LeaseUntil:  lease,
		AckSequence: cursor,
		MaxWait:     wait,
	})
	return v
}

// lastAnswerAt returns when the worker last answered an order; one that was asked
// nothing yet counts as answering since the leader heard of it.
func (v workerView) lastAnswerAt(since time.Time) time.Time {
	if v.lastAnsweredAt.IsZero() {
		return later(v.lastContact, since)
	}
	return v.lastAnsweredAt
}

func (v workerView) withoutListed(ref workflow.Ref) workerView {
	v.isChanged = true
	v.listed = maps.Clone(v.listed)
	delete(v.listed, ref)
	return v
}
