package consensus

import "time"

// snapshotPause is how long a leader waits for a snapshot to arrive before it
// sends it again.
const snapshotPause = 10 * time.Second

func (r Replica) tickLeader(now time.Time, l Leader) (Replica, []Effect) {
	acked := l.quorumAcked(now, r.cfg.ID, r.Members())
	settled := now.Sub(l.since) > 2*r.cfg.ElectionTimeout
	isolated := settled && now.Sub(acked) > 2*r.cfg.ElectionTimeout
	transferFailed := l.transferTo != "" && now.After(l.transferTill)
	if isolated || transferFailed {
		// Without a majority a leader must not go on taking commands. After a
		// transfer the other one may yet win, so the lease must not come back.
		r.role = Follower{}
		r.leader = ""
		return r.withTimer(now), nil
	}
	r, out := r.proposeFollowUp(now, l)
	if now.Before(r.beatAt) {
		return r, out
	}
	next, more := r.replicateAll(now)
	return next, append(out, more...)
}

func (r Replica) stepPropose(now time.Time, e Propose) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	var out []Effect
	var payloads []Payload
	next := r.log.LastIndex()
	for _, p := range e.Proposals {
		switch {
		case !ok || l.transferTo != "":
			out = append(out, Refused{
				Token:  p.Token,
				Reason: RefusedNotLeader,
			})
		case next+1-r.commit > r.cfg.MaxUncommitted:
			out = append(out, Refused{
				Token:  p.Token,
				Reason: RefusedLogFull,
			})
		default:
			next++
			payloads = append(payloads, Data{
				Bytes: p.Bytes,
			})
			out = append(out, Appended{
				Token: p.Token,
				Index: next,
				Term:  r.hard.Term,
			})
		}
	}
	if len(payloads) == 0 {
		return r, out
	}
	r, more := r.appendAll(payloads)
	out = append(out, more...)
	r, more = r.replicateAll(now)
	return r, append(out, more...)
}

// appendAll appends payloads to the leader's own log.
func (r Replica) appendAll(payloads []Payload) (Replica, []Effect) {
	entries := make([]Entry, len(payloads))
	for i, p := range payloads {
		entries[i] = Entry{
			Index:   r.log.LastIndex() + 1,
			Term:    r.hard.Term,
			Payload: p,
		}
		r = r.withEntry(entries[i])
	}
	return r, []Effect{
		Persist{
			Hard:    r.hard,
			Entries: entries,
		},
	}
}

// replicateAll sends each member what it lacks, or a heartbeat.
func (r Replica) replicateAll(now time.Time) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok {
		return r, nil
	}
	r.beatAt = now.Add(r.cfg.Heartbeat)
	var out []Effect
	for _, m := range r.Members().Members {
		if m.ID == r.cfg.ID {
			continue
		}
		p, known := l.progress[m.ID]
		if !known {
			p = r.newProgress()
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
		return r.snapshotTo(now, l, id, p)
	}
	prev := p.Next - 1
	prevTerm, _ := r.log.Term(prev)
	a := Append{
		PrevIndex:   prev,
		PrevTerm:    prevTerm,
		CommitIndex: r.commit,
		SentNS:      int64(now.Sub(l.since)),
	}
	if !p.Probing {
		// Sent entries count as received until the member says otherwise.
		a.Entries = r.log.Slice(p.Next, r.cfg.MaxBatchEntries, r.cfg.MaxBatchBytes)
		p.Next += uint64(len(a.Entries))
	}
	return p, []Effect{
		r.send(id, a),
	}
}

func (r Replica) snapshotTo(now time.Time, l Leader, id string, p Progress) (Progress, []Effect) {
	// A heartbeat goes along, so that the member does not start an election.
	out := []Effect{
		r.send(id, Append{
			PrevIndex: r.log.LastIndex(),
			PrevTerm:  r.log.LastTerm(),
			SentNS:    int64(now.Sub(l.since)),
		}),
	}
	if now.Before(p.SnapshotRetryAt) {
		return p, out
	}
	p.SnapshotRetryAt = now.Add(snapshotPause)
	return p, append(out, SendSnapshot{
		To:    id,
		Group: r.Members().Group,
		Term:  r.hard.Term,
	})
}

