package control_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
)

var _ = Describe("A received snapshot", func() {
	It("is acknowledged without being installed if the state covers it", func() {
		l := newLeader()
		l.submit(plantainladder.SetDataCentre{
			Name:         "a",
			OutOfService: true,
		})
		state := l.core.State()
		effects := l.step(control.SnapshotReceived{
			Message: consensus.Message{
				From:  "c2",
				Group: "g",
				Term:  l.core.Replica().Hard().Term + 1,
			},
			Meta: consensus.SnapshotMeta{
				Index:   state.Index(),
				Term:    l.core.Replica().Log().LastTerm(),
				Members: l.core.Replica().Members(),
			},
			State: plantainladder.NewState(),
		})
		Expect(l.core.State().Index()).To(Equal(state.Index()))
		var replies []consensus.Body
		for _, f := range effects {
			if m, ok := f.(control.SendMessage); ok {
				replies = append(replies, m.Message.Body)
			}
			Expect(f).NotTo(BeAssignableToTypeOf(control.InstallSnapshot{}))
		}
		Expect(replies).To(ConsistOf(consensus.AppendReply{
			Accepted: true,
			Match:    state.Index(),
		}))
	})
})
