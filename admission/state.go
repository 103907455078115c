package admission

import (
	"time"

	"github.com/benbjohnson/immutable"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/minion"
)

// A Config describes a State.
type Config struct {
	// Gateway is the gateway's name.
	Gateway string
	// MaxQueued bounds the requests that wait.
	MaxQueued int
}

// A State is a gateway's control state.
type State struct {
	cfg     Config
	view    plantainladder.View
	lease   lease.Lease
	minions minion.Directory
	fresh   *immutable.SortedMap[string, minion.Announcement]
	seen    uint64
	units   map[lease.Resource]int
	inUse   *immutable.SortedMap[lease.Resource, int]
	queues  *immutable.SortedMap[string, queue]
	queued  int
	running *immutable.SortedMap[uint64, running]
	// cut holds the tokens of requests that were cut off and whose slots are not
	// yet free, the first to be free first.
	cut      *immutable.List[uint64]
	health   *immutable.SortedMap[string, health]
	services [classCount]service
	retries  float64
	refilled time.Time
	draining bool
}

// NewState returns the state of a gateway that has heard nothing yet.
func NewState(cfg Config) State {
	return State{
		cfg:     cfg,
		view:    plantainladder.NewView(),
		minions: minion.NewDirectory(),
		fresh:   immutable.NewSortedMap[string, minion.Announcement](nil),
		inUse:   immutable.NewSortedMap[lease.Resource, int](nil),
		queues:  immutable.NewSortedMap[string, queue](nil),
		running: immutable.NewSortedMap[uint64, running](nil),
		cut:     immutable.NewList[uint64](),
		health:  immutable.NewSortedMap[string, health](nil),
		retries: fewRetries,
	}
}

// View returns the configuration that is in force here.
func (s State) View() plantainladder.View {
	return s.view
}

// Lease returns the right to act on the view.
func (s State) Lease() lease.Lease {
	return s.lease
}

// RunningCount returns the number of requests that hold a slot.
func (s State) RunningCount() int {
	return s.running.Len()
}

// QueuedCount returns the number of requests that wait.
func (s State) QueuedCount() int {
	return s.queued
}

// IsDraining reports whether the gateway is about to stop and wants no new
// requests.
func (s State) IsDraining() bool {
	return s.draining
}

// Minions returns the minions that were heard.
func (s State) Minions() minion.Directory {
	return s.minions
}

// Step returns the state after an event and what is to be done.
func (s State) Step(now time.Time, e Event) (State, []Effect) {
	s = s.withoutCut(now)
	switch e := e.(type) {
	case Tick:
		return s.stepTick(now)
	case RequestReceived:
		return s.stepArrive(now, e.Request)
	case CancelRequest:
		return s.stepWithdraw(e), nil
	case RequestFinished:
		return s.stepFinish(now, e)
	case AnnouncementReceived:
		return s.stepAnnounce(now, e), nil
	case PollReplyReceived:
		return s.stepPolled(now, e)
	case Drain:
		// What arrives before the balancer has noticed is served as ever.
		s.draining = true
		return s, nil
	}
	return s, nil
}

func (s State) stepAnnounce(now time.Time, e AnnouncementReceived) State {
	s.minions = s.minions.WithAnnouncement(now, e.Announcement, 0)
	s.fresh = s.fresh.Set(e.Announcement.Name, e.Announcement)
	return s
}

// stepPolled takes a leader's answer. An answer that is older than the view
// does not renew the lease, since the view must never go back.
func (s State) stepPolled(now time.Time, e PollReplyReceived) (State, []Effect) {
	r := e.Reply
	if !r.Leader || r.Index < s.view.Index() {
		return s, nil
	}
	s.view = s.view.WithChanges(r.Index, r.Contracts, r.DataCentres)
	s.lease = s.lease.WithExtension(e.SentAt, lease.View)
	for _, h := range r.Minions {
		age := time.Duration(h.AgeMS) * time.Millisecond
		s.minions = s.minions.WithAnnouncement(now, h.Announcement, age)
	}
	s.seen = r.Grant.Sequence
	s.units = r.Grant.Units
	return s.match(now)
}

