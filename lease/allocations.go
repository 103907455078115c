package lease

import (
	"maps"
	"slices"
	"time"
)

// A Resource is something that is shared out to gateways in whole units: the
// slots of a minion, or the requests in flight of an organisation.
type Resource string

// SlotsOf returns the resource of a minion's slots.
func MinionSlots(minion string) Resource {
	return Resource("minion/" + minion)
}

// FlightsOf returns the resource of an organisation's requests in flight.
func OrganisationRequests(organisation string) Resource {
	return Resource("organisation/" + organisation)
}

// An Ask is what a gateway reports with a poll.
type RenewalRequest struct {
	// Gateway is the gateway's name.
	Gateway string `json:"gateway"`
	// Seen is the sequence of the last grant that it applied; zero for none.
	AppliedGrant uint64 `json:"seen"`
	// Held is the most of each resource that it may have in use until the
	// answer to this poll.
	Held map[Resource]int `json:"held"`
	// Granted is what it may begin to use by a lease that is live; nil without
	// one. Less than Held, where work outlives the lease that it began under.
	Granted map[Resource]int `json:"granted"`
	// Wanted is how much of each resource it could use now.
	Demand map[Resource]int `json:"wanted"`
}

// A Grant is the answer: how much of each resource the gateway may use.
type Grant struct {
	// Sequence numbers the grants; those of a later term have higher numbers.
	Sequence uint64 `json:"sequence"`
	// Units is the number of units of each resource.
	Units map[Resource]int `json:"units"`
}

// holding is what one gateway may be using.
type gatewayUsage struct {
	until       time.Time
	sequence    uint64
	held        map[Resource]int
	unconfirmed map[Resource]int
	demand      map[Resource]int
}

// reserved returns the most that the gateway may be using of a resource.
func (h gatewayUsage) reserved(r Resource) int {
	return max(h.held[r], h.unconfirmed[r])
}

// Shares is an immutable account of what every gateway may be using. What a
// gateway does not confirm counts as used until its lease has run out, so that
// no more than the whole is ever out.
type Allocations struct {
	gateways map[string]gatewayUsage
	sequence uint64
	graceEnd time.Time
}

// NewShares returns an empty account of a leader that began at the given time
// in the given term. For the length of a lease it gives nothing beyond what
// gateways hold by live leases, since leases of the leader before it may still
// be out.
func NewAllocations(start time.Time, term uint64) Allocations {
	return Allocations{
		gateways: map[string]gatewayUsage{},
		sequence: term << termShift,
		graceEnd: start.Add(View + DriftMargin),
	}
}

// termShift leaves room for the grants of one term. Without the term in it, a
// number that another leader gave would pass as a confirmation.
const termShift = 32

// Margin is added by the giver of a lease, for clocks that drift.
const DriftMargin = 250 * time.Millisecond

// WithAsk returns s after a poll and the grant that answers it. Capacity is
// the whole of each resource.
func (s Allocations) WithRequest(now time.Time, a RenewalRequest, capacity map[Resource]int) (Allocations, Grant) {
	s.gateways = maps.Clone(s.gateways)
	maps.DeleteFunc(s.gateways, func(_ string, h gatewayUsage) bool {
		return !now.Before(h.until)
	})
	h := s.gateways[a.Gateway]
	h.demand = a.Demand
	if h.sequence == 0 || a.AppliedGrant >= h.sequence {
		h.held, h.unconfirmed = a.Held, nil
	} else {
		h.held = maxPerResource(a.Held, h.held)
	}
	h.until = now.Add(View + DriftMargin)
	s.gateways[a.Gateway] = h
	g := Grant{
		Units: s.unitsFor(now, a, capacity),
	}
	s.sequence++
	g.Sequence = s.sequence
	h.sequence = s.sequence
	h.unconfirmed = maxPerResource(g.Units, h.unconfirmed)
	s.gateways[a.Gateway] = h
	return s, g
}

func maxPerResource(a, b map[Resource]int) map[Resource]int {
	m := maps.Clone(a)
	if m == nil {
		m = map[Resource]int{}
	}
	for r, n := range b {
		m[r] = max(m[r], n)
	}
	return m
}

func (s Allocations) unitsFor(now time.Time, a RenewalRequest, capacity map[Resource]int) map[Resource]int {
	units := make(map[Resource]int, len(capacity))
	for r, total := range capacity {
		share := s.fairShare(a.Gateway, r, total)
		room := total - s.reservedByOthers(a.Gateway, r)
		if now.Before(s.graceEnd) {
			room = min(room, a.Granted[r])
		}
		units[r] = max(0, min(share, room))
	}
	return units
}

func (s Allocations) reservedByOthers(gateway string, r Resource) int {
	sum := 0
	for name, h := range s.gateways {
		if name != gateway {
			sum += h.reserved(r)
		}
	}
	return sum
}

// fairShare splits a resource evenly, then gives what some do not want to
// those who want more, and what nobody wants to all. The remainder of a
// division rotates with the resource's name, so that no gateway gets all of
// the odd units.
func (s Allocations) fairShare(gateway string, r Resource, total int) int {
	names := slices.Sorted(maps.Keys(s.gateways))
	rotate(names, r)
	demands := make([]int, len(names))
	for i, name := range names {
		demands[i] = s.gateways[name].demand[r]
	}
	shares := waterFill(demands, total)
	for i, name := range names {
		if name == gateway {
			return shares[i]
		}
	}
	return 0
}

func rotate(names []string, r Resource) {
	sum := 0
	for i := range len(r) {
		sum = sum*31 + int(r[i])
	}
	n := (sum & 0xffff) % max(1, len(names))
	rotated := slices.Concat(names[n:], names[:n])
	copy(names, rotated)
}

// waterFill gives each want in rounds of one unit, first to those who want
// more, then to all.
func waterFill(demands []int, total int) []int {
	shares := make([]int, len(demands))
	remaining := total
	for remaining > 0 {
		given := 0
		for i := range demands {
			if remaining > 0 && shares[i] < demands[i] {
				shares[i]++
				remaining--
				given++
			}
		}
		if given == 0 {
			break
		}
	}
	for i := 0; remaining > 0 && len(shares) > 0; i = (i + 1) % len(shares) {
		shares[i]++
		remaining--
	}
	return shares
}
