package dispatch

import "cmp"

// A Policy says in which order work gets places and what may be done to make
// room: Guarded, PriorityOnly or FirstCome. The last two are baselines for
// measurements.
type Policy interface {
	policy()
}

// Guarded orders by priority, guarantee and objective, keeps room for urgent
// work and for large gangs, and stops the runs that lose the least.
type Guarded struct{}

// PriorityOnly orders by priority and submission, and stops less urgent runs. It
// keeps no room for anybody.
type PriorityOnly struct{}

// FirstCome orders by submission, takes the first workers that fit and stops
// nothing.
type FirstCome struct{}

func (Guarded) policy()      {}
func (PriorityOnly) policy() {}
func (FirstCome) policy()    {}

// orderOf returns how a policy compares waiting units.
func orderOf(p Policy) func(a, b unit) int {
	switch p.(type) {
	case PriorityOnly:
		return func(a, b unit) int {
			return cmp.Or(
				cmp.Compare(a.flow.Terms.Priority, b.flow.Terms.Priority),
				a.flow.Submitted.Compare(b.flow.Submitted),
			)
		}
	case FirstCome:
		return func(a, b unit) int {
			return a.flow.Submitted.Compare(b.flow.Submitted)
		}
	case Guarded:
	}
	return compareUnits
}

// mayPreempt reports whether a policy stops runs to make room for a unit.
func mayPreempt(p Policy, u unit) bool {
	switch p.(type) {
	case FirstCome:
		return false
	case Guarded, PriorityOnly:
	}
	return u.flow.Terms.Priority == 0
}

// keepsRoom reports whether a policy keeps room free for work to come.
func keepsRoom(p Policy) bool {
	switch p.(type) {
	case FirstCome, PriorityOnly:
		return false
	case Guarded:
	}
	return true
}

// takesFirstFit reports whether a policy takes the first workers that fit in
// place of the fullest ones.
func takesFirstFit(p Policy) bool {
	switch p.(type) {
	case FirstCome:
		return true
	case Guarded, PriorityOnly:
	}
	return false
}
