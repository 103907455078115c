package dispatch

import "cmp"

// A Policy sets the order in which waiting work is placed and whether running
// work may be preempted: GuaranteeAware, PriorityOnly or FirstComeFirstServed.
// The last two are baselines for measurements.
type Policy interface {
	policy()
}

// GuaranteeAware orders by priority, guarantee and target completion. It keeps
// capacity free for urgent work and reserves nodes for large gangs. It preempts
// the runs that lose the least work.
type GuaranteeAware struct{}

// PriorityOnly orders by priority and time of submission, and preempts less
// urgent runs. It keeps no free capacity and makes no reservations.
type PriorityOnly struct{}

// FirstComeFirstServed orders by time of submission, takes the first workers
// that fit and never preempts.
type FirstComeFirstServed struct{}

func (GuaranteeAware) policy()       {}
func (PriorityOnly) policy()         {}
func (FirstComeFirstServed) policy() {}

// taskGroupOrder returns the comparison by which a policy sorts waiting task
// groups.
func taskGroupOrder(p Policy) func(a, b taskGroup) int {
	switch p.(type) {
	case PriorityOnly:
		return func(a, b taskGroup) int {
			return cmp.Or(
				cmp.Compare(a.wf.QueueSettings.Priority, b.wf.QueueSettings.Priority),
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

// mayPreempt reports whether a policy may preempt runs to place g. Only task
// groups of the highest priority preempt.
func mayPreempt(p Policy, g taskGroup) bool {
	switch p.(type) {
	case FirstComeFirstServed:
		return false
	case GuaranteeAware, PriorityOnly:
	}
	return g.wf.QueueSettings.Priority == 0
}

// reservesCapacity reports whether a policy keeps free capacity for urgent work
// and reserves nodes for gangs.
func reservesCapacity(p Policy) bool {
	switch p.(type) {
	case FirstComeFirstServed, PriorityOnly:
		return false
	case GuaranteeAware:
	}
	return true
}

// ordersByShare reports whether a policy lets the organisation go first that uses the smallest
// part of its share, where organisations have weights.
func ordersByShare(p Policy) bool {
	switch p.(type) {
	case FirstComeFirstServed, PriorityOnly:
		return false
	case GuaranteeAware:
	}
	return true
}

// usesFirstFit reports whether a policy takes the first nodes that fit instead
// of the fullest ones.
func usesFirstFit(p Policy) bool {
	switch p.(type) {
	case FirstComeFirstServed:
		return true
	case GuaranteeAware, PriorityOnly:
	}
	return false
}
