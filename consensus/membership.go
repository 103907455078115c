package consensus

import (
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// caughtUp is how many entries a learner may lack when it becomes a voter.
const caughtUp = 64

func (r Replica) stepForm(now time.Time, e FormGroup) (Replica, []Effect) {
	if r.Members().Group != "" || r.log.LastIndex() > 0 {
		return r, []Effect{
			Refused{
				Token:  e.Token,
				Reason: RefusedAlreadyFormed,
				Detail: "this controller belongs to a group already",
			},
		}
	}
	r.hard = HardState{
		Term: 1,
		Vote: r.cfg.ID,
	}
	set := member.Set{
		Group: e.Group,
	}.WithMember(e.Self.WithVoter())
	r, out := r.appendAll([]Payload{
		Members{
			Set: set,
		},
	})
	r, more := r.becomeLeader(now)
	out = append(out, more...)
	return r, append(out, Appended{
		Token: e.Token,
		Index: 1,
		Term:  r.hard.Term,
	})
}

func (r Replica) stepChange(now time.Time, e ChangeMembers) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	refused := Refused{
		Token: e.Token,
	}
	switch {
	case !ok || l.transferTo != "":
		refused.Reason = RefusedNotLeader
		return r, []Effect{
			refused,
		}
	case r.isChangePending() || r.commit < l.termStart:
		refused.Reason = RefusedChangePending
		refused.Detail = "another change of members is not finished"
		return r, []Effect{
			refused,
		}
	}
	next, out, err := r.changeMembers(now, e.Change)
	if err != nil {
		refused.Reason = RefusedInvalidChange
		refused.Detail = err.Error()
		return r, []Effect{
			refused,
		}
	}
	return next, append(out, Appended{
		Token: e.Token,
		Index: next.log.LastIndex(),
		Term:  next.hard.Term,
	})
}

// isChangePending reports whether the latest set of members is not committed.
func (r Replica) isChangePending() bool {
	return r.sets[len(r.sets)-1].index > r.commit
}

func (r Replica) changeMembers(now time.Time, c member.Change) (Replica, []Effect, error) {
	set, err := r.Members().WithChange(c)
	if err != nil {
		return r, nil, err
	}
	next, out := r.appendAll([]Payload{
		Members{
			Set: set,
		},
	})
	next, more := next.replicateAll(now)
	return next, append(out, more...), nil
}

// proposeFollowUp takes the next step of a repair by itself: a learner that
// has caught up becomes a voter, and then the member that it replaces goes. A
// leader that is no longer a member steps down.
func (r Replica) proposeFollowUp(now time.Time, l Leader) (Replica, []Effect) {
	if r.isChangePending() || r.commit < l.termStart {
		return r, nil
	}
	if _, ok := r.Members().Get(r.cfg.ID); !ok {
		r.role = Follower{}
		r.leader = ""
		return r, nil
	}
	c, ok := r.followUp(now, l)
	if !ok {
		return r, nil
	}
	next, out, err := r.changeMembers(now, c)
	if err != nil {
		return r, nil
	}
	return next, out
}

func (r Replica) followUp(now time.Time, l Leader) (member.Change, bool) {
	for _, m := range r.Members().Members {
		p := l.progress[m.ID]
		alive := now.Sub(p.LastContact) < r.cfg.ElectionTimeout
		_, old := r.Members().Get(m.Replaces)
		switch {
		case !m.Voter && alive && p.Match+caughtUp >= r.log.LastIndex() && p.Match > 0:
			return member.Promote{
				ID: m.ID,
			}, true
		case m.Voter && m.Replaces != "" && old:
			return member.Remove{
				ID: m.Replaces,
			}, true
		}
	}
	return nil, false
}
