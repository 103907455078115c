package consensus

import "github.com/plantainladder/plantainladder/member"

// A Payload is the content of a log entry: Noop, Data or Members.
type Payload interface {
	payload()
}

// Noop is the first entry of a leader's term. A leader may only commit entries
// of earlier terms together with one of its own.
type Noop struct{}

// Data is a command for the state machine.
type Data struct {
	// Bytes is the command as its proposer encoded it.
	Bytes []byte
}

// Members changes the set of members, from this entry onwards.
type Members struct {
	// Set is the new set of members.
	Set member.Set
}

func (Noop) payload()    {}
func (Data) payload()    {}
func (Members) payload() {}

// An Entry is one entry of the replicated log.
type Entry struct {
	// Index is the entry's position in the log, starting at 1.
	Index uint64
	// Term is the term of the leader that appended the entry.
	Term uint64
	// Payload is the entry's content.
	Payload Payload
}

// A Body is the content of a Message: Vote, VoteReply, Append, AppendReply,
// TimeoutNow or KeepAlive.
type Body interface {
	body()
}

// Vote asks a voter for its vote.
type Vote struct {
	// PreVote is true if the sender only asks whether it would get the vote.
	// Such a request changes no term and no vote.
	PreVote bool `json:"pre"`
	// LastIndex and LastTerm identify the last entry of the sender's log.
	LastIndex uint64 `json:"last-index"`
	LastTerm  uint64 `json:"last-term"`
	// LeadershipTransfer is true if the leader asked the sender to start the
	// election. The request is then answered although the leader has a lease.
	LeadershipTransfer bool `json:"transfer"`
}

// VoteReply answers a Vote.
type VoteReply struct {
	// PreVote is copied from the request.
	PreVote bool `json:"pre"`
	// Granted is true if the voter gives its vote.
	Granted bool `json:"granted"`
	// Refusal is why the voter does not give its vote; "" if it does, or if it does not
	// tell.
	Refusal VoteRefusal `json:"refusal,omitempty"`
	// LastIndex and LastTerm are copied from the request; 0 if the voter does not tell.
	LastIndex uint64 `json:"last-index,omitempty"`
	LastTerm  uint64 `json:"last-term,omitempty"`
}

// reply returns the answer of a voter with its reason to refuse, "" if it gives its vote.
func (v Vote) reply(refusal VoteRefusal) VoteReply {
	return VoteReply{
		PreVote:   v.PreVote,
		Granted:   refusal == "",
		Refusal:   refusal,
		LastIndex: v.LastIndex,
		LastTerm:  v.LastTerm,
	}
}

// Append sends entries to a member. Without entries it is a heartbeat.
type Append struct {
	// PrevIndex and PrevTerm identify the entry before the first one sent.
	PrevIndex uint64 `json:"prev-index"`
	PrevTerm  uint64 `json:"prev-term"`
	// Entries holds the entries in log order.
	Entries []Entry `json:"entries"`
	// CommitIndex is the leader's commit index.
	CommitIndex uint64 `json:"commit"`
	// SentNS is when the leader sent the request, in nanoseconds since its
	// election.
	SentNS int64 `json:"sent-ns"`
}

// AppendReply answers an Append.
type AppendReply struct {
	// Accepted is false if the member's log does not hold the entry before the
	// first one sent.
	Accepted bool `json:"accepted"`
	// Match is the last entry known to be equal in both logs; if Accepted is
	// false, the last entry that may be.
	Match uint64 `json:"match"`
	// SentNS is copied from the request.
	SentNS int64 `json:"sent-ns"`
	// Held is the last entry that is equal in both logs if the member's disk is too far
	// behind to take further ones; 0 if it takes them.
	Held uint64 `json:"held,omitempty"`
}

// TimeoutNow asks a follower to start an election at once, to take over the
// leadership.
type TimeoutNow struct{}

// KeepAlive tells a member that its leader runs although it is late. It is not
// answered and renews no lease.
type KeepAlive struct{}

func (Vote) body()        {}
func (VoteReply) body()   {}
func (Append) body()      {}
func (AppendReply) body() {}
func (TimeoutNow) body()  {}
func (KeepAlive) body()   {}

// A Message is what one replica sends to another.
type Message struct {
	// From and To are the identities of the sender and the receiver.
	From, To string
	// Group is the sender's group.
	Group string
	// Term is the sender's term. In a Vote with PreVote set, and in a reply that
	// grants it, it is the term that the election would start.
	Term uint64
	// Body is the content.
	Body Body
}
