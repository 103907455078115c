package dispatch

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/workflow"
)

// renewLease sends a Renew if one is due. An idle worker gets none, unless it needsFence.
func (s *reconciliation) renewLease(v workerView, tasks []workflow.PlacedTask) workerView {
	needsListing := s.needsListing(v, tasks)
	isUrgent := needsListing && v.renewsInFlight < 2
	switch {
	case v.hasEnded:
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
	case s.mayBeRunning(v, tasks), len(v.orphans) > 0:
		return s.sendRenew(v, MaxRenewWait)
	case v.ackedSequence < v.committedSequence, s.needsProbe(v), s.needsFence(v):
		return s.sendRenew(v, 0)
	}
	return v
}

// needsProbe reports whether a worker left its last order unanswered although it
// is still in contact. Such a worker gets no new tasks until it answers an order.
// One that is back after a silent loss is asked for an answer as well.
func (s *reconciliation) needsProbe(v workerView) bool {
	return s.hasRecentContact(v) && (v.unanswered > 0 || s.awaitsVerdict(v))
}

// needsListing reports whether a decision about some run waits for a newer
// complete listing.
func (s *reconciliation) needsListing(v workerView, tasks []workflow.PlacedTask) bool {
	if v.awaitsOrphanListing() {
		return true
	}
	for _, t := range tasks {
		r := v.runs[t.RunKey]
		isInherited := !r.isOwnPlacement && !v.hasListingAfter(time.Time{})
		isUnlisted := r.startsSent == 0 && !s.hasFencedListing(v)
		isStopped := !r.stopAckedAt.IsZero() && !v.hasListingAfter(r.stopAckedAt)
		isOverdue := r.startsSent > 0 && r.startedAt.IsZero() && s.now.Sub(r.lastStartAt) >= startRetryInterval
		isUnsure := isOverdue && !v.hasListingAfter(r.lastStartAt)
		if isInherited || isUnlisted || isStopped || isUnsure || !v.clock.isKnown() || s.awaitsAnswer(v, t, r) {
			return true
		}
	}
	return false
}

// mayBeRunning reports whether the worker may have started any of the runs.
func (s *reconciliation) mayBeRunning(v workerView, tasks []workflow.PlacedTask) bool {
	for _, t := range tasks {
		r := v.runs[t.RunKey]
		isTried := r.startsSent > 0 && s.now.Sub(r.firstStartAt) >= startRetryInterval
		if !r.isOwnPlacement || !r.startedAt.IsZero() || isTried {
			return true
		}
	}
	return false
}

func (s *reconciliation) sendRenew(v workerView, wait time.Duration) workerView {
	lease := int64(0)
	if v.clock.isKnown() && s.now.Sub(v.lastAnswerAt(s.dispatcher.termStartedAt)) < maxRenewalSilence {
		lease = v.clock.now(s.now) + s.dispatcher.cfg.LeaseDuration.Milliseconds()
		v.maxLeaseUntilMS = max(v.maxLeaseUntilMS, lease)
	}
	acknowledged := v.committedSequence
	if v.unanswered > 0 {
		// Another incarnation may answer. Acknowledge nothing, so that it drops
		// none of its own ended runs, and do not let it wait.
		acknowledged, wait = 0, 0
	}
	v.isChanged = true
	v.renewSentAt = s.now
	v.renewsInFlight++
	s.send(Renew{
		Target:      s.target(v),
		LeaseUntil:  lease,
		AckSequence: acknowledged,
		MaxWait:     wait,
	})
	return v
}

// lastAnswerAt returns when the worker last answered an order. A worker that
// has answered none counts from since, the start of the leader's term, or from
// when it became known, whichever is later. Announcements do not count: they may
// arrive from a worker that no order reaches.
func (v workerView) lastAnswerAt(since time.Time) time.Time {
	if v.lastAnsweredAt.IsZero() {
		return util.Later(v.firstSeenAt, since)
	}
	return v.lastAnsweredAt
}

func (v workerView) withoutListed(ref workflow.RunKey) workerView {
	v.isChanged = true
	v.listed = maps.Clone(v.listed)
	delete(v.listed, ref)
	return v
}
