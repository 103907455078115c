package wire

import (
	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
)

// entry is a log entry; exactly one of Data and Members is set, or none for a
// no-op.
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

// MarshalEntry returns a log entry as the disk holds it.
func MarshalEntry(e consensus.Entry) ([]byte, error) {
	return codec.Marshal(fromEntry(e))
}

// UnmarshalEntry returns the log entry that b encodes.
func UnmarshalEntry(b []byte) (consensus.Entry, error) {
	e, err := codec.Unmarshal[entry](b)
	return e.toEntry(), err
}

// appendMessage is consensus.Append with its entries encoded.
type appendMessage struct {
	PrevIndex uint64  `json:"prev-index"`
	PrevTerm  uint64  `json:"prev-term"`
	Entries   []entry `json:"entries,omitempty"`
	Commit    uint64  `json:"commit"`
	SentNS    int64   `json:"sent-ns"`
}

// Letter is a replica's letter; exactly one message is set.
type Letter struct {
	From        string                 `json:"from"`
	ReturnTo    string                 `json:"return-to,omitempty"`
	To          string                 `json:"to"`
	Group       string                 `json:"group"`
	Term        uint64                 `json:"term"`
	Vote        *consensus.Vote        `json:"vote,omitempty"`
	VoteReply   *consensus.VoteReply   `json:"vote-reply,omitempty"`
	Append      *appendMessage         `json:"append,omitempty"`
	AppendReply *consensus.AppendReply `json:"append-reply,omitempty"`
	TimeoutNow  bool                   `json:"timeout-now,omitempty"`
}

// FromLetter returns a letter ready for the codec, with the sender's address.
func FromLetter(l consensus.Message, returnTo string) Letter {
	out := Letter{
		From:     l.From,
		ReturnTo: returnTo,
		To:       l.To,
		Group:    l.Group,
		Term:     l.Term,
	}
	switch m := l.Body.(type) {
	case consensus.Vote:
		out.Vote = &m
	case consensus.VoteReply:
		out.VoteReply = &m
	case consensus.Append:
		out.Append = fromAppend(m)
	case consensus.AppendReply:
		out.AppendReply = &m
	case consensus.TimeoutNow:
		out.TimeoutNow = true
	}
	return out
}

func fromAppend(m consensus.Append) *appendMessage {
	out := &appendMessage{
		PrevIndex: m.PrevIndex,
		PrevTerm:  m.PrevTerm,
		Commit:    m.CommitIndex,
		SentNS:    m.SentNS,
		Entries:   make([]entry, len(m.Entries)),
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
		CommitIndex: m.Commit,
		SentNS:      m.SentNS,
		Entries:     make([]consensus.Entry, len(m.Entries)),
	}
	for i, e := range m.Entries {
		out.Entries[i] = e.toEntry()
	}
	return out
}

// ToLetter returns the replica's letter, or false if it holds no message.
func (l Letter) ToLetter() (consensus.Message, bool) {
	out := consensus.Message{
		From:  l.From,
		To:    l.To,
		Group: l.Group,
		Term:  l.Term,
	}
	switch {
	case l.Vote != nil:
		out.Body = *l.Vote
	case l.VoteReply != nil:
		out.Body = *l.VoteReply
	case l.Append != nil:
		out.Body = l.Append.toAppend()
	case l.AppendReply != nil:
		out.Body = *l.AppendReply
	case l.TimeoutNow:
		out.Body = consensus.TimeoutNow{}
	}
	return out, out.Body != nil
}
