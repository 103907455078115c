package admission

import (
	"time"

	"github.com/plantainladder/plantainladder/lease"
)

// pressing is the time before its deadline from which a batch request counts
// as normal.
const pressing = 10 * time.Second

// candidate is the first request of a queue and how it ranks.
type candidate struct {
	request Request
	rank    int
	load    float64
}

// before reports whether c goes before other: by class, then by the use that
// the organisation makes of its guarantee, then by deadline.
func (c candidate) before(other candidate) bool {
	switch {
	case c.rank != other.rank:
		return c.rank < other.rank
	case c.load != other.load:
		return c.load < other.load
	}
	return c.request.Deadline.Before(other.request.Deadline)
}

// match starts as many waiting requests as there are slots for.
func (s State) match(now time.Time) (State, []Effect) {
	var out []Effect
	if s.queued == 0 || !s.lease.IsValid(now) {
		return s, nil
	}
	skipped := map[string]bool{}
	for s.queued > 0 {
		c, ok := s.next(now, skipped)
		if !ok {
			break
		}
		if s.isHopeless(now, c.request) {
			s = s.withoutQueued(c.request)
			out = append(out, Refuse{
				Token:  c.request.Token,
				Reason: RefusedWouldMissDeadline,
			})
			continue
		}
		var f Effect
		if s, f, ok = s.start(now, c.request); ok {
			out = append(out, f)
			continue
		}
		skipped[queueName(c.request.Organisation, c.request.Class)] = true
	}
	s, more := s.revokeFor()
	return s, append(out, more...)
}

// next returns the most pressing request among the heads of the queues.
func (s State) next(now time.Time, skipped map[string]bool) (best candidate, ok bool) {
	for itr := s.queues.Iterator(); !itr.Done(); {
		name, q, _ := itr.Next()
		r, waits := q.head()
		if !waits || skipped[name] || !s.hasFlight(r.Organisation) {
			continue
		}
		c := candidate{
			request: r,
			rank:    rank(r.Class),
			load:    s.load(r.Organisation),
		}
		if _, batch := r.Class.(Batch); batch && r.Deadline.Sub(now) < pressing {
			c.rank = rank(Normal{})
		}
		if !ok || c.before(best) {
			best, ok = c, true
		}
	}
	return best, ok
}

// hasFlight reports whether an organisation is below its ceiling here.
func (s State) hasFlight(organisation string) bool {
	r := lease.OrganisationRequests(organisation)
	return s.used(r) < s.units[r]
}

// load returns an organisation's requests in flight for each slot that is
// guaranteed to it here.
func (s State) load(organisation string) float64 {
	used := float64(s.used(lease.OrganisationRequests(organisation)))
	return used / max(s.guaranteed(organisation), minGuarantee)
}

// minGuarantee stands in for no guarantee at all, so that loads compare.
const minGuarantee = 0.1

// guaranteed returns the part of an organisation's guaranteed slots that falls
// to this gateway: the part of all slots that it was granted.
func (s State) guaranteed(organisation string) float64 {
	c, ok := s.view.Contract(organisation)
	if !ok {
		return 0
	}
	granted, all := s.slots()
	if all == 0 {
		return 0
	}
	return float64(c.GuaranteedSlots) * float64(granted) / float64(all)
}

// slots returns the slots granted to this gateway and those of all minions.
func (s State) slots() (granted, all int) {
	for _, m := range s.minions.All() {
		granted += s.units[lease.MinionSlots(m.Announcement.Name)]
		all += m.Announcement.Slots
	}
	return granted, all
}

// start gives a request a slot if a minion is free and the guarantees of
// others stay reclaimable.
func (s State) start(now time.Time, r Request) (State, Effect, bool) {
	name, address, ok := s.pick(now, r)
	if !ok {
		return s, nil, false
	}
	flights := lease.OrganisationRequests(r.Organisation)
	borrowed := float64(s.used(flights)) >= s.guaranteed(r.Organisation)
	if borrowed && !r.Idempotent && !s.hasSpare(r.Organisation) {
		return s, nil, false
	}
	s = s.withoutQueued(r)
	s = s.withUse(lease.MinionSlots(name), 1).withUse(flights, 1)
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

// hasSpare reports whether free slots remain beyond what all others may still
// claim by their guarantees. Work that cannot be revoked may take no other.
func (s State) hasSpare(organisation string) bool {
	granted, _ := s.slots()
	free := float64(granted - s.running.Len())
	for _, c := range s.view.Contracts() {
		if c.Organisation == organisation {
			continue
		}
		used := float64(s.used(lease.OrganisationRequests(c.Organisation)))
		free -= max(0, s.guaranteed(c.Organisation)-used)
	}
	return free >= 1
}

// revokeFor takes slots back from borrowers for organisations that wait below
// their guarantee.
func (s State) revokeFor() (State, []Effect) {
	var out []Effect
	claimed := s.claimedSlots()
	for itr := s.running.Iterator(); claimed > 0 && !itr.Done(); {
		_, run, _ := itr.Next()
		if run.revoked {
			claimed--
		}
	}
	for ; claimed > 0; claimed-- {
		token, ok := s.victim()
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

// claimedSlots returns how many waiting requests are inside a guarantee.
func (s State) claimedSlots() int {
	n := 0
	for _, c := range s.view.Contracts() {
		waiting := s.queuedOf(c.Organisation)
		used := s.used(lease.OrganisationRequests(c.Organisation))
		if waiting > 0 && s.hasFlight(c.Organisation) {
			n += min(waiting, max(0, int(s.guaranteed(c.Organisation))-used))
		}
	}
	return n
}

// victim returns the running request to revoke: it borrows and is idempotent;
// batches go before normal ones and the youngest before older ones.
func (s State) victim() (token uint64, ok bool) {
	best := running{}
	for itr := s.running.Iterator(); !itr.Done(); {
		t, run, _ := itr.Next()
		_, urgent := run.request.Class.(Urgent)
		if urgent || run.revoked || !run.borrowed || !run.request.Idempotent {
			continue
		}
		older := rank(run.request.Class) < rank(best.request.Class) ||
			rank(run.request.Class) == rank(best.request.Class) && run.started.Before(best.started)
		if !ok || !older {
			token, best, ok = t, run, true
		}
	}
	return token, ok
}
