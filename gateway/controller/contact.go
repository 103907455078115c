package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/plantainladder/plantainladder/util"
)

const (
	// usualElection is how long after the loss of a leader the next one usually accepts
	// calls: the election timeout of 500 ms, up to 500 ms of jitter, two rounds of votes
	// and the first commit.
	usualElection = 1200 * time.Millisecond
	// outageGap is the time without a reply after which the controllers count as having
	// been away. Members are queried more often than that, also if there are no calls.
	outageGap = 1500 * time.Millisecond
	// avoidFor is how long no other call waits for a controller that does not respond: the
	// time that one attempt to connect takes.
	avoidFor = dialTimeout
	// sightingAge is how long a sighting tells whether a controller is there. A round of
	// attempts to connect to five controllers takes 1.7 s.
	sightingAge = 2 * time.Second
	// sightingRetention is how long sightings are kept.
	sightingRetention = 5 * time.Second
)

// A sighting is what the latest call to a controller has shown.
type sighting struct {
	at time.Time
	// cause is why it brought no leader's answer; nil if it brought one.
	cause Cause
}

// hasReplied reports whether the controller has replied.
func (s sighting) hasReplied() bool {
	switch s.cause.(type) {
	case *NotCalledError, *NotReachedError, *NoReplyError:
		return false
	}
	return true
}

// isUnresponsive reports whether the controller was not reached, or lost its connection. A
// reply that is only late may come from a leader whose disk is slow.
func (s sighting) isUnresponsive() bool {
	switch c := s.cause.(type) {
	case *NotReachedError:
		return true
	case *NoReplyError:
		return !errors.Is(c.Err, context.DeadlineExceeded)
	}
	return false
}

// followsNobody reports whether the controller has said that it follows no leader, or does
// not run: its machine refused the connection.
func (s sighting) followsNobody() bool {
	switch c := s.cause.(type) {
	case *NoLeaderKnownError:
		return true
	case *NotReachedError:
		return errors.Is(c.Err, syscall.ECONNREFUSED)
	}
	return false
}

// A contact is what the calls of a process have shown of the controllers. It is immutable.
type contact struct {
	// leaderAt is when a leader last replied.
	leaderAt time.Time
	// lostAt is when the first call began that failed since; zero if none has.
	lostAt time.Time
	// repliedAt is when any controller last replied.
	repliedAt time.Time
	// electorsSince is when a controller replied after none had for long.
	electorsSince time.Time
	sightings     map[string]sighting
}

// withCall returns c with one more call, which has ended now.
func (c contact) withCall(call finishedCall, now time.Time) contact {
	cause := call.cause()
	if cause != nil && call.isCutShort() {
		return c
	}
	seen := sighting{
		at:    now,
		cause: cause,
	}
	known := c.sightings[call.address]
	if seen.hasReplied() || !known.hasReplied() || known.at.Before(call.startedAt) {
		c.sightings = maps.Clone(c.sightings)
		if c.sightings == nil {
			c.sightings = map[string]sighting{}
		}
		c.sightings[call.address] = seen
		maps.DeleteFunc(c.sightings, func(_ string, s sighting) bool { return now.Sub(s.at) > sightingRetention })
	}
	if seen.hasReplied() {
		if now.Sub(c.repliedAt) > outageGap {
			c.electorsSince = now
		}
		c.repliedAt = now
	}
	switch cause.(type) {
	case nil, *BusyError, *GroupIncompleteError, *CommitStalledError:
		c.leaderAt, c.lostAt = now, time.Time{}
	default:
		if c.lostAt.IsZero() {
			c.lostAt = util.Later(call.startedAt, c.leaderAt)
		}
	}
	return c
}

// leaderExpectedBy returns when an election has usually ended that began when the leader
// was lost, or when the controllers came back.
func (c contact) leaderExpectedBy() time.Time {
	return util.Later(c.lostAt, c.electorsSince).Add(usualElection)
}

// isAvoided reports whether a controller has just been found not to respond.
func (c contact) isAvoided(address string, now time.Time) bool {
	s, ok := c.sightings[address]
	return ok && s.isUnresponsive() && now.Sub(s.at) < avoidFor
}

// isNoneThere reports whether none of the controllers responds.
func (c contact) isNoneThere(addresses []string, now time.Time) bool {
	return !slices.ContainsFunc(addresses, func(a string) bool {
		s, ok := c.sightings[a]
		return !ok || !s.isUnresponsive() || now.Sub(s.at) > sightingAge
	})
}

// isLeaderless reports whether most of the controllers have just been found to follow
// nobody. No leader can commit anything without a majority that follows it.
func (c contact) isLeaderless(addresses []string, now time.Time) bool {
	n := 0
	for _, a := range addresses {
		if s, ok := c.sightings[a]; ok && s.followsNobody() && now.Sub(s.at) < sightingAge {
			n++
		}
	}
	return 2*n > len(addresses)
}
