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
	// index is the last entry that was committed before. The state holds it once it is
	// applied.
	index uint64
}

// RoundDue wakes the replica when a round of messages may begin that requests wait for.
type RoundDue struct{}

func (RoundDue) event() {}

// roundsPerHeartbeat bounds the rounds of messages that begin only for confirmations.
const roundsPerHeartbeat = 4

// stepConfirmLeadership makes the request wait for the next round of messages to all
// members. All that wait share it, so a burst of requests needs two rounds at most.
func (r Replica) stepConfirmLeadership(e ConfirmLeadership) (Replica, []Effect) {
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
		index:  r.commitIndex,
	})
	r.role = l
	return r, nil
}

// RoundDueAt returns when a round may begin that requests wait for. It returns false if
// none waits, or if the round has begun.
func (r Replica) RoundDueAt() (at time.Time, ok bool) {
	l, ok := r.role.(Leader)
	if !ok || l.confirmationsSent > 0 || len(l.confirmations) == 0 {
		return at, false
	}
	return l.roundAt.Add(r.cfg.Heartbeat / roundsPerHeartbeat), true
}

// answerConfirmations answers the requests that a majority has confirmed and whose entries
// are applied, and begins the round for those that came since the last one, if it is due.
func (r Replica) answerConfirmations(now time.Time) (Replica, []Effect) {
	l, ok := r.role.(Leader)
	if !ok || len(l.confirmations) == 0 {
		return r, nil
	}
	answered := l.quorumAnsweredNS(r.cfg.ID, r.Members())
	var out []Effect
	for len(l.confirmations) > 0 && l.confirmations[0].sentNS < answered && l.confirmations[0].index <= r.appliedIndex {
		out = append(out, LeadershipConfirmed{
			Token: l.confirmations[0].token,
		})
		l.confirmations = l.confirmations[1:]
		l.confirmationsSent--
	}
	l.confirmationsSent = max(l.confirmationsSent, 0)
	r.role = l
	if at, ok := r.RoundDueAt(); !ok || now.Before(at) {
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
