package admission

import (
	"time"

	"github.com/benbjohnson/immutable"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/minion"
)

// A Config holds the settings of a State.
type Config struct {
	// Gateway is the gateway's name.
	Gateway string
	// MaxQueued bounds the number of requests that wait in the queues.
	MaxQueued int
}

// A State is the state of a gateway.
type State struct {
	cfg     Config
	view    plantainladder.View
	lease   lease.Lease
	minions minion.Directory
	// localAnnouncements holds the latest announcement that each minion sent to
	// this gateway, to be passed on with the polls.
	localAnnouncements *immutable.SortedMap[string, minion.Announcement]
	// grantSequence is the sequence number of the last grant.
	grantSequence uint64
	// grantedUnits is how much of each resource the last grant allows.
	grantedUnits map[lease.Resource]int
	// unitsInUse is how much of each resource requests hold.
	unitsInUse  *immutable.SortedMap[lease.Resource, int]
	queues      *immutable.SortedMap[string, requestQueue]
	queuedCount int
	running     *immutable.SortedMap[uint64, running]
	// aborted holds the tokens of aborted requests whose slots are not yet
	// free, in the order in which they become free.
	aborted      *immutable.List[uint64]
	health       *immutable.SortedMap[string, health]
	serviceTimes [classCount]serviceTime
	retryBudget  float64
	// retryBudgetAt is when retryBudget last grew with time.
	retryBudgetAt time.Time
	draining      bool
}

// NewState returns the state of a gateway that has had no contact yet.
func NewState(cfg Config) State {
	return State{
		cfg:                cfg,
		view:               plantainladder.NewView(),
		minions:            minion.NewDirectory(),
		localAnnouncements: immutable.NewSortedMap[string, minion.Announcement](nil),
		unitsInUse:         immutable.NewSortedMap[lease.Resource, int](nil),
		queues:             immutable.NewSortedMap[string, requestQueue](nil),
		running:            immutable.NewSortedMap[uint64, running](nil),
		aborted:            immutable.NewList[uint64](),
		health:             immutable.NewSortedMap[string, health](nil),
		retryBudget:        initialRetryBudget,
	}
}

// View returns the latest view (contracts and data centres) from the
// leader.
func (s State) View() plantainladder.View {
	return s.view
}

// Lease returns the lease on the view. The gateway may start requests only
// while it is valid.
func (s State) Lease() lease.Lease {
	return s.lease
}

// RunningCount returns the number of requests that hold a slot.
func (s State) RunningCount() int {
	return s.running.Len()
}

// QueuedCount returns the number of requests that wait for a slot.
func (s State) QueuedCount() int {
	return s.queuedCount
}

// IsDraining reports whether the gateway is about to stop, so that load
// balancers should send it no new requests.
func (s State) IsDraining() bool {
	return s.draining
}

// Minions returns the minions that have announced themselves to this gateway or
// to another one.
func (s State) Minions() minion.Directory {
	return s.minions
}

// Step returns the state after an event, with the effects to perform.
func (s State) Step(now time.Time, e Event) (State, []Effect) {
	s = s.withoutAborted(now)
	switch e := e.(type) {
	case Tick:
		return s.stepTick(now)
	case RequestReceived:
		return s.stepRequestReceived(now, e.Request)
	case CancelRequest:
		return s.stepCancelRequest(e), nil
	case RequestFinished:
		return s.stepRequestFinished(now, e)
	case AnnouncementReceived:
		return s.stepAnnouncementReceived(now, e), nil
	case PollReplyReceived:
		return s.stepPollReplyReceived(now, e)
	case Drain:
		// Requests that arrive before the load balancer has noticed are served
		// as usual.
		s.draining = true
		return s, nil
	}
	return s, nil
}

func (s State) stepAnnouncementReceived(now time.Time, e AnnouncementReceived) State {
	s.minions = s.minions.WithAnnouncement(now, e.Announcement, 0)
	s.localAnnouncements = s.localAnnouncements.Set(e.Announcement.Name, e.Announcement)
	return s
}

// stepPollReplyReceived applies a leader's reply. A reply that is older than
// the view is ignored and does not renew the lease, since the view must never
// go back.
func (s State) stepPollReplyReceived(now time.Time, e PollReplyReceived) (State, []Effect) {
	r := e.Reply
	if !r.Leader || r.Index < s.view.Index() {
		return s, nil
	}
	s.view = s.view.WithChanges(r.Index, r.Contracts, r.DataCentres)
	s.lease = s.lease.WithExtension(e.SentAt, lease.ViewDuration)
	for _, h := range r.Minions {
		age := time.Duration(h.AgeMS) * time.Millisecond
		s.minions = s.minions.WithAnnouncement(now, h.Announcement, age)
	}
	s.grantSequence = r.Grant.Sequence
	s.grantedUnits = r.Grant.Units
	return s.startQueued(now)
}