func (r Replica) stepAppend(now time.Time, l Message, a Append) (Replica, []Effect) {
	r.role = Follower{}
	r.leader = l.From
	r.heard = now
	r = r.withTimer(now)
	if term, ok := r.log.Term(a.PrevIndex); !ok || term != a.PrevTerm {
		if a.PrevIndex >= r.log.BaseIndex() {
			return r, []Effect{
				r.send(l.From, AppendReply{
					Match:  r.lastBefore(a.PrevIndex),
					SentNS: a.SentNS,
				}),
			}
		}
	}
	var fresh []Entry
	for _, e := range a.Entries {
		if e.Index <= r.log.BaseIndex() {
			continue
		}
		if term, ok := r.log.Term(e.Index); ok && term == e.Term {
			continue
		}
		r = r.truncated(e.Index).withEntry(e)
		fresh = append(fresh, e)
	}
	var out []Effect
	if len(fresh) > 0 {
		out = append(out, Persist{
			Hard:    r.hard,
			Entries: fresh,
		})
	}
	match := a.PrevIndex + uint64(len(a.Entries))
	r.commit = max(r.commit, min(a.CommitIndex, match))
	return r, append(out, Send{
		Message: r.letter(l.From, AppendReply{
			Accepted: true,
			Match:    match,
			SentNS:   a.SentNS,
		}),
		// Entries of an earlier message may still wait for the disk.
		AfterSync: match > r.synced,
	})
}

// lastBefore returns the last entry that may match when prev did not.
func (r Replica) lastBefore(prev uint64) uint64 {
	if r.log.LastIndex() < prev {
		return r.log.LastIndex()
	}
	return max(r.commit, prev-1)
}

func (r Replica) stepAppendReply(now time.Time, from string, m AppendReply) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok {
		return r, nil
	}
	p, known := l.progress[from]
	if !known {
		return r, nil
	}
	if sent := l.since.Add(time.Duration(m.SentNS)); sent.After(p.LastContact) && !sent.After(now) {
		p.LastContact = sent
	}
	if !m.Accepted && now.Before(p.SnapshotRetryAt) {
		r.role = l.withProgress(from, p)
		return r, nil
	}
	if !m.Accepted {
		p.Next = max(p.Match, min(p.Next-1, m.Match)) + 1
		p.Probing = true
		r.role = l.withProgress(from, p)
		return r.replicateNow(now, from)
	}
	if m.Match > p.Match {
		p.Match = m.Match
	}
	if p.Probing && p.Next <= r.log.BaseIndex() && m.Match < r.log.BaseIndex() {
		r.role = l.withProgress(from, p)
		return r, nil
	}
	wasProbing := p.Probing
	p.Probing = false
	p.SnapshotRetryAt = time.Time{}
	p.Next = max(p.Next, p.Match+1)
	r.role = l.withProgress(from, p)
	r = r.advanceCommit()
	if wasProbing || p.Next <= r.log.LastIndex() {
		return r.replicateNow(now, from)
	}
	l, _ = r.role.(Leader)
	return r.transferIfReady(l)
}

// replicateNow sends a member what it lacks without waiting for the next beat.
func (r Replica) replicateNow(now time.Time, id string) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok {
		return r, nil
	}
	p, out := r.replicateTo(now, l, id, l.progress[id])
	r.role = l.withProgress(id, p)
	return r, out
}

// advanceCommit commits what a majority holds, if it is of this term.
func (r Replica) advanceCommit() Replica {
	l, ok := r.role.(Leader)
	if !ok {
		return r
	}
	n := min(l.quorumMatch(r.Members()), r.log.LastIndex())
	if term, held := r.log.Term(n); n > r.commit && held && term == r.hard.Term {
		r.commit = n
	}
	return r
}

func (r Replica) stepSynced(e EntriesSynced) Replica {
	if term, ok := r.log.Term(e.Index); !ok || term != e.Term {
		return r
	}
	r.synced = max(r.synced, e.Index)
	l, ok := r.role.(Leader)
	if !ok {
		return r
	}
	p := l.progress[r.cfg.ID]
	p.Match = r.synced
	r.role = l.withProgress(r.cfg.ID, p)
	return r.advanceCommit()
}

func (r Replica) stepSnapshot(now time.Time, e SnapshotReceived) (Replica, []Effect) {
	if e.Message.Term < r.hard.Term || e.Meta.Index <= r.commit {
		return r, nil
	}
	var out []Effect
	if e.Message.Term > r.hard.Term {
		r = r.withTerm(e.Message.Term)
		out = append(out, r.persistHard())
	}
	r.role = Follower{}
	r.leader = e.Message.From
	r.heard = now
	r = r.withTimer(now)
	r.log = NewLog(e.Meta.Index, e.Meta.Term)
	r.commit, r.handed, r.synced = e.Meta.Index, e.Meta.Index, e.Meta.Index
	r.sets = []memberSet{
		{
			index: e.Meta.Index,
			set:   e.Meta.Members,
		},
	}
	out = append(out, InstallSnapshot{
		Meta: e.Meta,
	})
	return r, append(out, r.sendDurably(e.Message.From, AppendReply{
		Accepted: true,
		Match:    e.Meta.Index,
	}))
}
