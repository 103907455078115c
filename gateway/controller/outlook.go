package controller

import "time"

// A purpose tells what a call is for, and with that when it is given up: upkeep, read or
// change.
type purpose interface {
	purpose()
}

// upkeep is a call that is tried until it ends, such as a poll.
type upkeep struct{}

// read is a consumer's call that changes nothing.
type read struct{}

// change is a consumer's call that may change something.
type change struct{}

func (upkeep) purpose() {}
func (read) purpose()   {}
func (change) purpose() {}

const (
	// maxHold is how long a call is held although no leader is expected, or one accepts
	// nothing: below a quarter of the 3 s that a consumer waits.
	maxHold = 500 * time.Millisecond
	// minElection is the least time in which controllers that are started elect a leader:
	// their election timeout.
	minElection = 500 * time.Millisecond
	// readTimeout bounds the first attempt of a read. A read waits for one exchange with
	// the other voters, not for a disk, and asking once more does no harm.
	readTimeout = 350 * time.Millisecond
)

// timeoutOf returns the time for the next attempt of a call of which some attempts have
// had no reply. A change gets all of it from the start: sent again early, it would add to
// the load of a leader whose disk is slow, and pings find one that hangs before.
func timeoutOf(p purpose, unanswered int) time.Duration {
	if _, ok := p.(read); ok && unanswered < 2 {
		return min(readTimeout<<unanswered, callTimeout)
	}
	return callTimeout
}

// An outlook is what is known when an attempt of a call has brought no leader's answer.
type outlook struct {
	purpose purpose
	now     time.Time
	// held is how long the call has lasted, and left the time until it ends.
	held, left time.Duration
	// addresses lists the controllers.
	addresses []string
	contact   contact
	record    callRecord
	// latest is why the latest attempt brought no answer.
	latest Cause
}

// isHopeless reports whether the call should end now as refused: no controller may have
// accepted it, and no leader is expected to accept it in the time left.
func (o outlook) isHopeless() bool {
	switch o.purpose.(type) {
	case upkeep:
		return false
	case change:
		if o.record.isSent {
			// A leader that gets it again tells whether it was accepted.
			return false
		}
		if _, isNamed := o.latest.(*RedirectedError); !isNamed && o.left < minCommitTime {
			return true
		}
	case read:
	}
	switch o.latest.(type) {
	case *CommitStalledError:
		return o.held+stalledBackoff > maxHold
	case *GroupIncompleteError, *BusyError:
		return o.held+retryBackoff > maxHold
	}
	isOverdue := !o.now.Before(o.contact.leaderExpectedBy())
	if o.contact.isNoneThere(o.addresses, o.now) {
		return isOverdue || o.held >= maxHold || o.left < minElection
	}
	return isOverdue && o.held >= maxHold
}

// A search is where a call looks for the leader.
type search struct {
	address string
	// ringPosition is the last address that was taken from the ring. Each call has its
	// own: calls that shared one could skip the same controller again and again.
	ringPosition string
	redirects    int
}

// newSearch returns a search that begins at an address, or behind it if it is avoided.
func newSearch(address string, ring []string, isAvoided func(address string) bool) search {
	s := search{
		address:      address,
		ringPosition: address,
	}
	if isAvoided(address) {
		return s.withNext(ring, isAvoided)
	}
	return s
}

// withRedirect returns s at the address that a controller named; at the next one of the
// ring if it named none, names itself time and again, or names one that does not respond.
func (s search) withRedirect(address string, ring []string, isAvoided func(address string) bool) search {
	s.redirects++
	if address == "" || s.redirects > maxRedirects || isAvoided(address) {
		return s.withNext(ring, isAvoided)
	}
	s.address = address
	return s
}

// withNext returns s at the next address of the ring that is not avoided; simply at the
// next one if all are.
func (s search) withNext(ring []string, isAvoided func(address string) bool) search {
	next := nextInRing(ring, s.ringPosition)
	for range ring {
		if !isAvoided(next) {
			break
		}
		next = nextInRing(ring, next)
	}
	return search{
		address:      next,
		ringPosition: next,
	}
}

// nextInRing returns the address after the given one, or the first address if the
// given one is last or not listed.
func nextInRing(addresses []string, address string) string {
	for i, a := range addresses {
		if a == address {
			return addresses[(i+1)%len(addresses)]
		}
	}
	return addresses[0]
}
