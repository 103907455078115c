package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/member"
)

var _ = Describe("The health of the group", func() {
	health := func(effects []control.Effect) (list []control.GroupHealth) {
		for _, f := range effects {
			if e, ok := f.(control.LogGroupHealth); ok {
				list = append(list, e.GroupHealth)
			}
		}
		return list
	}

	It("is logged when it changes, and names the voters that do not answer", func() {
		l := newLeader()
		Expect(health(l.step(control.Tick{}))).To(Equal([]control.GroupHealth{
			{},
		}))
		Expect(health(l.step(control.Tick{}))).To(BeEmpty())
		changes := l.step(control.ChangeMembers{
			Token: 1,
			Change: member.Add{
				Member: member.Member{
					ID:      "c2",
					Address: "address of c2",
				},
			},
		})
		Expect(changes).To(ContainElement(BeAssignableToTypeOf(control.LogMembers{})))
		l.step(control.ChangeMembers{
			Token: 2,
			Change: member.Promote{
				ID: "c2",
			},
		})
		l.now = l.now.Add(1500 * time.Millisecond)
		Expect(health(l.step(control.Tick{}))).To(Equal([]control.GroupHealth{
			{
				Silent: []string{
					"address of c2",
				},
			},
		}))
	})

	It("is not known to a controller that does not lead", func() {
		l := newLeader()
		_, isLeader := l.core.GroupHealth(l.now)
		Expect(isLeader).To(BeTrue())
		_, isLeader = control.Core{}.GroupHealth(l.now)
		Expect(isLeader).To(BeFalse())
	})
})
