package consensus

import "time"

// IsDiskBehind reports whether the entries that are not yet durable here exceed their bound.
func (r Replica) IsDiskBehind() bool {
	return r.cfg.MaxUncommittedBytes > 0 && r.log.BytesAfter(r.syncedIndex) > r.cfg.MaxUncommittedBytes
}

// proposalRefusal returns why a leader does not append a proposal after pending ones of the
// given number and size, or "" if it does.
func (r Replica) proposalRefusal(l Leader, p Proposal, pending, pendingBytes uint64) RefusalReason {
	if r.cfg.MaxCommandBytes > 0 && uint64(len(p.Bytes)) > r.cfg.MaxCommandBytes {
		return RefusedTooLarge
	}
	// A restarted group holds many entries that are not known to be committed. They are as
	// soon as an entry of this term is, so those of earlier terms do not count.
	settled := max(min(r.commitIndex, r.syncedIndex), l.termStartIndex-1)
	uncommittedBytes := r.log.BytesAfter(settled) + pendingBytes
	isFull := r.cfg.MaxUncommittedBytes > 0 && uncommittedBytes > r.cfg.MaxUncommittedBytes
	if isFull || r.log.LastIndex()+pending+1-r.commitIndex > r.cfg.MaxUncommitted {
		return RefusedLogFull
	}
	return ""
}

// withRequested returns r with the entries of a request that its log lacks, these entries,
// and the last entry up to which the log is then known to equal the leader's. While the disk
// is too far behind, it takes no further entries.
func (r Replica) withRequested(request Append) (next Replica, taken []Entry, match uint64) {
	match = request.PrevIndex
	for _, e := range request.Entries {
		term, ok := r.log.Term(e.Index)
		isHeld := e.Index <= r.log.BaseIndex() || ok && term == e.Term
		if !isHeld {
			cut := r.truncated(e.Index)
			if cut.IsDiskBehind() {
				return r, taken, match
			}
			r = cut.withEntry(e)
			taken = append(taken, e)
		}
		match = e.Index
	}
	return r, taken, match
}

// repliesTo returns the answers to a request after which the log equals the leader's up to
// the match.
func (r Replica) repliesTo(now time.Time, msg Message, request Append, match uint64, hasTaken bool) []Effect {
	reply := Send{
		Message: r.newMessage(msg.From, AppendReply{
			Accepted: true,
			Match:    match,
			SentNS:   request.SentNS,
		}),
		// Entries of an earlier request may not be durable yet.
		AfterSync: match > r.syncedIndex,
	}
	isBehind := r.IsDiskBehind()
	isBusy := now.Sub(r.syncBeganAt) >= r.cfg.Heartbeat
	if !reply.AfterSync || !isBusy && !isBehind {
		return []Effect{
			reply,
		}
	}
	// A leader must not lose its lease, or reads their confirmation, to a slow disk.
	early := AppendReply{
		Accepted: true,
		Match:    r.syncedIndex,
		SentNS:   request.SentNS,
	}
	if isBehind {
		early.Held = match
	}
	out := []Effect{
		r.send(msg.From, early),
	}
	// The first reply for these entries waits for the disk already, unless they are in a
	// snapshot: no event tells that a snapshot is durable.
	if !hasTaken && match > r.log.BaseIndex() {
		return out
	}
	return append(out, reply)
}

// mayTakeEntries reports whether a member may be sent entries now.
func (r Replica) mayTakeEntries(p Progress) bool {
	if p.Probing || p.Paused {
		return false
	}
	inflight := r.log.BytesBetween(max(p.Match, p.Probed), p.Next-1)
	return r.cfg.MaxInflightBytes == 0 || inflight < r.cfg.MaxInflightBytes
}
