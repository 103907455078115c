package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/member"
)

var _ = Describe("A group with fewer voters than configured", func() {
	// answers returns the answers to a command.
	answers := func(l *leader) (list []control.Answer) {
		for _, f := range l.step(control.Submit{
			Token: 1,
			Command: plantainladder.SetDataCentre{
				Name:  "a",
				Force: true,
			},
		}) {
			if r, ok := f.(control.Reply); ok {
				list = append(list, r.Answer)
			}
		}
		return list
	}

	It("accepts no command while as many losses as are tolerated could take away all of its voters", func() {
		l := newLeaderOf(3)
		l.advance(time.Minute)
		Expect(answers(l)).To(Equal([]control.Answer{
			control.Busy{
				Reason: control.BusyGroupIncomplete,
			},
		}))
	})

	It("accepts commands after a while if one of its voters is left after the tolerated losses", func() {
		l := newLeaderOf(3)
		l.step(control.ChangeMembers{
			Change: member.Add{
				Member: member.Member{
					ID:      "c2",
					Address: "c2",
				},
			},
		})
		l.step(control.ChangeMembers{
			Change: member.Promote{
				ID: "c2",
			},
		})
		Expect(l.core.Replica().Members().Voters()).To(Equal(2))
		Expect(answers(l)).To(HaveExactElements(BeAssignableToTypeOf(control.Busy{})))
		l.now = l.now.Add(7 * time.Second)
		Expect(answers(l)).To(BeEmpty(), "waits for the second voter")
	})
})
