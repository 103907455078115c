package consensus

import "time"

func (r Replica) stepTick(now time.Time) (Replica, []Effect) {
	r = r.withTick(now)
	if l, ok := r.role.(Leader); ok {
		return r.tickLeader(now, l)
	}
	if now.Before(r.electionDeadline) || r.isVoteUnsynced() {
		return r, nil
	}
	r = r.withElectionTimer(now)
	if !r.Members().IsVoter(r.cfg.ID) {
		return r, nil
	}
	return r.startPreVote(now)
}

// maxLateTimeouts is for how many election timeouts late ticks may put off an election, or
// keep a leader in office that nobody answers.
const maxLateTimeouts = 4

// withTick returns r after a tick. Before one that is late, the replica has read no messages
// for some time: they may wait behind the tick, so the silence of others tells nothing yet.
func (r Replica) withTick(now time.Time) Replica {
	if r.tickedAt.IsZero() {
		// Replicas that start together would otherwise all ask for votes at once.
		r.electionDeadline = r.electionDeadline.Add(r.electionJitter)
	}
	isLate := r.isTickLate(now)
	r.tickedAt = now
	if !isLate {
		return r
	}
	r.resumedAt = now
	l, isLeader := r.role.(Leader)
	isAnswered := isLeader && l.quorumContact(now, r.cfg.ID, r.Members()).After(r.lateSince)
	if r.lateSince.IsZero() || isAnswered {
		r.lateSince = now
	}
	// A part of the jitter keeps replicas that resume together from splitting the votes.
	deadline := now.Add(r.cfg.Heartbeat + r.electionJitter/4)
	// If all ticks are late, nobody would ever ask for votes without a limit.
	if limit := r.lateSince.Add(maxLateTimeouts * r.cfg.ElectionTimeout); deadline.After(limit) {
		deadline = limit
	}
	if deadline.After(r.electionDeadline) {
		r.electionDeadline = deadline
	}
	return r
}

// isTickLate reports whether a tick that comes now, or later, is late.
func (r Replica) isTickLate(now time.Time) bool {
	return !r.tickedAt.IsZero() && now.Sub(r.tickedAt) > r.cfg.ElectionTimeout/2
}

func (r Replica) startPreVote(now time.Time) (Replica, []Effect) {
	r.leaderID = ""
	r.search = r.search.withStart(now)
	r.role = PreCandidate{
		votes: map[string]bool{
			r.cfg.ID: true,
		},
		candidacy: r.candidacy(),
		ballot:    newBallot(now),
	}
	if r.Members().Quorum() == 1 {
		return r.startElection(now, false)
	}
	msg := r.newMessage("", Vote{
		PreVote:   true,
		LastIndex: r.log.LastIndex(),
		LastTerm:  r.log.LastTerm(),
	})
	msg.Term++
	return r, r.sendToVoters(msg)
}

func (r Replica) startElection(now time.Time, isTransfer bool) (Replica, []Effect) {
	r.hardState = HardState{
		Term: r.hardState.Term + 1,
		Vote: r.cfg.ID,
	}
	r.leaderID = ""
	r.role = Candidate{
		votes:  map[string]bool{},
		ballot: newBallot(now),
	}
	out := []Effect{
		r.persistHardState(),
	}
	msg := r.newMessage("", Vote{
		LastIndex:          r.log.LastIndex(),
		LastTerm:           r.log.LastTerm(),
		LeadershipTransfer: isTransfer,
	})
	return r, append(out, r.sendToVoters(msg)...)
}

func (r Replica) sendToVoters(msg Message) []Effect {
	var out []Effect
	for _, m := range r.Members().Members {
		if m.Voter && m.ID != r.cfg.ID {
			msg.To = m.ID
			out = append(out, Send{
				Message: msg,
			})
		}
	}
	return out
}

func (r Replica) stepMessage(now time.Time, msg Message) (Replica, []Effect) {
	if !r.accepts(msg) {
		return r, nil
	}
	if r.Group() == "" {
		r.joiningGroup = msg.Group
	}
	r.search = r.search.withContact(now, msg.From)
	if request, ok := msg.Body.(Vote); ok {
		return r.stepVote(now, msg, request)
	}
	if reply, ok := msg.Body.(VoteReply); ok && reply.PreVote && reply.Granted {
		return r.stepPreVoteReply(now, msg, reply)
	}
	var out []Effect
	if msg.Term > r.hardState.Term {
		r = r.withTerm(msg.Term)
		out = append(out, r.persistHardState())
	}
	next, more := r.dispatch(now, msg)
	return next, append(out, more...)
}

