package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/member"
)

// The log tells which members keep a group from electing a leader only if it names them in
// the way in which operators know them.
var _ = Describe("The log of elections", func() {
	It("has the role with the term, the leader, the end of the log and the voters", func() {
		Expect(newLeader().effects).To(ContainElement(control.LogRole{
			Role:      "leader",
			Term:      1,
			Leader:    "c1",
			LastIndex: 2,
			LastTerm:  1,
			Voters:    []string{"c1"},
		}))
	})

	It("has the addresses of the voters of a failed one", func() {
		now := time.Unix(1_700_000_000, 0)
		set := member.Set{
			Group: "g",
		}
		for _, id := range []string{"a", "b", "c"} {
			set = set.WithMember(member.Member{
				ID:      id,
				Address: "address-" + id,
				Voter:   true,
			})
		}
		const electionTimeout = time.Second
		core := control.NewCore(control.Config{}, consensus.NewReplica(now, consensus.Config{
			ID:              "a",
			ElectionTimeout: electionTimeout,
			Heartbeat:       100 * time.Millisecond,
		}, consensus.StoredState{
			Snapshot: consensus.SnapshotMeta{
				Index:   7,
				Term:    4,
				Members: set,
			},
		}), plantainladder.NewState())
		core, _ = core.Step(now.Add(electionTimeout), control.Tick{})
		core, _ = core.Step(now.Add(electionTimeout), control.PeerMessageReceived{
			Message: consensus.Message{
				From:  "b",
				To:    "a",
				Group: "g",
				Body: consensus.VoteReply{
					PreVote: true,
					Refusal: consensus.RefusedLogBehind,
				},
			},
		})
		var effects []control.Effect
		for waited := time.Duration(0); waited < electionTimeout; {
			waited += electionTimeout / 10
			var out []control.Effect
			core, out = core.Step(now.Add(electionTimeout+waited), control.Tick{})
			effects = append(effects, out...)
		}
		Expect(effects).To(ContainElement(control.LogElection{
			Election: consensus.ElectionFailed{
				Kind:     consensus.ElectionPreVote,
				End:      consensus.EndedTimeout,
				Term:     1,
				Duration: electionTimeout,
				Granted:  []string{"address-a"},
				Refused: []consensus.RefusedVote{
					{
						Voter:  "address-b",
						Reason: consensus.RefusedLogBehind,
					},
				},
				Silent: []string{"address-c"},
			},
		}))
	})
})
