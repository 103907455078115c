// Package member holds the aggregate of the controllers' group: its voters, its
// learners, and the rules for changes of one member at a time.
package member

import (
	"fmt"
	"slices"
)

// Member is one controller of the group, identified by its data folder.
type Member struct {
	// ID is the identity of the controller's data folder.
	ID string `json:"id"`
	// Address is the host and port of the controller's interface for the other
	// processes of the system.
	Address string `json:"address"`
	// Voter is false while the member is a learner, which receives the log but
	// does not vote.
	Voter bool `json:"voter"`
	// Replaces is the identity of the member to remove once this one has caught up;
	// empty for none.
	Replaces string `json:"replaces"`
}

// WithVoter returns m as a voter.
func (m Member) WithVoter() Member {
	m.Voter = true
	return m
}

// WithReplaces returns m as the replacement of another member, or of none if id
// is empty.
func (m Member) WithReplaces(id string) Member {
	m.Replaces = id
	return m
}

// MaxMembers is the largest number of members of a group.
const MaxMembers = 9

// Set is the membership of a group.
type Set struct {
	// Group is the random name that the group got when it was formed.
	Group string `json:"group"`
	// Members lists the members in the order in which they joined.
	Members []Member `json:"members"`
}

// ChangeError reports a membership change that is not allowed.
type ChangeError struct {
	// Problem is the reason.
	Problem string
}

// Error returns the reason with the prefix "members: ".
func (e *ChangeError) Error() string {
	return "members: " + e.Problem
}

// Get returns the member with the given identity.
func (s Set) Get(id string) (Member, bool) {
	i := s.indexOf(id)
	if i < 0 {
		return Member{}, false
	}
	return s.Members[i], true
}

// IsVoter reports whether the member with the given identity is a voter.
func (s Set) IsVoter(id string) bool {
	m, ok := s.Get(id)
	return ok && m.Voter
}

// Voters returns the number of voters.
func (s Set) Voters() int {
	n := 0
	for _, m := range s.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the smallest number of voters that is a majority.
func (s Set) Quorum() int {
	return s.Voters()/2 + 1
}

// WithMember returns s with m added, or with m in place of the member that has
// the same identity.
func (s Set) WithMember(m Member) Set {
	list := slices.Clone(s.Members)
	if i := s.indexOf(m.ID); i >= 0 {
		list[i] = m
	} else {
		list = append(list, m)
	}
	s.Members = list
	return s
}

// WithoutMember returns s without the member with the given identity, which nobody
// replaces any more. A controller that joins again with this identity is a new member.
func (s Set) WithoutMember(id string) Set {
	s.Members = slices.DeleteFunc(slices.Clone(s.Members), func(m Member) bool {
		return m.ID == id
	})
	for i, m := range s.Members {
		if m.Replaces == id {
			s.Members[i] = m.WithReplaces("")
		}
	}
	return s
}

func (s Set) indexOf(id string) int {
	return slices.IndexFunc(s.Members, func(m Member) bool {
		return m.ID == id
	})
}

// Change is a change of one member: Add, Promote or Remove.
type Change interface {
	change()
}

// Add adds a learner.
type Add struct {
	// Member is the new member. It is added as a learner even if its Voter is
	// true.
	Member Member
}

// Promote turns a learner into a voter.
type Promote struct {
	// ID is the learner's identity.
	ID string
}

// Remove removes a voter or a learner.
type Remove struct {
	// ID is the member's identity.
	ID string
}

func (Add) change()     {}
func (Promote) change() {}
func (Remove) change()  {}

// WithChange returns s after a change, or a *ChangeError if it is not allowed.
func (s Set) WithChange(c Change) (Set, error) {
	switch c := c.(type) {
	case Add:
		return s.withAdded(c.Member)
	case Promote:
		m, ok := s.Get(c.ID)
		if !ok || m.Voter {
			return s, newChangeError("%q is not a learner", c.ID)
		}
		return s.WithMember(m.WithVoter()), nil
	case Remove:
		return s.withRemoved(c.ID)
	}
	return s, newChangeError("unknown membership change")
}

// HasAddition reports whether c is an Add of a member that the set has already, as
// when a request was sent again because its answer was lost.
func (s Set) HasAddition(c Change) bool {
	add, ok := c.(Add)
	if !ok {
		return false
	}
	m, known := s.Get(add.Member.ID)
	return known && m.Address == add.Member.Address && m.Replaces == add.Member.Replaces
}

func (s Set) withAdded(m Member) (Set, error) {
	if m.ID == "" || m.Address == "" {
		return s, newChangeError("a member must have an identity and an address")
	}
	if _, ok := s.Get(m.ID); ok {
		return s, newChangeError("%q is already a member", m.ID)
	}
	if len(s.Members) >= MaxMembers {
		return s, newChangeError("a group has at most %d members", MaxMembers)
	}
	if _, ok := s.Get(m.Replaces); m.Replaces != "" && !ok {
		return s, newChangeError("%q cannot be replaced: it is not a member", m.Replaces)
	}
	m.Voter = false
	return s.WithMember(m), nil
}

func (s Set) withRemoved(id string) (Set, error) {
	m, ok := s.Get(id)
	if !ok {
		return s, newChangeError("%q is not a member", id)
	}
	if m.Voter && s.Voters() == 1 {
		return s, newChangeError("the last voter cannot be removed")
	}
	return s.WithoutMember(id), nil
}

func newChangeError(format string, args ...any) *ChangeError {
	return &ChangeError{
		Problem: fmt.Sprintf(format, args...),
	}
}
