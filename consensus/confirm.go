package consensus

import "time"

// ConfirmLeadership asks the replica to confirm that no other replica led the group when
// the event came, so that its state held everything that was committed until then. It is
// answered with LeadershipConfirmed, or with Refused if the replica does not lead or
// ceases to. Unlike the lease, the answer depends on no clock: a machine that was
// suspended does not notice that its lease has run out.
type ConfirmLeadership struct {
	// Token is chosen by the caller and repeated in the answer.
	Token uint64
}

// LeadershipConfirmed reports that a majority has acknowledged this leader after the
// ConfirmLeadership with the token.
type LeadershipConfirmed struct {
	// Token is the token that came with the event.
	Token uint64
}

func (ConfirmLeadership) event()    {}
func (LeadershipConfirmed) effect() {}

// A confirmation is a ConfirmLeadership that waits for a majority to answer messages
// sent after it.
type confirmation struct {
	token uint64
	// sentNS is the SentNS of the last message before.
	sentNS int64
}

// stepConfirmLeadership makes the request wait for the next round of heartbeats, which
// begins at once unless one is under way for earlier requests. So a burst of requests
// needs two rounds at most.
func (r Replica) stepConfirmLeadership(now time.Time, e ConfirmLeadership) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok || !r.IsEstablishedLeader() || l.transferee != "" {
		return r, []Effect{
			Refused{
				Token:  e.Token,
				Reason: RefusedNotLeader,
			},
		}
	}
	l.confirmations = append(l.confirmations[:len(l.confirmations):len(l.confirmations)], confirmation{
		token:  e.Token,
		sentNS: l.sentNS,
	})
	r.role = l
	if l.confirmationsSent > 0 {
		return r, nil
	}
	return r.replicateToAll(now)
}

// answerConfirmations answers the requests that a majority has confirmed, and begins a
// round for those that came during the last one.
func (r Replica) answerConfirmations(now time.Time) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok || len(l.confirmations) == 0 {
		return r, nil
	}
	answered := l.quorumAnsweredNS(r.cfg.ID, r.Members())
	var out []Effect
	for len(l.confirmations) > 0 && l.confirmations[0].sentNS < answered {
		out = append(out, LeadershipConfirmed{
			Token: l.confirmations[0].token,
		})
		l.confirmations = l.confirmations[1:]
		l.confirmationsSent--
	}
	l.confirmationsSent = max(l.confirmationsSent, 0)
	r.role = l
	if l.confirmationsSent > 0 || len(l.confirmations) == 0 {
		return r, out
	}
	next, more := r.replicateToAll(now)
	return next, append(out, more...)
}

// refuseConfirmations refuses the requests that waited in a leadership that r has lost.
func (r Replica) refuseConfirmations(before Replica) (out []Effect) {
	l, ok := before.role.(Leader)
	if !ok || r.IsLeader() && r.hardState.Term == before.hardState.Term {
		return nil
	}
	for _, c := range l.confirmations {
		out = append(out, Refused{
			Token:  c.token,
			Reason: RefusedNotLeader,
		})
	}
	return out
}