func (s State) stepTick(now time.Time) (State, []Effect) {
	s.minions = s.minions.WithoutExpired(now)
	s.fresh = withoutUnknown(s.fresh, s.minions)
	s.health = withoutUnknown(s.health, s.minions)
	if s.refilled.IsZero() {
		s.refilled = now
	}
	s.retries = min(maxRetries, s.retries+now.Sub(s.refilled).Seconds()*retryPerSec)
	s.refilled = now
	s, out := s.refuseExpired(now)
	s, more := s.match(now)
	return s, append(out, more...)
}

// withoutUnknown returns a table by minion without those that are gone. Most of
// the time there are none.
func withoutUnknown[T any](m *immutable.SortedMap[string, T], known minion.Directory) *immutable.SortedMap[string, T] {
	if m.Len() <= known.Len() {
		return m
	}
	for itr := m.Iterator(); !itr.Done(); {
		name, _, _ := itr.Next()
		if _, ok := known.Get(name); !ok {
			m = m.Delete(name)
		}
	}
	return m
}

// refuseExpired refuses what waits past its deadline, and everything once the
// view has expired.
func (s State) refuseExpired(now time.Time) (State, []Effect) {
	var out []Effect
	expired := !s.lease.IsValid(now)
	for itr := s.queues.Iterator(); !itr.Done(); {
		_, q, _ := itr.Next()
		for {
			r, ok := q.head()
			if !ok || !expired && now.Before(r.Deadline) {
				break
			}
			q = q.without(r)
			s = s.withoutQueued(r)
			reason := RefusedDeadlinePassed
			switch {
			case expired:
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

const retryAfterExpiry = 500 * time.Millisecond

// Poll returns the next poll to send, and the state after it.
func (s State) Poll(now time.Time) control.Poll {
	p := control.Poll{
		Index: s.view.Index(),
		RenewalRequest: lease.RenewalRequest{
			Gateway:      s.cfg.Gateway,
			AppliedGrant: s.seen,
			Held:         s.held(now),
			Granted:      s.granted(now),
			Demand:       s.wanted(),
		},
	}
	for itr := s.fresh.Iterator(); !itr.Done(); {
		name, a, _ := itr.Next()
		m, ok := s.minions.Get(name)
		if ok && m.Announcement.Sequence == a.Sequence && m.IsAlive(now) {
			p.Minions = append(p.Minions, control.Heard{
				Announcement: a,
				AgeMS:        now.Sub(m.Heard).Milliseconds(),
			})
		}
	}
	return p
}

// granted returns what may be begun by a live lease.
func (s State) granted(now time.Time) map[lease.Resource]int {
	if !s.lease.IsValid(now) {
		return nil
	}
	return s.units
}

// held returns the most of each resource that may be in use.
func (s State) held(now time.Time) map[lease.Resource]int {
	m := make(map[lease.Resource]int, len(s.units))
	for r, n := range s.granted(now) {
		m[r] = n
	}
	for itr := s.inUse.Iterator(); !itr.Done(); {
		r, n, _ := itr.Next()
		m[r] = max(m[r], n)
	}
	return m
}

// wanted returns how much of each resource could be used now, with a little
// room for what comes next.
func (s State) wanted() map[lease.Resource]int {
	m := make(map[lease.Resource]int, len(s.units))
	slots := 0
	all := s.minions.All()
	for _, k := range all {
		slots += k.Announcement.Slots
	}
	demand := s.running.Len() + s.queued
	for _, k := range all {
		a := k.Announcement
		m[lease.MinionSlots(a.Name)] = 1 + (demand*a.Slots+slots-1)/max(1, slots)
	}
	for _, c := range s.view.Contracts() {
		r := lease.OrganisationRequests(c.Organisation)
		m[r] = 1 + s.used(r) + s.queuedOf(c.Organisation)
	}
	return m
}

func (s State) used(r lease.Resource) int {
	n, _ := s.inUse.Get(r)
	return n
}

func (s State) withUse(r lease.Resource, delta int) State {
	n := s.used(r) + delta
	if n <= 0 {
		s.inUse = s.inUse.Delete(r)
		return s
	}
	s.inUse = s.inUse.Set(r, n)
	return s
}
