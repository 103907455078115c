package control

import "github.com/plantainladder/plantainladder/consensus"

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
