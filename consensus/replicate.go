package consensus

import "time"

const (
	// snapshotRetryInterval is how long a leader waits for the end of the transfer
	// of a snapshot before it sends the snapshot again.
	snapshotRetryInterval = 10 * time.Second
	// snapshotReplyTimeout is how long a member may take to install a snapshot
	// after its transfer.
	snapshotReplyTimeout = time.Second
)

func (r Replica) tickLeader(now time.Time, l Leader) (Replica, []Effect) {
	contact := l.quorumContact(now, r.cfg.ID, r.Members())
	isEstablished := now.Sub(l.electedAt) > 2*r.cfg.ElectionTimeout
	// If all ticks are late, a leader would never give up without a limit.
	isLateForLong := now.Sub(r.lateSince) > maxLateTimeouts*r.cfg.ElectionTimeout
	hasAsked := now.Sub(r.resumedAt) > 2*r.cfg.ElectionTimeout || isLateForLong
	isIsolated := isEstablished && hasAsked && now.Sub(contact) > 2*r.cfg.ElectionTimeout
	isTransferOverdue := l.transferee != "" && now.After(l.transferDeadline)
	if isIsolated || isTransferOverdue {
		// A leader without a majority must stop accepting commands. After a
		// transfer that did not complete in time, the transferee may still win
		// its election, so this replica must not regain its lease.
		r.role = Follower{}
		r.leaderID = ""
		return r.withElectionTimer(now), nil
	}
	r, out := r.proposeMemberChange(now, l)
	if now.Before(r.heartbeatDue) {
		return r, out
	}
	next, more := r.replicateToAll(now)
	return next, append(out, more...)
}

func (r Replica) stepPropose(now time.Time, e Propose) (Replica, []Effect) {
	l, isLeader := r.role.(Leader)
	var out []Effect
	var payloads []Payload
	pendingBytes := uint64(0)
	for _, p := range e.Proposals {
		reason := RefusedNotLeader
		if isLeader && l.transferee == "" {
			reason = r.proposalRefusal(l, p, uint64(len(payloads)), pendingBytes)
		}
		if reason != "" {
			out = append(out, Refused{
				Token:  p.Token,
				Reason: reason,
			})
			continue
		}
		payloads = append(payloads, Data{
			Bytes: p.Bytes,
		})
		pendingBytes += uint64(len(p.Bytes))
		out = append(out, Appended{
			Token: p.Token,
			Index: r.log.LastIndex() + uint64(len(payloads)),
			Term:  r.hardState.Term,
		})
	}
	if len(payloads) == 0 {
		return r, out
	}
	r, more := r.appendPayloads(payloads)
	out = append(out, more...)
	r, more = r.replicateToAll(now)
	return r, append(out, more...)
}

// appendPayloads appends entries with the payloads to the leader's own log.
func (r Replica) appendPayloads(payloads []Payload) (Replica, []Effect) {
	entries := make([]Entry, len(payloads))
	for i, p := range payloads {
		entries[i] = Entry{
			Index:   r.log.LastIndex() + 1,
			Term:    r.hardState.Term,
			Payload: p,
		}
		r = r.withEntry(entries[i])
	}
	return r, []Effect{
		Persist{
			Hard:    r.hardState,
			Entries: entries,
		},
	}
}

// replicateToAll sends each other member the entries that it lacks, or a
// heartbeat.
func (r Replica) replicateToAll(now time.Time) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok {
		return r, nil
	}
	r.heartbeatDue = now.Add(r.cfg.Heartbeat)
	l.sentNS = max(l.sentNS+1, int64(now.Sub(l.electedAt)))
	l.roundAt = now
	l.confirmationsSent = len(l.confirmations)
	var out []Effect
	for _, m := range r.Members().Members {
		if m.ID == r.cfg.ID {
			continue
		}
		p, known := l.progress[m.ID]
		if !known {
			p = r.newProgress()
			p.TrackedAt = now
		}
		var more []Effect
		p, more = r.replicateTo(now, l, m.ID, p)
		l = l.withProgress(m.ID, p)
		out = append(out, more...)
	}
	r.role = l
	return r, out
}

