package consensus

import "github.com/plantainladder/plantainladder/member"

// A Payload is what an entry of the log carries: Noop, Data or Members.
type Payload interface {
	payload()
}

// Noop opens the term of a new leader.
type Noop struct{}

// Data is a command, encoded by whoever proposed it.
type Data struct {
	// Bytes is the encoded command.
	Bytes []byte
}

// Members is the set of members from this entry on.
type Members struct {
	// Set is the new set.
	Set member.Set
}

func (Noop) payload()    {}
func (Data) payload()    {}
func (Members) payload() {}

// An Entry is one position of the replicated log.
type Entry struct {
	// Index is the position, starting at 1.
	Index uint64
	// Term is the leader's term when it appended the entry.
	Term uint64
	// Payload is the content.
	Payload Payload
}

// A Body is what replicas send to each other: Vote, VoteReply, Append,
// AppendReply or TimeoutNow.
type Body interface {
	body()
}

// Vote asks for a vote.
type Vote struct {
	// PreVote is true for a trial that changes no term.
	PreVote bool `json:"pre"`
	// LastIndex and LastTerm name the candidate's last entry.
	LastIndex uint64 `json:"last-index"`
	LastTerm  uint64 `json:"last-term"`
	// LeadershipTransfer is true if the leader asked for the election.
	LeadershipTransfer bool `json:"transfer"`
}

// VoteReply answers a Vote.
type VoteReply struct {
	// PreVote repeats the question.
	PreVote bool `json:"pre"`
	// Granted is true for a vote.
	Granted bool `json:"granted"`
}

// Append brings entries, or none as a heartbeat.
type Append struct {
	// PrevIndex and PrevTerm name the entry before the first.
	PrevIndex uint64 `json:"prev-index"`
	PrevTerm  uint64 `json:"prev-term"`
	// Entries holds the entries in order.
	Entries []Entry `json:"entries"`
	// CommitIndex is the leader's commit index.
	CommitIndex uint64 `json:"commit"`
	// SentNS is the leader's time of sending, in nanoseconds since it began
	// to lead. The reply repeats it.
	SentNS int64 `json:"sent-ns"`
}

// AppendReply answers an Append.
type AppendReply struct {
	// Accepted is false if the entry before the first is missing.
	Accepted bool `json:"accepted"`
	// Match is the last entry known to be the same, or if not Accepted the
	// last that may be.
	Match uint64 `json:"match"`
	// SentNS repeats the Append.
	SentNS int64 `json:"sent-ns"`
}

// TimeoutNow asks a follower to start an election at once.
type TimeoutNow struct{}

func (Vote) body()        {}
func (VoteReply) body()   {}
func (Append) body()      {}
func (AppendReply) body() {}
func (TimeoutNow) body()  {}

// A Message is a message with its sender, receiver, group and term.
type Message struct {
	// From and To are the identities of sender and receiver.
	From, To string
	// Group is the sender's group.
	Group string
	// Term is the sender's term; for a Vote with Pre set, the term to come.
	Term uint64
	// Body is the content.
	Body Body
}
