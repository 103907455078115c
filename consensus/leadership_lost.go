package consensus

import "time"

// A LossCause is the reason for which a leader does not lead any more.
type LossCause string

// Reasons for which a leadership is lost.
const (
	// LostLaterTerm means that a later term has begun elsewhere.
	LostLaterTerm LossCause = "later-term"
	// LostMajority means that no majority of the voters has answered for too long.
	LostMajority LossCause = "no-majority"
	// LostTransfer means that the leadership was handed over, or that this was tried and
	// took too long.
	LostTransfer LossCause = "transfer"
)

// LossCauses returns all reasons for which a leadership is lost.
func LossCauses() []LossCause {
	return []LossCause{
		LostLaterTerm,
		LostMajority,
		LostTransfer,
	}
}

// LeadershipLost reports that the replica does not lead any more.
type LeadershipLost struct {
	// Term is the term that it led.
	Term uint64
	// Cause is why it does not lead any more.
	Cause LossCause
	// By is the member from which it learnt of a later term; "" for none.
	By string
	// Duration is how long it led.
	Duration time.Duration
	// ContactAge is how long before a majority was last sent a message that it answered;
	// the same as Duration if a majority has not answered.
	ContactAge time.Duration
	// IsEstablished is true if it had applied an entry of its term.
	IsEstablished bool
}

func (LeadershipLost) effect() {}

// leadershipLost returns a LeadershipLost if the replica before the present event led, and
// does not lead that term any more.
func (r Replica) leadershipLost(now time.Time, before Replica, e Event) []Effect {
	l, ok := before.role.(Leader)
	if !ok || r.IsLeader() && r.hardState.Term == before.hardState.Term {
		return nil
	}
	lost := LeadershipLost{
		Term:          before.hardState.Term,
		Cause:         LostMajority,
		Duration:      now.Sub(l.electedAt),
		ContactAge:    now.Sub(l.electedAt),
		IsEstablished: before.IsEstablishedLeader(),
	}
	if contact := l.quorumContact(now, r.cfg.ID, before.Members()); contact.After(l.electedAt) {
		lost.ContactAge = now.Sub(contact)
	}
	received, isMessage := e.(MessageReceived)
	switch {
	case l.transferee != "":
		lost.Cause = LostTransfer
	case r.hardState.Term > lost.Term:
		lost.Cause = LostLaterTerm
	}
	if isMessage {
		lost.By = received.Message.From
	}
	return []Effect{
		lost,
	}
}