func (s State) stepTick(now time.Time) (State, []Effect) {
	s.minions = s.minions.WithoutExpired(now)
	s.localAnnouncements = withoutUnknownMinions(s.localAnnouncements, s.minions)
	s.health = withoutUnknownMinions(s.health, s.minions)
	if s.retryBudgetAt.IsZero() {
		s.retryBudgetAt = now
	}
	s.retryBudget = min(maxRetryBudget, s.retryBudget+now.Sub(s.retryBudgetAt).Seconds()*retriesPerSecond)
	s.retryBudgetAt = now
	s, out := s.refuseExpired(now)
	s, more := s.startQueued(now)
	return s, append(out, more...)
}

// withoutUnknownMinions returns a table keyed by minion without the entries of
// minions that are gone. It returns m unchanged while m is no larger than the
// directory, which is the usual case.
func withoutUnknownMinions[T any](m *immutable.SortedMap[string, T], minions minion.Directory) *immutable.SortedMap[string, T] {
	if m.Len() <= minions.Len() {
		return m
	}
	for itr := m.Iterator(); !itr.Done(); {
		name, _, _ := itr.Next()
		if _, ok := minions.Get(name); !ok {
			m = m.Delete(name)
		}
	}
	return m
}

// refuseExpired refuses the queued requests whose deadline has passed, and all
// of them once the view has expired.
func (s State) refuseExpired(now time.Time) (State, []Effect) {
	var out []Effect
	isViewExpired := !s.lease.IsValid(now)
	for itr := s.queues.Iterator(); !itr.Done(); {
		_, q, _ := itr.Next()
		for {
			r, ok := q.head()
			if !ok || !isViewExpired && now.Before(r.Deadline) {
				break
			}
			q = q.without(r)
			s = s.withoutQueued(r)
			reason := RefusedDeadlinePassed
			switch {
			case isViewExpired:
				reason = RefusedViewExpired
			case s.minions.Len() == 0:
				reason = RefusedNoMinion
			}
			out = append(out, Refuse{
				Token:      r.Token,
				Reason:     reason,
				RetryAfter: retryAfterExpiry,
			})
		}
	}
	return s, out
}

// retryAfterExpiry is the advice to callers when a view, a deadline or the
// retry budget has run out.
const retryAfterExpiry = 500 * time.Millisecond

// Poll returns the poll to send next: what the gateway holds and needs, and the
// latest announcements that minions sent to it.
func (s State) Poll(now time.Time) control.Poll {
	p := control.Poll{
		Index: s.view.Index(),
		RenewalRequest: lease.RenewalRequest{
			Gateway:      s.cfg.Gateway,
			AppliedGrant: s.grantSequence,
			Held:         s.heldUnits(now),
			Granted:      s.grantedNow(now),
			Demand:       s.demandedUnits(),
		},
	}
	for itr := s.localAnnouncements.Iterator(); !itr.Done(); {
		name, a, _ := itr.Next()
		m, ok := s.minions.Get(name)
		if ok && m.Announcement.Sequence == a.Sequence && m.IsAlive(now) {
			p.Minions = append(p.Minions, control.RelayedAnnouncement{
				Announcement: a,
				AgeMS:        now.Sub(m.ReceivedAt).Milliseconds(),
			})
		}
	}
	return p
}

// grantedNow returns the units that may be put to use now: those of the last
// grant, or nil without a valid lease.
func (s State) grantedNow(now time.Time) map[lease.Resource]int {
	if !s.lease.IsValid(now) {
		return nil
	}
	return s.grantedUnits
}

// heldUnits returns the most units of each resource that may be in use before
// the next reply.
func (s State) heldUnits(now time.Time) map[lease.Resource]int {
	m := make(map[lease.Resource]int, len(s.grantedUnits))
	for r, n := range s.grantedNow(now) {
		m[r] = n
	}
	for itr := s.unitsInUse.Iterator(); !itr.Done(); {
		r, n, _ := itr.Next()
		m[r] = max(m[r], n)
	}
	return m
}

// demandedUnits returns how many units of each resource the gateway could use
// now, and one more for the next request. It spreads the demand for slots over
// the minions by their size.
func (s State) demandedUnits() map[lease.Resource]int {
	m := make(map[lease.Resource]int, len(s.grantedUnits))
	slots := 0
	all := s.minions.All()
	for _, k := range all {
		slots += k.Announcement.Slots
	}
	demand := s.running.Len() + s.queuedCount
	for _, k := range all {
		a := k.Announcement
		m[lease.MinionSlots(a.Name)] = 1 + (demand*a.Slots+slots-1)/max(1, slots)
	}
	for _, c := range s.view.Contracts() {
		r := lease.OrganisationRequests(c.Organisation)
		m[r] = 1 + s.usedUnits(r) + s.queuedCountOf(c.Organisation)
	}
	return m
}

func (s State) usedUnits(r lease.Resource) int {
	n, _ := s.unitsInUse.Get(r)
	return n
}

func (s State) withUsedUnits(r lease.Resource, delta int) State {
	n := s.usedUnits(r) + delta
	if n <= 0 {
		s.unitsInUse = s.unitsInUse.Delete(r)
		return s
	}
	s.unitsInUse = s.unitsInUse.Set(r, n)
	return s
}
