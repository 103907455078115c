package admission

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/minion"
)

func queueName(organisation string, c Class) string {
	return organisation + "/" + ClassName(c)
}

func (s State) stepRequestReceived(now time.Time, r Request) (State, []Effect) {
	if reason, retryAfter := s.refusal(now, r); reason != "" {
		return s, []Effect{
			Refuse{
				Token:      r.Token,
				Reason:     reason,
				RetryAfter: retryAfter,
			},
		}
	}
	if r.IsRetry || r.IsHedge {
		s.retryBudget -= retryCost
	}
	name := queueName(r.Organisation, r.Class)
	q, ok := s.queues.Get(name)
	if !ok {
		q = newQueue()
	}
	s.queues = s.queues.Set(name, q.with(r))
	s.queuedCount++
	return s.startQueued(now)
}

// refusal returns why a request cannot be queued and after what time the caller
// should try again. The reason is "" if the request can be queued.
func (s State) refusal(now time.Time, r Request) (Reason, time.Duration) {
	c, ok := s.view.Contract(r.Organisation)
	switch {
	case !s.lease.IsValid(now):
		return RefusedViewExpired, retryAfterExpiry
	case !ok:
		return RefusedUnknownOrganisation, 0
	case !c.AllowsClass(ClassName(r.Class)):
		return RefusedClassNotAllowed, 0
	case !now.Before(r.Deadline):
		return RefusedDeadlinePassed, 0
	case (r.IsRetry || r.IsHedge) && s.retryBudget < retryCost:
		return RefusedRetryBudgetSpent, retryAfterExpiry
	case s.queuedCount >= s.cfg.MaxQueued:
		return RefusedQueueFull, s.expectedWait(r)
	}
	// A queue whose wait takes all the time left would start every request when
	// it is too late to finish it, so half of that time is kept in reserve.
	timeLeft := r.Deadline.Sub(now) - s.serviceTimes[classRank(r.Class)].mean
	if wait := s.expectedWait(r); wait > max(0, timeLeft)/maxWaitDivisor {
		return RefusedWouldMissDeadline, wait
	}
	return "", 0
}

// maxWaitDivisor bounds the expected wait: it may take at most the time left
// divided by maxWaitDivisor.
const maxWaitDivisor = 2

// isTooLateToStart reports whether a request would most likely miss its
// deadline even if it started now. Running it would waste a slot.
func (s State) isTooLateToStart(now time.Time, r Request) bool {
	return r.Deadline.Sub(now) < s.serviceTimes[classRank(r.Class)].mean/minServiceTimeDivisor
}

// minServiceTimeDivisor allows for requests that take less time than the mean
// of their class.
const minServiceTimeDivisor = 2

// expectedWait returns how long a request would wait behind the queued requests
// of its own and of higher classes.
func (s State) expectedWait(r Request) time.Duration {
	slots := 0
	for _, m := range s.minions.All() {
		slots += s.grantedUnits[lease.MinionSlots(m.Announcement.Name)]
	}
	if slots == 0 || s.running.Len() < slots && s.queuedCount == 0 {
		return 0
	}
	// With every slot in use, the first one becomes free after about the mean
	// service time divided by the number of slots.
	queuedWork := s.serviceTimes[classRank(r.Class)].mean
	for itr := s.queues.Iterator(); !itr.Done(); {
		_, q, _ := itr.Next()
		if head, ok := q.head(); ok && classRank(head.Class) <= classRank(r.Class) {
			queuedWork += time.Duration(q.m.Len()) * s.serviceTimes[classRank(head.Class)].mean
		}
	}
	return queuedWork / time.Duration(slots)
}

func (s State) queuedCountOf(organisation string) int {
	n := 0
	for _, c := range []Class{Urgent{}, Normal{}, Batch{}} {
		if q, ok := s.queues.Get(queueName(organisation, c)); ok {
			n += q.m.Len()
		}
	}
	return n
}

func (s State) withoutQueued(r Request) State {
	name := queueName(r.Organisation, r.Class)
	q, ok := s.queues.Get(name)
	if !ok {
		return s
	}
	if _, waits := q.m.Get(queueKeyOf(r)); !waits {
		return s
	}
	s.queuedCount--
	q = q.without(r)
	if q.m.Len() == 0 {
		s.queues = s.queues.Delete(name)
		return s
	}
	s.queues = s.queues.Set(name, q)
	return s
}