func (r Replica) replicateTo(now time.Time, l Leader, id string, p Progress) (Progress, []Effect) {
	if p.Next <= r.log.BaseIndex() {
		return r.sendSnapshotTo(now, l, id, p)
	}
	prevIndex := p.Next - 1
	prevTerm, _ := r.log.Term(prevIndex)
	request := Append{
		PrevIndex:   prevIndex,
		PrevTerm:    prevTerm,
		CommitIndex: r.commitIndex,
		SentNS:      l.sentNS,
	}
	if r.mayTakeEntries(p) {
		// Assume that the entries arrive. If they are lost, the member rejects
		// the next request and the leader probes again.
		request.Entries = r.log.Slice(p.Next, r.cfg.MaxBatchEntries, r.cfg.MaxBatchBytes)
		p.Next += uint64(len(request.Entries))
	}
	return p, []Effect{
		r.send(id, request),
	}
}

func (r Replica) sendSnapshotTo(now time.Time, l Leader, id string, p Progress) (Progress, []Effect) {
	// The heartbeat keeps the member from starting an election meanwhile.
	out := []Effect{
		r.send(id, Append{
			PrevIndex: r.log.LastIndex(),
			PrevTerm:  r.log.LastTerm(),
			SentNS:    l.sentNS,
		}),
	}
	if now.Before(p.SnapshotRetryAt) {
		return p, out
	}
	p.SnapshotRetryAt = now.Add(snapshotRetryInterval)
	return p, append(out, SendSnapshot{
		To:    id,
		Group: r.Members().Group,
		Term:  r.hardState.Term,
	})
}

func (r Replica) stepSnapshotSent(now time.Time, e SnapshotSent) Replica {
	l, ok := r.role.(Leader)
	if !ok {
		return r
	}
	p := l.progress[e.To]
	if retryAt := now.Add(snapshotReplyTimeout); retryAt.Before(p.SnapshotRetryAt) {
		p.SnapshotRetryAt = retryAt
		r.role = l.withProgress(e.To, p)
	}
	return r
}

// withLeader returns r as a follower that has just heard from the leader of its term.
func (r Replica) withLeader(now time.Time, id string) Replica {
	r.role = Follower{}
	r.leaderID = id
	r.leaderContactAt = now
	r.search = search{}
	return r.withElectionTimer(now)
}

func (r Replica) stepAppend(now time.Time, msg Message, request Append) (Replica, []Effect) {
	r = r.withLeader(now, msg.From)
	if term, ok := r.log.Term(request.PrevIndex); !ok || term != request.PrevTerm {
		if request.PrevIndex >= r.log.BaseIndex() {
			return r, []Effect{
				r.send(msg.From, AppendReply{
					Match:  r.matchHint(request.PrevIndex),
					SentNS: request.SentNS,
				}),
			}
		}
	}
	wasSynced := r.syncedIndex >= r.log.LastIndex()
	r, taken, match := r.withRequested(request)
	var out []Effect
	if len(taken) > 0 {
		if wasSynced {
			r.syncBeganAt = now
		}
		out = append(out, Persist{
			Hard:    r.hardState,
			Entries: taken,
		})
	}
	r.commitIndex = max(r.commitIndex, min(request.CommitIndex, match))
	return r, append(out, r.repliesTo(now, msg, request, match, len(taken) > 0)...)
}

// matchHint returns the last entry that may match the leader's log, given that
// the entry at prevIndex does not.
func (r Replica) matchHint(prevIndex uint64) uint64 {
	if r.log.LastIndex() < prevIndex {
		return r.log.LastIndex()
	}
	return max(r.commitIndex, prevIndex-1)
}