// accepts reports whether a message is addressed to this replica, rather than
// to one that used its network address before, and comes from its group. A
// replica without a group accepts only append requests, which tell it the
// group.
func (r Replica) accepts(msg Message) bool {
	if msg.To != r.cfg.ID {
		return false
	}
	group := r.Group()
	if group != "" {
		return msg.Group == group
	}
	_, isAppend := msg.Body.(Append)
	return isAppend && msg.Group != ""
}

func (r Replica) dispatch(now time.Time, msg Message) (Replica, []Effect) {
	isStale := msg.Term < r.hardState.Term
	switch body := msg.Body.(type) {
	case Append:
		if isStale {
			return r, []Effect{
				r.send(msg.From, AppendReply{}),
			}
		}
		return r.stepAppend(now, msg, body)
	case AppendReply:
		if isStale {
			return r, nil
		}
		return r.stepAppendReply(now, msg.From, body)
	case VoteReply:
		if isStale {
			return r, nil
		}
		return r.stepVoteReply(now, msg.From, body)
	case TimeoutNow:
		if isStale || !r.Members().IsVoter(r.cfg.ID) {
			return r, nil
		}
		return r.withElectionTimer(now).startElection(now, true)
	case KeepAlive:
		if isStale {
			return r, nil
		}
		return r.withLeader(now, msg.From), nil
	case Vote:
		return r, nil
	}
	return r, nil
}

func (r Replica) stepVote(now time.Time, msg Message, request Vote) (Replica, []Effect) {
	// A voter refuses its vote while a leader may have a lease.
	leaseMayHold := now.Before(r.leaderContactAt.Add(r.cfg.ElectionTimeout)) || r.IsLeader()
	if leaseMayHold && !request.LeadershipTransfer {
		return r, []Effect{
			r.send(msg.From, request.reply(RefusedLease)),
		}
	}
	if request.PreVote {
		refusal := r.voteRefusal(msg, request)
		reply := r.newMessage(msg.From, request.reply(refusal))
		if refusal == "" {
			reply.Term = msg.Term
		}
		return r, []Effect{
			Send{
				Message: reply,
			},
		}
	}
	return r.castVote(now, msg, request)
}

func (r Replica) castVote(now time.Time, msg Message, request Vote) (Replica, []Effect) {
	var out []Effect
	if msg.Term > r.hardState.Term {
		r = r.withTerm(msg.Term)
		out = append(out, r.persistHardState())
	}
	refusal := r.voteRefusal(msg, request)
	if refusal == "" {
		r.hardState.Vote = msg.From
		r = r.withElectionTimer(now)
		out = append(out, r.persistHardState())
	}
	return r, append(out, r.sendAfterSync(msg.From, request.reply(refusal)))
}

func (r Replica) stepPreVoteReply(now time.Time, msg Message, reply VoteReply) (Replica, []Effect) {
	c, ok := r.role.(PreCandidate)
	if !ok || msg.Term != r.hardState.Term+1 || !r.isForThisLog(reply) {
		return r, nil
	}
	c.votes = withVote(c.votes, msg.From)
	r.role = c
	if countVotes(c.votes, r.Members()) < r.Members().Quorum() {
		return r, nil
	}
	return r.startElection(now, false)
}

func (r Replica) stepVoteReply(now time.Time, from string, reply VoteReply) (Replica, []Effect) {
	if reply.PreVote || !reply.Granted || !r.isForThisLog(reply) {
		return r, nil
	}
	return r.countVote(now, from)
}

// isForThisLog reports whether a vote was asked for with the log that the replica holds. A
// replica that restarted before its log was durable may start an election in the same term
// again, with a shorter log, and get votes for the longer one.
func (r Replica) isForThisLog(reply VoteReply) bool {
	isUnknown := reply.LastIndex == 0
	return isUnknown || reply.LastIndex == r.log.LastIndex() && reply.LastTerm == r.log.LastTerm()
}