func (s State) stepCancelRequest(e CancelRequest) State {
	for itr := s.queues.Iterator(); !itr.Done(); {
		_, q, _ := itr.Next()
		for qi := q.m.Iterator(); !qi.Done(); {
			k, r, _ := qi.Next()
			if k.token == e.Token {
				return s.withoutQueued(r)
			}
		}
	}
	return s
}

// abortedSlotHold is how long the slot of an aborted request stays in use, so
// that the minion has noticed the closed connection before it gets another
// request.
const abortedSlotHold = 100 * time.Millisecond

func (s State) stepRequestFinished(now time.Time, e RequestFinished) (State, []Effect) {
	run, ok := s.running.Get(e.Token)
	if !ok || !run.freeAt.IsZero() {
		return s, nil
	}
	s = s.withUsedUnits(lease.OrganisationRequests(run.request.Organisation), -1)
	if mayStillRun(e.Result) {
		s = s.withAborted(now, e.Token, run)
	} else {
		s = s.withoutRunning(e.Token, run)
	}
	h, _ := s.health.Get(run.minion)
	s.health = s.health.Set(run.minion, h.with(now, e.Result))
	if _, answered := e.Result.(Answered); answered {
		i := classRank(run.request.Class)
		s.serviceTimes[i] = s.serviceTimes[i].with(now.Sub(run.started))
		s.retryBudget = min(maxRetryBudget, s.retryBudget+retriesPerAnswer)
	}
	return s.startQueued(now)
}

// withAborted returns s with a request marked as aborted; its slot becomes free
// after abortedSlotHold.
func (s State) withAborted(now time.Time, token uint64, run running) State {
	run.revoked = true
	run.freeAt = now.Add(abortedSlotHold)
	s.running = s.running.Set(token, run)
	s.aborted = s.aborted.Append(token)
	return s
}

func (s State) withoutRunning(token uint64, run running) State {
	s.running = s.running.Delete(token)
	return s.withUsedUnits(lease.MinionSlots(run.minion), -1)
}

// withoutAborted returns s without the aborted requests whose slots have become
// free by now.
func (s State) withoutAborted(now time.Time) State {
	for s.aborted.Len() > 0 {
		token := s.aborted.Get(0)
		run, _ := s.running.Get(token)
		if now.Before(run.freeAt) {
			break
		}
		s.aborted = s.aborted.Slice(1, s.aborted.Len())
		s = s.withoutRunning(token, run)
	}
	return s
}

// pickMinion returns the name and address of the minion with the largest share
// of free slots among those that may be given the request. The token decides
// where the search starts, so that ties are spread over the minions.
func (s State) pickMinion(now time.Time, r Request) (name, address string, ok bool) {
	bestShare := -1.0
	all := s.minions.All()
	avoid := s.hasUnavoided(now, all, r)
	for i := range all {
		m := all[(i+int(r.Token%uint64(len(all))))%len(all)]
		a := m.Announcement
		resource := lease.MinionSlots(a.Name)
		free := s.grantedUnits[resource] - s.usedUnits(resource)
		if free <= 0 || !s.isEligible(now, m, r) {
			continue
		}
		if avoid && slices.Contains(r.AvoidedMinions, a.Name) {
			continue
		}
		if share := float64(free) / float64(a.Slots); share > bestShare {
			bestShare, name, address = share, a.Name, a.Address
		}
	}
	return name, address, bestShare >= 0
}

// isEligible reports whether a minion may be given the request once it has a
// free slot.
func (s State) isEligible(now time.Time, m minion.Minion, r Request) bool {
	a := m.Announcement
	if a.Leaving || !m.IsAlive(now) || s.view.IsOutOfService(a.DataCentre) {
		return false
	}
	h, known := s.health.Get(a.Name)
	return (!known || h.isRetryDue(now)) && !slices.Contains(r.ExcludedMinions, a.Name)
}

// hasUnavoided reports whether a minion other than the request's avoided ones
// may be given the request.
func (s State) hasUnavoided(now time.Time, all []minion.Minion, r Request) bool {
	if len(r.AvoidedMinions) == 0 {
		return true
	}
	return slices.ContainsFunc(all, func(m minion.Minion) bool {
		return !slices.Contains(r.AvoidedMinions, m.Announcement.Name) && s.isEligible(now, m, r)
	})
}
