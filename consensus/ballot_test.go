package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/wire"
)

// newStoredVoter returns the voter a of the group of a, b and c, which was started with a
// log that ends with term 4, in term 5, in which it has voted for b.
func newStoredVoter(now time.Time) consensus.Replica {
	set := member.Set{
		Group: "g",
	}
	for _, id := range []string{"a", "b", "c"} {
		set = set.WithMember(member.Member{
			ID:      id,
			Address: id,
			Voter:   true,
		})
	}
	return consensus.NewReplica(now, config("a"), consensus.StoredState{
		Hard: consensus.HardState{
			Term: 5,
			Vote: "b",
		},
		Snapshot: consensus.SnapshotMeta{
			Index:   7,
			Term:    4,
			Members: set,
		},
	})
}

// received returns the event that a got a message.
func received(from string, term uint64, body consensus.Body) consensus.Event {
	return consensus.MessageReceived{
		Message: consensus.Message{
			From:  from,
			To:    "a",
			Group: "g",
			Term:  term,
			Body:  body,
		},
	}
}

// failures returns the failed rounds of elections among effects.
func failures(effects []consensus.Effect) (out []consensus.ElectionFailed) {
	for _, f := range effects {
		if e, ok := f.(consensus.ElectionFailed); ok {
			out = append(out, e)
		}
	}
	return out
}

