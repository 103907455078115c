package consensus

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
