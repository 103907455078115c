package admission

import (
	"time"

	"github.com/plantainladder/plantainladder/lease"
)

// batchPromotionWindow is how long before its deadline a batch request is
// treated as a normal one.
const batchPromotionWindow = 10 * time.Second

// candidate is the first request of a queue with its sort keys.
type candidate struct {
	request     Request
	classRank   int
	utilisation float64
}

// precedes reports whether c starts before other: by class, then by how much of
// its guarantee the organisation uses, then by deadline.
func (c candidate) precedes(other candidate) bool {
	switch {
	case c.classRank != other.classRank:
		return c.classRank < other.classRank
	case c.utilisation != other.utilisation:
		return c.utilisation < other.utilisation
	}
	return c.request.Deadline.Before(other.request.Deadline)
}

// startQueued starts as many queued requests as there are slots for, then
// revokes borrowed slots for organisations that still wait below their
// guarantee.
func (s State) startQueued(now time.Time) (State, []Effect) {
	var out []Effect
	if s.queuedCount == 0 || !s.lease.IsValid(now) {
		return s, nil
	}
	skipped := skippedRequests{
		queues: map[string]bool{},
		tokens: map[uint64]bool{},
	}
	for s.queuedCount > 0 {
		c, ok := s.nextCandidate(now, skipped)
		if !ok {
			break
		}
		if s.isTooLateToStart(now, c.request) {
			s = s.withoutQueued(c.request)
			out = append(out, Refuse{
				Token:  c.request.Token,
				Reason: RefusedWouldMissDeadline,
			})
			continue
		}
		var f Effect
		if s, f, ok = s.tryStart(now, c.request); ok {
			out = append(out, f)
			continue
		}
		skipped.add(c.request)
	}
	s, more := s.revokeBorrowed()
	return s, append(out, more...)
}

// skippedRequests are the requests that cannot be started now: all of a queue,
// by name, or single ones, by token.
type skippedRequests struct {
	queues map[string]bool
	tokens map[uint64]bool
}

// maxSkippedTokens bounds the single requests that one pass tries in vain, since each
// looks at all minions.
const maxSkippedTokens = 4

// add skips a request that could not be started. The next ones of its queue
// could not either, unless they may be given to more minions.
func (k skippedRequests) add(r Request) {
	isRestricted := len(r.ExcludedMinions) > 0 || len(r.AvoidedMinions) > 0
	if isRestricted && len(k.tokens) < maxSkippedTokens {
		k.tokens[r.Token] = true
		return
	}
	k.queues[queueName(r.Organisation, r.Class)] = true
}

// nextCandidate returns the request to start next among the first of each
// queue, or false if none may start.
func (s State) nextCandidate(now time.Time, skipped skippedRequests) (best candidate, ok bool) {
	slots := s.slotTotals()
	for itr := s.queues.Iterator(); !itr.Done(); {
		name, q, _ := itr.Next()
		r, waits := q.first(skipped.tokens)
		if !waits || skipped.queues[name] || !s.isBelowCeiling(r.Organisation) {
			continue
		}
		c := candidate{
			request:     r,
			classRank:   classRank(r.Class),
			utilisation: s.utilisation(r.Organisation, slots),
		}
		if _, batch := r.Class.(Batch); batch && r.Deadline.Sub(now) < batchPromotionWindow {
			c.classRank = classRank(Normal{})
		}
		if !ok || c.precedes(best) {
			best, ok = c, true
		}
	}
	return best, ok
}

// isBelowCeiling reports whether an organisation has fewer requests in flight
// than this gateway was granted for it.
func (s State) isBelowCeiling(organisation string) bool {
	r := lease.OrganisationRequests(organisation)
	return s.usedUnits(r) < s.grantedUnits[r]
}

// utilisation returns an organisation's requests in flight divided by the slots
// that it is guaranteed here.
func (s State) utilisation(organisation string, slots slotTotals) float64 {
	usedUnits := float64(s.usedUnits(lease.OrganisationRequests(organisation)))
	return usedUnits / max(s.guaranteedSlots(organisation, slots), minGuaranteedSlots)
}

// minGuaranteedSlots stands in for a guarantee of zero slots, so that the
// utilisation stays comparable between organisations without a guarantee.
const minGuaranteedSlots = 0.1

// guaranteedSlots returns this gateway's part of an organisation's guaranteed
// slots, in proportion to its part of the slots of all minions.
func (s State) guaranteedSlots(organisation string, slots slotTotals) float64 {
	c, ok := s.view.Contract(organisation)
	if !ok || slots.all == 0 {
		return 0
	}
	return float64(c.GuaranteedSlots) * float64(slots.granted) / float64(slots.all)
}

