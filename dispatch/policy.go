package dispatch

import "cmp"

// A Policy says in which order work gets places and what may be done to make
// room: GuaranteeAware, PriorityOnly or FirstComeFirstServed. The last two are baselines for
// measurements.
type Policy interface {
	policy()
}

// GuaranteeAware orders by priority, guarantee and objective, keeps room for urgent
// work and for large gangs, and stops the runs that lose the least.
type GuaranteeAware struct{}

// PriorityOnly orders by priority and submission, and stops less urgent runs. It
// keeps no room for anybody.
type PriorityOnly struct{}

// FirstComeFirstServed orders by submission, takes the first workers that fit and stops
// nothing.
type FirstComeFirstServed struct{}

func (GuaranteeAware) policy()       {}
func (PriorityOnly) policy()         {}
func (FirstComeFirstServed) policy() {}

// taskGroupOrder returns how a policy compares waiting units.
func taskGroupOrder(p Policy) func(a, b taskGroup) int {
	switch p.(type) {
	case PriorityOnly:
		return func(a, b taskGroup) int {
			return cmp.Or(
				cmp.Compare(a.wf.Terms.Priority, b.wf.Terms.Priority),
				a.wf.Submitted.Compare(b.wf.Submitted),
			)
		}
	case FirstComeFirstServed:
		return func(a, b taskGroup) int {
			return a.wf.Submitted.Compare(b.wf.Submitted)
		}
	case GuaranteeAware:
	}
	return compareTaskGroups
}

// mayPreempt reports whether a policy stops runs to make room for a unit.
func mayPreempt(p Policy, u taskGroup) bool {
	switch p.(type) {
	case FirstComeFirstServed:
		return false
	case GuaranteeAware, PriorityOnly:
	}
	return u.wf.Terms.Priority == 0
}

// reservesCapacity reports whether a policy keeps room free for work to come.
func reservesCapacity(p Policy) bool {
	switch p.(type) {
	case FirstComeFirstServed, PriorityOnly:
		return false
	case GuaranteeAware:
	}
	return true
}

// usesFirstFit reports whether a policy takes the first workers that fit in
// place of the fullest ones.
func usesFirstFit(p Policy) bool {
	switch p.(type) {
	case FirstComeFirstServed:
		return true
	case GuaranteeAware, PriorityOnly:
	}
	return false
}