func (r Replica) stepAppendReply(now time.Time, from string, reply AppendReply) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok {
		return r, nil
	}
	p, known := l.progress[from]
	if !known {
		return r, nil
	}
	if sentAt := l.electedAt.Add(time.Duration(reply.SentNS)); sentAt.After(p.LastContact) && !sentAt.After(now) {
		p.LastContact = sentAt
	}
	p.AnsweredNS = max(p.AnsweredNS, min(reply.SentNS, l.sentNS))
	if !reply.Accepted && now.Before(p.SnapshotRetryAt) {
		r.role = l.withProgress(from, p)
		return r, nil
	}
	if !reply.Accepted {
		// A member whose disk has lost entries gets them again.
		p.Match = min(p.Match, reply.Match)
		p.Next = min(p.Next-1, reply.Match) + 1
		p.Probing = true
		r.role = l.withProgress(from, p)
		return r.replicateToOne(now, from)
	}
	if reply.Match > p.Match {
		p.Match = reply.Match
	}
	if p.Probing && p.Next <= r.log.BaseIndex() && reply.Match < r.log.BaseIndex() {
		r.role = l.withProgress(from, p)
		return r, nil
	}
	wasProbing := p.Probing
	p = p.withAccepted(reply)
	r.role = l.withProgress(from, p)
	r = r.advanceCommitIndex()
	if r.mayTakeEntries(p) && (wasProbing || p.Next <= r.log.LastIndex()) {
		return r.replicateToOne(now, from)
	}
	l, _ = r.role.(Leader)
	return r.transferIfCaughtUp(l)
}

// replicateToOne sends one member the entries that it lacks, without waiting
// for the next heartbeat.
func (r Replica) replicateToOne(now time.Time, id string) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok {
		return r, nil
	}
	l.sentNS = max(l.sentNS, int64(now.Sub(l.electedAt)))
	p, out := r.replicateTo(now, l, id, l.progress[id])
	r.role = l.withProgress(id, p)
	return r, out
}

// advanceCommitIndex commits the entries that a majority holds, if the last of
// them is of the leader's own term. Raft commits entries of earlier terms only
// along with such an entry, since a majority alone does not protect them.
func (r Replica) advanceCommitIndex() Replica {
	l, ok := r.role.(Leader)
	if !ok {
		return r
	}
	index := min(l.quorumMatchIndex(r.Members()), r.log.LastIndex())
	if term, held := r.log.Term(index); index > r.commitIndex && held && term == r.hardState.Term {
		r.commitIndex = index
	}
	return r
}

func (r Replica) stepEntriesSynced(now time.Time, e EntriesSynced) Replica {
	if term, ok := r.log.Term(e.Index); !ok || term != e.Term {
		return r
	}
	r.syncedIndex = max(r.syncedIndex, e.Index)
	r.syncBeganAt = now
	l, ok := r.role.(Leader)
	if !ok {
		return r
	}
	p := l.progress[r.cfg.ID]
	p.Match = r.syncedIndex
	r.role = l.withProgress(r.cfg.ID, p)
	return r.advanceCommitIndex()
}

func (r Replica) stepSnapshotReceived(now time.Time, e SnapshotReceived) (Replica, []Effect) {
	if e.Message.Term < r.hardState.Term {
		return r, nil
	}
	var out []Effect
	if e.Message.Term > r.hardState.Term {
		r = r.withTerm(e.Message.Term)
		out = append(out, r.persistHardState())
	}
	r = r.withLeader(now, e.Message.From)
	if !r.holds(e.Meta) {
		r = r.withSnapshot(e.Meta)
		out = append(out, InstallSnapshot{
			Meta: e.Meta,
		})
	}
	r.commitIndex = max(r.commitIndex, e.Meta.Index)
	// The leader sends the snapshot until it gets this reply, which may be lost.
	return r, append(out, r.sendAfterSync(e.Message.From, AppendReply{
		Accepted: true,
		Match:    e.Meta.Index,
	}))
}

// holds reports whether the log or the applied state covers the same entries as a
// snapshot.
func (r Replica) holds(meta SnapshotMeta) bool {
	term, ok := r.log.Term(meta.Index)
	return meta.Index <= r.commitIndex || ok && term == meta.Term
}

// withSnapshot returns r with a snapshot in place of its log.
func (r Replica) withSnapshot(meta SnapshotMeta) Replica {
	r.log = NewLog(meta.Index, meta.Term)
	r.commitIndex, r.appliedIndex = meta.Index, meta.Index
	// The snapshot is not durable yet, and the entries of the old log are gone.
	r.syncedIndex = 0
	r.memberships = []membershipEntry{
		{
			index: meta.Index,
			set:   meta.Members,
		},
	}
	return r
}