// slotTotals holds the number of slots granted to this gateway and the number
// of all minions' slots.
type slotTotals struct {
	granted, all int
}

// slotTotals counts the slots of all minions.
func (s State) slotTotals() (slots slotTotals) {
	for _, m := range s.minions.All() {
		slots.granted += s.grantedUnits[lease.MinionSlots(m.Announcement.Name)]
		slots.all += m.Announcement.Slots
	}
	return slots
}

// tryStart gives a slot to a request if a minion has one free. A request beyond
// its organisation's guarantee that is not idempotent could not be revoked, so
// it must leave enough slots for the guarantees of others.
func (s State) tryStart(now time.Time, r Request) (State, Effect, bool) {
	name, address, ok := s.pickMinion(now, r)
	if !ok {
		return s, nil, false
	}
	inFlight := lease.OrganisationRequests(r.Organisation)
	borrowed := float64(s.usedUnits(inFlight)) >= s.guaranteedSlots(r.Organisation, s.slotTotals())
	if borrowed && !r.Idempotent && !s.hasUnreservedSlot(r.Organisation) {
		return s, nil, false
	}
	s = s.withoutQueued(r)
	s = s.withUsedUnits(lease.MinionSlots(name), 1).withUsedUnits(inFlight, 1)
	s.running = s.running.Set(r.Token, running{
		request:  r,
		minion:   name,
		started:  now,
		borrowed: borrowed,
	})
	return s, Start{
		Token:       r.Token,
		Minion:      name,
		Address:     address,
		StartBefore: now.Add(s.lease.Remaining(now)),
	}, true
}

// hasUnreservedSlot reports whether a slot is free beyond those that all other
// organisations may still claim under their guarantees. A request that cannot
// be revoked may borrow only such a slot.
func (s State) hasUnreservedSlot(organisation string) bool {
	slots := s.slotTotals()
	free := float64(slots.granted - s.running.Len())
	for _, c := range s.view.Contracts() {
		if c.Organisation == organisation {
			continue
		}
		usedUnits := float64(s.usedUnits(lease.OrganisationRequests(c.Organisation)))
		free -= max(0, s.guaranteedSlots(c.Organisation, slots)-usedUnits)
	}
	return free >= 1
}

// revokeBorrowed revokes borrowed slots until there is one, with those already
// being revoked, for each request that waits inside a guarantee.
func (s State) revokeBorrowed() (State, []Effect) {
	var out []Effect
	shortfall := s.guaranteeShortfall()
	for itr := s.running.Iterator(); shortfall > 0 && !itr.Done(); {
		_, run, _ := itr.Next()
		if run.revoked {
			shortfall--
		}
	}
	for ; shortfall > 0; shortfall-- {
		token, ok := s.pickRevocable()
		if !ok {
			return s, out
		}
		run, _ := s.running.Get(token)
		run.revoked = true
		s.running = s.running.Set(token, run)
		out = append(out, Revoke{
			Token: token,
		})
	}
	return s, out
}

// guaranteeShortfall returns the number of queued requests that are within the
// guarantees of their organisations.
func (s State) guaranteeShortfall() int {
	n := 0
	slots := s.slotTotals()
	for _, c := range s.view.Contracts() {
		waiting := s.queuedCountOf(c.Organisation)
		usedUnits := s.usedUnits(lease.OrganisationRequests(c.Organisation))
		if waiting > 0 && s.isBelowCeiling(c.Organisation) {
			n += min(waiting, max(0, int(s.guaranteedSlots(c.Organisation, slots))-usedUnits))
		}
	}
	return n
}

// pickRevocable returns the token of the running request to revoke. It must be
// idempotent, not urgent and have a borrowed slot. Batch requests are revoked
// before normal ones, and requests that started later before earlier ones.
func (s State) pickRevocable() (token uint64, ok bool) {
	best := running{}
	for itr := s.running.Iterator(); !itr.Done(); {
		t, run, _ := itr.Next()
		_, urgent := run.request.Class.(Urgent)
		if urgent || run.revoked || !run.borrowed || !run.request.Idempotent {
			continue
		}
		older := classRank(run.request.Class) < classRank(best.request.Class) ||
			classRank(run.request.Class) == classRank(best.request.Class) && run.started.Before(best.started)
		if !ok || !older {
			token, best, ok = t, run, true
		}
	}
	return token, ok
}
