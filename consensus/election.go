package consensus

import "time"

func (r Replica) stepTick(now time.Time) (Replica, []Effect) {
	if l, ok := r.role.(Leader); ok {
		return r.tickLeader(now, l)
	}
	if now.Before(r.electionAt) {
		return r, nil
	}
	r = r.withTimer(now)
	if !r.Members().IsVoter(r.cfg.ID) {
		return r, nil
	}
	return r.startPreVote(now)
}

func (r Replica) startPreVote(now time.Time) (Replica, []Effect) {
	r.leader = ""
	r.role = PreCandidate{
		granted: map[string]bool{
			r.cfg.ID: true,
		},
	}
	if r.Members().Quorum() == 1 {
		return r.startElection(now, false)
	}
	l := r.letter("", Vote{
		PreVote:   true,
		LastIndex: r.log.LastIndex(),
		LastTerm:  r.log.LastTerm(),
	})
	l.Term++
	return r, r.toVoters(l, false)
}

func (r Replica) startElection(now time.Time, transfer bool) (Replica, []Effect) {
	r.hard = HardState{
		Term: r.hard.Term + 1,
		Vote: r.cfg.ID,
	}
	r.leader = ""
	r.role = Candidate{
		granted: map[string]bool{
			r.cfg.ID: true,
		},
	}
	out := []Effect{
		r.persistHard(),
	}
	if r.Members().Quorum() == 1 {
		next, more := r.becomeLeader(now)
		return next, append(out, more...)
	}
	l := r.letter("", Vote{
		LastIndex:          r.log.LastIndex(),
		LastTerm:           r.log.LastTerm(),
		LeadershipTransfer: transfer,
	})
	return r, append(out, r.toVoters(l, true)...)
}

func (r Replica) toVoters(l Message, durable bool) []Effect {
	var out []Effect
	for _, m := range r.Members().Members {
		if m.Voter && m.ID != r.cfg.ID {
			l.To = m.ID
			out = append(out, Send{
				Message:   l,
				AfterSync: durable,
			})
		}
	}
	return out
}

func (r Replica) stepReceive(now time.Time, l Message) (Replica, []Effect) {
	if !r.accepts(l) {
		return r, nil
	}
	if r.Group() == "" {
		r.joining = l.Group
	}
	if v, ok := l.Body.(Vote); ok {
		return r.stepVote(now, l, v)
	}
	if reply, ok := l.Body.(VoteReply); ok && reply.PreVote && reply.Granted {
		return r.stepPreVoteReply(now, l)
	}
	var out []Effect
	if l.Term > r.hard.Term {
		r = r.withTerm(l.Term)
		out = append(out, r.persistHard())
	}
	next, more := r.dispatch(now, l)
	return next, append(out, more...)
}

// accepts reports whether a message is for this replica, and not for one
// that was at its address before, and from its group. A replica without a group
// takes only a leader's entries: they bring the group.
func (r Replica) accepts(l Message) bool {
	if l.To != r.cfg.ID {
		return false
	}
	group := r.Group()
	if group != "" {
		return l.Group == group
	}
	_, isAppend := l.Body.(Append)
	return isAppend && l.Group != ""
}

func (r Replica) dispatch(now time.Time, l Message) (Replica, []Effect) {
	stale := l.Term < r.hard.Term
	switch m := l.Body.(type) {
	case Append:
		if stale {
			return r, []Effect{
				r.send(l.From, AppendReply{}),
			}
		}
		return r.stepAppend(now, l, m)
	case AppendReply:
		if stale {
			return r, nil
		}
		return r.stepAppendReply(now, l.From, m)
	case VoteReply:
		if stale {
			return r, nil
		}
		return r.stepVoteReply(now, l.From, m)
	case TimeoutNow:
		if stale || !r.Members().IsVoter(r.cfg.ID) {
			return r, nil
		}
		return r.withTimer(now).startElection(now, true)
	case Vote:
		return r, nil
	}
	return r, nil
}