// countVote counts a durable vote for this replica in its present term. The replica does
// not lead before its own vote is durable: after a restart it could lead the same term
// again, with other entries.
func (r Replica) countVote(now time.Time, from string) (Replica, []Effect) {
	c := r.candidacy()
	if c.votes == nil {
		return r, nil
	}
	c.votes = withVote(c.votes, from)
	switch role := r.role.(type) {
	case Candidate:
		r.role = c
	case PreCandidate:
		role.candidacy = c
		r.role = role
	case Follower, Leader:
	}
	if !c.votes[r.cfg.ID] || countVotes(c.votes, r.Members()) < r.Members().Quorum() {
		return r, nil
	}
	return r.becomeLeader(now)
}

// candidacy returns the election that the replica started in its present term. Its votes
// are nil if there is none.
func (r Replica) candidacy() Candidate {
	switch role := r.role.(type) {
	case Candidate:
		return role
	case PreCandidate:
		return role.candidacy
	case Follower, Leader:
	}
	return Candidate{}
}

// isVoteUnsynced reports whether the replica's vote is on its way to the disk. It decides
// an election that is under way, so the replica neither starts another one nor supports
// one until then.
func (r Replica) isVoteUnsynced() bool {
	return r.hardState.Vote != "" && r.syncedHard != r.hardState
}

func (r Replica) stepHardStateSynced(now time.Time, e HardStateSynced) (Replica, []Effect) {
	wasUnsynced := r.isVoteUnsynced()
	r.syncedHard = e.Hard
	if !wasUnsynced || r.isVoteUnsynced() {
		return r, nil
	}
	r = r.withElectionTimer(now)
	if r.hardState.Vote != r.cfg.ID {
		return r, nil
	}
	return r.countVote(now, r.cfg.ID)
}

func (r Replica) becomeLeader(now time.Time) (Replica, []Effect) {
	l := Leader{
		electedAt:      now,
		termStartIndex: r.log.LastIndex() + 1,
		sentNS:         -1,
		progress:       map[string]Progress{},
	}
	for _, m := range r.Members().Members {
		p := r.newProgress()
		p.TrackedAt = r.search.lastContact(now, m)
		l.progress[m.ID] = p
	}
	r.search = search{}
	r.role = l
	r.lateSince = time.Time{}
	r.leaderID = r.cfg.ID
	r, out := r.appendPayloads([]Payload{
		Noop{},
	})
	next, more := r.replicateToAll(now)
	return next, append(out, more...)
}

func (r Replica) newProgress() Progress {
	return Progress{
		Next:    r.log.LastIndex() + 1,
		Probing: true,
	}
}

func (r Replica) stepTransferLeadership(now time.Time) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok {
		return r, nil
	}
	successor := ""
	for _, m := range r.Members().Members {
		p := l.progress[m.ID]
		if m.Voter && m.ID != r.cfg.ID && r.isReachable(now, p) && (successor == "" || p.Match > l.progress[successor].Match) {
			successor = m.ID
		}
	}
	if successor == "" {
		return r, nil
	}
	l.transferee = successor
	l.transferDeadline = now.Add(r.cfg.ElectionTimeout)
	r.role = l
	return r.transferIfCaughtUp(l)
}

// IsOutrun reports whether the replica leads a group that commits entries which are not
// durable on the replica's own disk, while another reachable voter holds all of them.
func (r Replica) IsOutrun(now time.Time) bool {
	l, ok := r.role.(Leader)
	if !ok || !r.IsEstablishedLeader() || l.transferee != "" || r.syncedIndex >= r.commitIndex {
		return false
	}
	for _, m := range r.Members().Members {
		p := l.progress[m.ID]
		if m.Voter && m.ID != r.cfg.ID && r.isReachable(now, p) && p.Match >= r.commitIndex {
			return true
		}
	}
	return false
}

// isReachable reports whether a member has answered this leader within an election timeout.
func (r Replica) isReachable(now time.Time, p Progress) bool {
	return now.Sub(p.LastContact) < r.cfg.ElectionTimeout
}

// transferIfCaughtUp sends TimeoutNow to the transferee once it holds the whole
// log.
func (r Replica) transferIfCaughtUp(l Leader) (Replica, []Effect) {
	if l.transferee == "" || l.progress[l.transferee].Match < r.log.LastIndex() {
		return r, nil
	}
	return r, []Effect{
		r.send(l.transferee, TimeoutNow{}),
	}
}
