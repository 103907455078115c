package consensus

import (
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// maxPromotionLag is the largest number of committed entries that a learner may lack to
// be promoted to a voter. Entries that the voters' disks are still syncing do not count: a
// learner with an equal disk lacks them too.
const maxPromotionLag = 64

func (r Replica) stepFormGroup(now time.Time, e FormGroup) (Replica, []Effect) {
	if r.Members().Group != "" || r.log.LastIndex() > 0 {
		return r, []Effect{
			Refused{
				Token:  e.Token,
				Reason: RefusedAlreadyFormed,
				Detail: "this controller already belongs to a group",
			},
		}
	}
	r.hardState = HardState{
		Term: firstTerm,
		Vote: r.cfg.ID,
	}
	set := member.Set{
		Group: e.Group,
	}.WithMember(e.Self.WithVoter())
	r, out := r.appendPayloads([]Payload{
		Members{
			Set: set,
		},
	})
	r, more := r.becomeLeader(now)
	out = append(out, more...)
	return r, append(out, Appended{
		Token: e.Token,
		Index: 1,
		Term:  r.hardState.Term,
	})
}

// firstTerm is the term of the entry that names the first voters of a group.
const firstTerm = 1

func (r Replica) stepInstallGroup(now time.Time, e InstallGroup) (Replica, []Effect) {
	isOther := r.Group() != "" && r.Group() != e.Set.Group
	if isOther || r.Members().Group != "" || r.log.LastIndex() > 0 || !e.Set.IsVoter(r.cfg.ID) {
		return r, nil
	}
	r.hardState.Term = max(r.hardState.Term, firstTerm)
	first := Entry{
		Index: 1,
		Term:  firstTerm,
		Payload: Members{
			Set: e.Set,
		},
	}
	r = r.withEntry(first).withElectionTimer(now)
	if e.Campaigns {
		r.electionDeadline = now
	}
	return r, []Effect{
		Persist{
			Hard: r.hardState,
			Entries: []Entry{
				first,
			},
		},
	}
}

// FirstGroup returns the set of the first entry while the replica holds no other entry
// and knows no leader, and false otherwise. The other voters may not know the group then.
func (r Replica) FirstGroup() (member.Set, bool) {
	isFirst := r.log.BaseIndex() == 0 && r.log.LastIndex() == 1 && r.leaderID == ""
	return r.Members(), isFirst
}

func (r Replica) stepChangeMembers(now time.Time, e ChangeMembers) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	refusal := Refused{
		Token: e.Token,
	}
	switch {
	case !ok || l.transferee != "":
		refusal.Reason = RefusedNotLeader
		return r, []Effect{
			refusal,
		}
	case r.commitIndex >= l.termStartIndex && r.Members().HasAddition(e.Change):
		return r, []Effect{
			r.appendedMembers(e.Token),
		}
	case r.isChangePending() || r.commitIndex < l.termStartIndex:
		refusal.Reason = RefusedChangePending
		refusal.Detail = "an earlier change of members is not yet committed"
		return r, []Effect{
			refusal,
		}
	}
	next, out, err := r.changeMembers(now, e.Change)
	if err != nil {
		refusal.Reason = RefusedInvalidChange
		refusal.Detail = err.Error()
		return r, []Effect{
			refusal,
		}
	}
	return next, append(out, Appended{
		Token: e.Token,
		Index: next.log.LastIndex(),
		Term:  next.hardState.Term,
	})
}

// appendedMembers returns the answer to a change that the latest set of members
// includes already.
func (r Replica) appendedMembers(token uint64) Appended {
	index := r.memberships[len(r.memberships)-1].index
	term, _ := r.log.Term(index)
	return Appended{
		Token: token,
		Index: index,
		Term:  term,
	}
}

// MayChangeMembers reports whether the replica leads and may change the members now.
func (r Replica) MayChangeMembers() bool {
	l, ok := r.role.(Leader)
	return ok && l.transferee == "" && !r.isChangePending() && r.commitIndex >= l.termStartIndex
}

// isChangePending reports whether the latest set of members is not yet
// committed.
func (r Replica) isChangePending() bool {
	return r.memberships[len(r.memberships)-1].index > r.commitIndex
}

func (r Replica) changeMembers(now time.Time, c member.Change) (Replica, []Effect, error) {
	set, err := r.Members().WithChange(c)
	if err != nil {
		return r, nil, err
	}
	next, out := r.appendPayloads([]Payload{
		Members{
			Set: set,
		},
	})
	next, more := next.replicateToAll(now)
	return next, append(out, more...), nil
}

// proposeMemberChange takes the next step of a membership change without an
// operator: it promotes a learner that has caught up, and removes the member that this
// one replaces. A leader that is no longer a member steps down.
func (r Replica) proposeMemberChange(now time.Time, l Leader) (Replica, []Effect) {
	if r.isChangePending() || r.commitIndex < l.termStartIndex {
		return r, nil
	}
	if _, ok := r.Members().Get(r.cfg.ID); !ok {
		r.role = Follower{}
		r.leaderID = ""
		return r, nil
	}
	c, ok := r.nextMemberChange(now, l)
	if !ok {
		return r, nil
	}
	next, out, err := r.changeMembers(now, c)
	if err != nil {
		return r, nil
	}
	return next, out
}

// nextMemberChange returns the change that proposeMemberChange makes, or false
// if there is none.
func (r Replica) nextMemberChange(now time.Time, l Leader) (member.Change, bool) {
	for _, m := range r.Members().Members {
		p := l.progress[m.ID]
		replaced, isReplacementPending := r.Members().Get(m.Replaces)
		isReady := !m.Voter && r.isReachable(now, p) && p.Match+maxPromotionLag >= r.commitIndex && p.Match > 0
		switch {
		case isReady && isReplacementPending && replaced.Address == m.Address, m.Voter && isReplacementPending:
			// The member that had the learner's address is gone for good. With both as
			// voters, the group would bear one loss less if the learner is lost as well.
			// Any other member may be alive, and is removed after the promotion.
			return member.Remove{
				ID: m.Replaces,
			}, true
		case isReady:
			return member.Promote{
				ID: m.ID,
			}, true
		}
	}
	return nil, false
}