func (r Replica) stepVote(now time.Time, l Message, v Vote) (Replica, []Effect) {
	// Votes are refused while a leader may hold a lease.
	leaseMayHold := now.Before(r.heard.Add(r.cfg.ElectionTimeout)) || r.IsLeader()
	upToDate := v.LastTerm > r.log.LastTerm() ||
		v.LastTerm == r.log.LastTerm() && v.LastIndex >= r.log.LastIndex()
	if leaseMayHold && !v.LeadershipTransfer {
		return r, []Effect{
			r.send(l.From, VoteReply{
				PreVote: v.PreVote,
			}),
		}
	}
	if v.PreVote {
		granted := upToDate && l.Term > r.hard.Term
		reply := r.letter(l.From, VoteReply{
			PreVote: true,
			Granted: granted,
		})
		if granted {
			reply.Term = l.Term
		}
		return r, []Effect{
			Send{
				Message: reply,
			},
		}
	}
	return r.castVote(now, l, upToDate)
}

func (r Replica) castVote(now time.Time, l Message, upToDate bool) (Replica, []Effect) {
	var out []Effect
	if l.Term > r.hard.Term {
		r = r.withTerm(l.Term)
		out = append(out, r.persistHard())
	}
	granted := upToDate && l.Term == r.hard.Term && (r.hard.Vote == "" || r.hard.Vote == l.From)
	if granted {
		r.hard.Vote = l.From
		r = r.withTimer(now)
		out = append(out, r.persistHard())
	}
	return r, append(out, r.sendDurably(l.From, VoteReply{
		Granted: granted,
	}))
}

func (r Replica) stepPreVoteReply(now time.Time, l Message) (Replica, []Effect) {
	c, ok := r.role.(PreCandidate)
	if !ok || l.Term != r.hard.Term+1 {
		return r, nil
	}
	c.granted = withGrant(c.granted, l.From)
	r.role = c
	if countVoters(c.granted, r.Members()) < r.Members().Quorum() {
		return r, nil
	}
	return r.startElection(now, false)
}

func (r Replica) stepVoteReply(now time.Time, from string, m VoteReply) (Replica, []Effect) {
	c, ok := r.role.(Candidate)
	if !ok || m.PreVote || !m.Granted {
		return r, nil
	}
	c.granted = withGrant(c.granted, from)
	r.role = c
	if countVoters(c.granted, r.Members()) < r.Members().Quorum() {
		return r, nil
	}
	return r.becomeLeader(now)
}

func (r Replica) becomeLeader(now time.Time) (Replica, []Effect) {
	l := Leader{
		since:     now,
		termStart: r.log.LastIndex() + 1,
		progress:  map[string]Progress{},
	}
	for _, m := range r.Members().Members {
		l.progress[m.ID] = r.newProgress()
	}
	r.role = l
	r.leader = r.cfg.ID
	r, out := r.appendAll([]Payload{
		Noop{},
	})
	next, more := r.replicateAll(now)
	return next, append(out, more...)
}

func (r Replica) newProgress() Progress {
	return Progress{
		Next:    r.log.LastIndex() + 1,
		Probing: true,
	}
}

func (r Replica) stepTransfer(now time.Time) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok {
		return r, nil
	}
	best := ""
	for _, m := range r.Members().Members {
		p := l.progress[m.ID]
		alive := now.Sub(p.LastContact) < r.cfg.ElectionTimeout
		if m.Voter && m.ID != r.cfg.ID && alive && (best == "" || p.Match > l.progress[best].Match) {
			best = m.ID
		}
	}
	if best == "" {
		return r, nil
	}
	l.transferTo = best
	l.transferTill = now.Add(r.cfg.ElectionTimeout)
	r.role = l
	return r.transferIfReady(l)
}

// transferIfReady hands over once the chosen member holds the whole log.
func (r Replica) transferIfReady(l Leader) (Replica, []Effect) {
	if l.transferTo == "" || l.progress[l.transferTo].Match < r.log.LastIndex() {
		return r, nil
	}
	return r, []Effect{
		r.send(l.transferTo, TimeoutNow{}),
	}
}
