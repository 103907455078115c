package lease

import (
	"maps"
	"slices"
	"time"
)

// Resource identifies a resource that is divided among gateways in whole units:
// the slots of a minion, or the requests in flight of an organisation.
type Resource string

// MinionSlots returns the resource for the slots of a minion.
func MinionSlots(minion string) Resource {
	return Resource("minion/" + minion)
}

// OrganisationRequests returns the resource for an organisation's requests in
// flight.
func OrganisationRequests(organisation string) Resource {
	return Resource("organisation/" + organisation)
}

// RenewalRequest is the part of a gateway's poll that reports its use of the
// resources and requests a new grant.
type RenewalRequest struct {
	// Gateway is the gateway's name.
	Gateway string `json:"gateway"`
	// AppliedGrant is the sequence of the last grant that the gateway applied;
	// zero for none.
	AppliedGrant uint64 `json:"seen"`
	// Held is the upper bound of each resource that the gateway may use until it
	// gets the reply to this poll.
	Held map[Resource]int `json:"held"`
	// Granted is how much of each resource the gateway may start to use under a
	// valid lease; nil without one. It is less than Held if work is still running
	// that was started under an earlier lease.
	Granted map[Resource]int `json:"granted"`
	// Demand is how much of each resource the gateway could use now.
	Demand map[Resource]int `json:"wanted"`
}

// Grant is the reply to a RenewalRequest: how much of each resource the gateway
// may use.
type Grant struct {
	// Sequence increases with each grant; it has the leader's term in its upper
	// bits, so that a later term has higher numbers.
	Sequence uint64 `json:"sequence"`
	// Units is the number of units of each resource.
	Units map[Resource]int `json:"units"`
}

// gatewayUsage bounds what one gateway may be using until its lease expires.
type gatewayUsage struct {
	leaseExpiry time.Time
	sequence    uint64
	held        map[Resource]int
	unconfirmed map[Resource]int
	demand      map[Resource]int
}

// reserved returns the upper bound of a resource that the gateway may be using.
func (u gatewayUsage) reserved(r Resource) int {
	return max(u.held[r], u.unconfirmed[r])
}

// Allocations is an immutable record of what each gateway may be using. A grant
// that a gateway has not confirmed counts as used until the gateway's lease
// expires, so that the sum of all grants never exceeds the capacity.
type Allocations struct {
	gateways map[string]gatewayUsage
	sequence uint64
	graceEnd time.Time
}

// NewAllocations returns the empty record of a leader that was elected at start
// in the given term. During a grace period of one lease duration it grants only
// what gateways already hold under valid leases, since grants of the previous
// leader may still be in use.
func NewAllocations(start time.Time, term uint64) Allocations {
	return Allocations{
		gateways: map[string]gatewayUsage{},
		sequence: term << termShift,
		graceEnd: start.Add(ViewDuration + DriftMargin),
	}
}

// termShift is the number of bits for the grants of one term. Without the term
// in the sequence, a sequence from another leader could pass as a confirmation.
const termShift = 32

// DriftMargin is added to a lease's duration by its grantor to allow for clock
// drift.
const DriftMargin = 250 * time.Millisecond

// WithRequest returns a after a request and the grant that answers it. Capacity
// is the total of each resource.
func (a Allocations) WithRequest(now time.Time, req RenewalRequest, capacity map[Resource]int) (Allocations, Grant) {
	a.gateways = maps.Clone(a.gateways)
	maps.DeleteFunc(a.gateways, func(_ string, u gatewayUsage) bool {
		return !now.Before(u.leaseExpiry)
	})
	u := a.gateways[req.Gateway]
	u.demand = req.Demand
	if u.sequence == 0 || req.AppliedGrant >= u.sequence {
		u.held, u.unconfirmed = req.Held, nil
	} else {
		u.held = maxPerResource(req.Held, u.held)
	}
	u.leaseExpiry = now.Add(ViewDuration + DriftMargin)
	a.gateways[req.Gateway] = u
	g := Grant{
		Units: a.unitsFor(now, req, capacity),
	}
	a.sequence++
	g.Sequence = a.sequence
	u.sequence = a.sequence
	u.unconfirmed = maxPerResource(g.Units, u.unconfirmed)
	a.gateways[req.Gateway] = u
	return a, g
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

func (a Allocations) unitsFor(now time.Time, req RenewalRequest, capacity map[Resource]int) map[Resource]int {
	units := make(map[Resource]int, len(capacity))
	for r, total := range capacity {
		share := a.fairShare(req.Gateway, r, total)
		available := total - a.reservedByOthers(req.Gateway, r)
		if now.Before(a.graceEnd) {
			available = min(available, req.Granted[r])
		}
		units[r] = max(0, min(share, available))
	}
	return units
}

func (a Allocations) reservedByOthers(gateway string, r Resource) int {
	sum := 0
	for name, u := range a.gateways {
		if name != gateway {
			sum += u.reserved(r)
		}
	}
	return sum
}

// fairShare returns a gateway's max-min fair share of a resource; capacity beyond
// the total demand is divided evenly. The gateway that gets the first odd unit
// depends on the resource's name, so that no gateway gets all odd units.
func (a Allocations) fairShare(gateway string, r Resource, total int) int {
	names := slices.Sorted(maps.Keys(a.gateways))
	rotate(names, r)
	demands := make([]int, len(names))
	for i, name := range names {
		demands[i] = a.gateways[name].demand[r]
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

// waterFill divides the total in rounds of one unit each, first among unmet
// demands, then among all.
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
