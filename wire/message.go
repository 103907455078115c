package wire

import (
	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// entry is the encoded form of a log entry. Data is set for a command and
// Members for a membership; neither is set for a no-op.
type entry struct {
	Index   uint64      `json:"index"`
	Term    uint64      `json:"term"`
	Data    []byte      `json:"data,omitempty"`
	Members *member.Set `json:"members,omitempty"`
}

func fromEntry(e consensus.Entry) entry {
	out := entry{
		Index: e.Index,
		Term:  e.Term,
	}
	switch p := e.Payload.(type) {
	case consensus.Data:
		out.Data = p.Bytes
	case consensus.Members:
		out.Members = &p.Set
	case consensus.Noop:
	}
	return out
}

func (e entry) toEntry() consensus.Entry {
	out := consensus.Entry{
		Index:   e.Index,
		Term:    e.Term,
		Payload: consensus.Noop{},
	}
	switch {
	case e.Members != nil:
		out.Payload = consensus.Members{
			Set: *e.Members,
		}
	case e.Data != nil:
		out.Payload = consensus.Data{
			Bytes: e.Data,
		}
	}
	return out
}

// MarshalEntry returns a log entry in the format stored on disk.
func MarshalEntry(e consensus.Entry) ([]byte, error) {
	return codec.Marshal(fromEntry(e))
}

// UnmarshalEntry returns the log entry that b encodes.
func UnmarshalEntry(b []byte) (consensus.Entry, error) {
	e, err := codec.Unmarshal[entry](b)
	return e.toEntry(), err
}

// appendMessage is the encoded form of consensus.Append.
type appendMessage struct {
	PrevIndex   uint64  `json:"prev-index"`
	PrevTerm    uint64  `json:"prev-term"`
	Entries     []entry `json:"entries,omitempty"`
	CommitIndex uint64  `json:"commit"`
	SentNS      int64   `json:"sent-ns"`
}

// Message is a message of one replica to another; exactly one body is set.
type Message struct {
	From string `json:"from"`
	// SenderAddress is the address to send replies to.
	SenderAddress string                 `json:"return-to,omitempty"`
	To            string                 `json:"to"`
	Group         string                 `json:"group"`
	Term          uint64                 `json:"term"`
	Vote          *consensus.Vote        `json:"vote,omitempty"`
	VoteReply     *consensus.VoteReply   `json:"vote-reply,omitempty"`
	Append        *appendMessage         `json:"append,omitempty"`
	AppendReply   *consensus.AppendReply `json:"append-reply,omitempty"`
	TimeoutNow    bool                   `json:"timeout-now,omitempty"`
	KeepAlive     bool                   `json:"keep-alive,omitempty"`
}

// FromMessage returns the form of a message that is encoded, with the sender's
// address added.
func FromMessage(m consensus.Message, senderAddress string) Message {
	out := Message{
		From:          m.From,
		SenderAddress: senderAddress,
		To:            m.To,
		Group:         m.Group,
		Term:          m.Term,
	}
	switch body := m.Body.(type) {
	case consensus.Vote:
		out.Vote = &body
	case consensus.VoteReply:
		out.VoteReply = &body
	case consensus.Append:
		out.Append = fromAppend(body)
	case consensus.AppendReply:
		out.AppendReply = &body
	case consensus.TimeoutNow:
		out.TimeoutNow = true
	case consensus.KeepAlive:
		out.KeepAlive = true
	}
	return out
}

func fromAppend(m consensus.Append) *appendMessage {
	out := &appendMessage{
		PrevIndex:   m.PrevIndex,
		PrevTerm:    m.PrevTerm,
		CommitIndex: m.CommitIndex,
		SentNS:      m.SentNS,
		Entries:     make([]entry, len(m.Entries)),
	}
	for i, e := range m.Entries {
		out.Entries[i] = fromEntry(e)
	}
	return out
}

func (m *appendMessage) toAppend() consensus.Append {
	out := consensus.Append{
		PrevIndex:   m.PrevIndex,
		PrevTerm:    m.PrevTerm,
		CommitIndex: m.CommitIndex,
		SentNS:      m.SentNS,
		Entries:     make([]consensus.Entry, len(m.Entries)),
	}
	for i, e := range m.Entries {
		out.Entries[i] = e.toEntry()
	}
	return out
}

// ToMessage returns the decoded message. It returns false if the message has no
// body.
func (m Message) ToMessage() (consensus.Message, bool) {
	out := consensus.Message{
		From:  m.From,
		To:    m.To,
		Group: m.Group,
		Term:  m.Term,
	}
	switch {
	case m.Vote != nil:
		out.Body = *m.Vote
	case m.VoteReply != nil:
		out.Body = *m.VoteReply
	case m.Append != nil:
		out.Body = m.Append.toAppend()
	case m.AppendReply != nil:
		out.Body = *m.AppendReply
	case m.TimeoutNow:
		out.Body = consensus.TimeoutNow{}
	case m.KeepAlive:
		out.Body = consensus.KeepAlive{}
	}
	return out, out.Body != nil
}
