package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/wire"
)

// newLeadingCore returns the core of the leader of a group with another member.
func newLeadingCore(now time.Time) control.Core {
	set := member.Set{
		Group: "g",
	}
	for _, id := range []string{"a", "b"} {
		set = set.WithMember(member.Member{
			ID:      id,
			Address: "address-" + id,
			Voter:   id == "a",
		})
	}
	replica := consensus.NewReplica(now, consensus.Config{
		ID: "a",
	}, consensus.StoredState{
		Snapshot: consensus.SnapshotMeta{
			Index:   7,
			Term:    4,
			Members: set,
		},
	})
	core := control.NewCore(control.Config{}, replica, plantainladder.NewState())
	core, _ = core.Step(now, control.Tick{})
	core, _ = core.Step(now, control.HardStateSynced{
		Hard: core.Replica().Hard(),
	})
	return core
}

// Without a message in time, the others elect a leader whose event loop may become late too.
var _ = Describe("A leader whose event loop is late", func() {
	now := time.Unix(1_700_000_000, 0)

	sentAfter := func(core control.Core, late time.Duration) (sent []control.SendMessage) {
		k := newKeeper(now, func() control.Core { return core }, func(m control.SendMessage) { sent = append(sent, m) })
		k.sendDue(now.Add(late))
		return sent
	}

	It("sends its members a message, but not for too long", func() {
		core := newLeadingCore(now)
		Expect(core.Replica().IsLeader()).To(BeTrue())
		Expect(sentAfter(core, maxTickAge)).To(BeEmpty())
		Expect(sentAfter(core, maxLateness+1)).To(BeEmpty())
		sent := sentAfter(core, maxLateness)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Address).To(Equal("address-b"))
		received, ok := wire.FromMessage(sent[0].Message, sent[0].SenderAddress).ToMessage()
		Expect(ok).To(BeTrue())
		Expect(received).To(Equal(consensus.Message{
			From:  "a",
			To:    "b",
			Group: "g",
			Term:  core.Replica().Hard().Term,
			Body:  consensus.KeepAlive{},
		}))
	})

	// The members would keep a leader for good that is too slow to hold a lease.
	It("sends nothing any more if each tick comes late for too long", func() {
		core := newLeadingCore(now)
		sent := 0
		k := newKeeper(now, func() control.Core { return core }, func(control.SendMessage) { sent++ })
		at := now
		for at.Sub(now) < maxLateness {
			at = at.Add(electionTimeout)
			k.sendDue(at)
			k.recordTick(at)
		}
		Expect(sent).To(BeNumerically(">", 0))
		sent = 0
		k.sendDue(at.Add(electionTimeout))
		Expect(sent).To(BeZero())
		k.recordTick(at.Add(electionTimeout))
		k.recordTick(at.Add(electionTimeout + tickInterval))
		k.sendDue(at.Add(2*electionTimeout + tickInterval))
		Expect(sent).To(Equal(1), "once ticks came in time again")
	})

	It("sends nothing once it does not lead", func() {
		core, _ := newLeadingCore(now).Step(now, control.PeerMessageReceived{
			Message: consensus.Message{
				From:  "b",
				To:    "a",
				Group: "g",
				Term:  99,
				Body:  consensus.KeepAlive{},
			},
		})
		Expect(sentAfter(core, maxLateness)).To(BeEmpty())
	})
})
