// Package member holds the aggregate of the controllers' group: who votes, who
// only learns, and which single changes are allowed.
package member

import (
	"fmt"
	"slices"
)

// A Member is one controller, named by the identity of its disk.
type Member struct {
	// ID is the identity of the controller's data folder.
	ID string `json:"id"`
	// Address is host and port of its interface for the system's processes.
	Address string `json:"address"`
	// Voter is false while the member only learns.
	Voter bool `json:"voter"`
	// Replaces is the identity of the member to remove once this one votes.
	Replaces string `json:"replaces"`
}

// WithVoter returns m as a voter.
func (m Member) WithVoter() Member {
	m.Voter = true
	return m
}

// WithReplaces returns m without its mark of replacement or with a new one.
func (m Member) WithReplaces(id string) Member {
	m.Replaces = id
	return m
}

// MaxMembers is the largest group.
const MaxMembers = 9

// A Set is the members of a group, in the order in which they joined.
type Set struct {
	// Group is the random name of the group, given when it was formed.
	Group string `json:"group"`
	// Members lists the members.
	Members []Member `json:"members"`
}

// A ChangeError reports a change of members that is not allowed.
type ChangeError struct {
	// Problem says why.
	Problem string
}

// Error returns the reason.
func (e *ChangeError) Error() string {
	return "members: " + e.Problem
}

// Get returns the member of an identity.
func (s Set) Get(id string) (Member, bool) {
	i := s.indexOf(id)
	if i < 0 {
		return Member{}, false
	}
	return s.Members[i], true
}

// IsVoter reports whether the identity belongs to a voter.
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

// Quorum returns the number of voters that make a majority.
func (s Set) Quorum() int {
	return s.Voters()/2 + 1
}

// WithMember returns s with m added, or put in the place of its namesake.
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

// WithoutMember returns s without the member of an identity.
func (s Set) WithoutMember(id string) Set {
	s.Members = slices.DeleteFunc(slices.Clone(s.Members), func(m Member) bool {
		return m.ID == id
	})
	return s
}

func (s Set) indexOf(id string) int {
	return slices.IndexFunc(s.Members, func(m Member) bool {
		return m.ID == id
	})
}

// A Change is a change of one member: Add, Promote or Remove.
type Change interface {
	change()
}

// Add brings in a learner.
type Add struct {
	// Member is the new member; it starts as a learner whatever it says.
	Member Member
}

// Promote makes a learner a voter.
type Promote struct {
	// ID is the learner's identity.
	ID string
}

// Remove takes a member out.
type Remove struct {
	// ID is the member's identity.
	ID string
}

func (Add) change()     {}
func (Promote) change() {}
func (Remove) change()  {}

// With returns s after a change, or a *ChangeError.
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
	return s, newChangeError("unknown change")
}

func (s Set) withAdded(m Member) (Set, error) {
	if m.ID == "" || m.Address == "" {
		return s, newChangeError("a member needs an identity and an address")
	}
	if _, ok := s.Get(m.ID); ok {
		return s, newChangeError("%q is a member already", m.ID)
	}
	if len(s.Members) >= MaxMembers {
		return s, newChangeError("a group has at most %d members", MaxMembers)
	}
	if _, ok := s.Get(m.Replaces); m.Replaces != "" && !ok {
		return s, newChangeError("%q, which is to be replaced, is not a member", m.Replaces)
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