// A candidate that fails cannot tell otherwise which of its voters keep it from leading.
var _ = Describe("A refused vote", func() {
	upToDate := consensus.Vote{
		LastIndex: 7,
		LastTerm:  4,
	}
	behind := consensus.Vote{
		LastIndex: 6,
		LastTerm:  4,
	}
	preVote := func(v consensus.Vote) consensus.Vote {
		v.PreVote = true
		return v
	}
	const afterLease = electionTimeout + time.Second

	DescribeTable("has the reason", func(at time.Duration, term uint64, request consensus.Vote, reason consensus.VoteRefusal) {
		now := time.Unix(1_700_000_000, 0)
		_, effects := newStoredVoter(now).Step(now.Add(at), received("c", term, request))
		var replies []consensus.VoteReply
		for _, f := range effects {
			if s, ok := f.(consensus.Send); ok {
				replies = append(replies, s.Message.Body.(consensus.VoteReply))
			}
		}
		Expect(replies).To(HaveExactElements(consensus.VoteReply{
			PreVote:   request.PreVote,
			Granted:   reason == "",
			Refusal:   reason,
			LastIndex: request.LastIndex,
			LastTerm:  request.LastTerm,
		}))
	},
		Entry("that a lease may hold", time.Duration(0), uint64(6), upToDate, consensus.RefusedLease),
		Entry("that a lease may hold, for a pre-vote", time.Duration(0), uint64(6), preVote(upToDate), consensus.RefusedLease),
		Entry("that the term is past", afterLease, uint64(4), upToDate, consensus.RefusedLaterTerm),
		Entry("that the term is not a later one, for a pre-vote", afterLease, uint64(5), preVote(upToDate), consensus.RefusedLaterTerm),
		Entry("that the log is behind", afterLease, uint64(6), behind, consensus.RefusedLogBehind),
		Entry("that the log is behind, for a pre-vote", afterLease, uint64(6), preVote(behind), consensus.RefusedLogBehind),
		Entry("that another candidate has the vote", afterLease, uint64(5), upToDate, consensus.RefusedVoted),
		Entry("that is empty, if the vote is given", afterLease, uint64(6), upToDate, consensus.VoteRefusal("")),
		Entry("that is empty, if the pre-vote is given", afterLease, uint64(6), preVote(upToDate), consensus.VoteRefusal("")),
	)

	It("is understood by replicas that know no reasons, and theirs by this one", func() {
		type oldReply struct {
			PreVote bool `json:"pre"`
			Granted bool `json:"granted"`
		}
		send := func(r consensus.VoteReply) wire.Message {
			return wire.FromMessage(consensus.Message{
				Body: r,
			}, "")
		}
		granted := consensus.VoteReply{
			Granted: true,
		}
		old, err := codec.Marshal(oldReply{
			Granted: true,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(codec.Marshal(send(granted).VoteReply)).To(Equal(old))
		Expect(codec.Unmarshal[consensus.VoteReply](old)).To(Equal(granted))
		refused := consensus.VoteReply{
			Refusal: consensus.RefusedVoted,
		}
		sent, err := codec.Marshal(send(refused).VoteReply)
		Expect(err).NotTo(HaveOccurred())
		Expect(codec.Unmarshal[oldReply](sent)).To(Equal(oldReply{}))
		Expect(codec.Unmarshal[consensus.VoteReply](sent)).To(Equal(refused))
	})
})

var _ = Describe("A failed election", func() {
	var (
		now     time.Time
		replica consensus.Replica
	)

	step := func(e consensus.Event) []consensus.ElectionFailed {
		next, effects := replica.Step(now, e)
		replica = next
		return failures(effects)
	}
	// timeOut lets the election timer expire, with ticks that come in time.
	timeOut := func() (failed []consensus.ElectionFailed) {
		for end := now.Add(electionTimeout); now.Before(end); {
			now = now.Add(tickInterval)
			failed = append(failed, step(consensus.Tick{})...)
		}
		return failed
	}
	startVote := func() {
		Expect(timeOut()).To(BeEmpty())
		Expect(step(received("b", 6, consensus.VoteReply{
			PreVote: true,
			Granted: true,
		}))).To(BeEmpty())
		Expect(consensus.RoleName(replica.Role())).To(Equal("candidate"))
		Expect(step(consensus.HardStateSynced{
			Hard: replica.Hard(),
		})).To(BeEmpty())
	}

	BeforeEach(func() {
		now = time.Unix(1_700_000_000, 0)
		replica = newStoredVoter(now)
	})

	It("tells who refused its pre-vote, why, and who did not answer", func() {
		Expect(timeOut()).To(BeEmpty())
		Expect(step(received("b", 5, consensus.VoteReply{
			PreVote: true,
			Refusal: consensus.RefusedLease,
		}))).To(BeEmpty())
		Expect(timeOut()).To(HaveExactElements(consensus.ElectionFailed{
			Kind:     consensus.ElectionPreVote,
			End:      consensus.EndedTimeout,
			Term:     6,
			Duration: electionTimeout,
			Granted:  []string{"a"},
			Refused: []consensus.RefusedVote{
				{
					Voter:  "b",
					Reason: consensus.RefusedLease,
				},
			},
			Silent: []string{"c"},
		}))
	})

	It("tells that a refusal came with a later term", func() {
		startVote()
		failed := step(received("c", 9, consensus.VoteReply{
			Refusal: consensus.RefusedLaterTerm,
		}))
		Expect(failed).To(HaveLen(1))
		Expect(failed[0].Kind).To(Equal(consensus.ElectionVote))
		Expect(failed[0].End).To(Equal(consensus.EndedLaterTerm))
		Expect(failed[0].Term).To(BeEquivalentTo(6))
		Expect(failed[0].Refused).To(HaveLen(1))
		Expect(failed[0].Silent).To(HaveExactElements("b"))
	})

	It("tells that another replica has become the leader", func() {
		startVote()
		failed := step(received("c", 6, consensus.Append{
			PrevIndex: 7,
			PrevTerm:  4,
		}))
		Expect(failed).To(HaveLen(1))
		Expect(failed[0].End).To(Equal(consensus.EndedOtherLeader))
	})

	It("tells that a vote got no majority in time", func() {
		startVote()
		failed := timeOut()
		Expect(failed).To(HaveLen(1))
		Expect(failed[0].Kind).To(Equal(consensus.ElectionVote))
		Expect(failed[0].End).To(Equal(consensus.EndedTimeout))
		Expect(failed[0].Silent).To(HaveExactElements("b", "c"))
	})

	It("is not reported for one that was won", func() {
		startVote()
		Expect(step(received("b", 6, consensus.VoteReply{
			Granted: true,
		}))).To(BeEmpty())
		Expect(replica.IsLeader()).To(BeTrue())
	})

	It("names the voters that a replica cut off from its leader asks in vain", func() {
		c := newFormedCluster(3)
		leader := c.leader().id
		other := "c1"
		for _, id := range c.ids() {
			if id != leader {
				other = id
			}
		}
		c.blockedLinks[linkBetween(leader, other)] = true
		c.runWithoutFaults(3 * time.Second)
		Expect(c.leader().id).To(Equal(leader))
		failed := c.hosts[other].failedElections
		Expect(failed).NotTo(BeEmpty())
		Expect(failed[0].Silent).To(HaveExactElements(leader))
		Expect(failed[0].Refused).To(HaveLen(1))
		Expect(failed[0].Refused[0].Reason).To(Equal(consensus.RefusedLease))
	})
})
