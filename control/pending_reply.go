package control

import (
	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
)

// pendingReply is the requests whose log entry, of the given term, is uncommitted:
// one, or several if a request was sent again.
type pendingReply struct {
	tokens []uint64
	term   uint64
}

// withRequest returns p with a further request for the same entry. Those for an
// entry of an earlier term at its index were answered when that term ended.
func (p pendingReply) withRequest(f consensus.Appended) pendingReply {
	if p.term != f.Term {
		p.tokens = nil
	}
	p.term = f.Term
	p.tokens = append(p.tokens[:len(p.tokens):len(p.tokens)], f.Token)
	return p
}

// replies returns the same answer to each request.
func (p pendingReply) replies(a Answer) (out []Effect) {
	for _, token := range p.tokens {
		out = append(out, Reply{
			Token:  token,
			Answer: a,
		})
	}
	return out
}

// replyOnceCommitted replies to a request whose entry is committed, and otherwise
// makes the reply wait for that.
func (c Core) replyOnceCommitted(f consensus.Appended) (Core, []Effect) {
	if f.Token == 0 {
		return c, nil
	}
	if f.Index <= c.replica.CommitIndex() {
		return c, []Effect{
			Reply{
				Token: f.Token,
				Answer: Committed{
					Outcome: plantainladder.Outcome{
						Index: f.Index,
					},
				},
			},
		}
	}
	pending, _ := c.pendingReplies.Get(f.Index)
	c.pendingReplies = c.pendingReplies.Set(f.Index, pending.withRequest(f))
	return c, nil
}

func (c Core) replyRefused(f consensus.Refused) (Core, []Effect) {
	if f.Token == 0 {
		return c, nil
	}
	var a Answer = Refused{
		Reason: string(f.Reason),
		Detail: f.Detail,
	}
	switch f.Reason {
	case consensus.RefusedNotLeader:
		a = NotLeader{
			Redirect: c.LeaderAddress(),
		}
	case consensus.RefusedLogFull:
		a = Busy{}
	case consensus.RefusedTooLarge:
		a = Refused{
			Reason: string(plantainladder.RefusedTooLarge),
			Detail: "no message can hold the command",
		}
	case consensus.RefusedInvalidChange, consensus.RefusedChangePending, consensus.RefusedAlreadyFormed:
	}
	return c, []Effect{
		Reply{
			Token:  f.Token,
			Answer: a,
		},
	}
}
