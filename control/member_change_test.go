package control_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/member"
)

var _ = Describe("An addition of a member that is sent again", func() {
	var token uint64
	add := func(address string) control.ChangeMembers {
		token++
		return control.ChangeMembers{
			Token: token,
			Change: member.Add{
				Member: member.Member{
					ID:      "c2",
					Address: address,
				},
			},
		}
	}

	answers := func(effects []control.Effect) (list []control.Answer) {
		for _, f := range effects {
			if r, ok := f.(control.Reply); ok {
				list = append(list, r.Answer)
			}
		}
		return list
	}

	It("is confirmed if the first one was committed", func() {
		l := newLeader()
		Expect(answers(l.step(add("c2")))).To(ConsistOf(BeAssignableToTypeOf(control.Committed{})))
		Expect(answers(l.step(add("c2")))).To(ConsistOf(BeAssignableToTypeOf(control.Committed{})))
		Expect(l.core.Replica().Members().Members).To(HaveLen(2))
	})

	It("is confirmed together with the first one", func() {
		l := newLeader()
		var written []control.Effect
		l.core, written = l.core.Step(l.now, add("c2"))
		Expect(answers(written)).To(BeEmpty())
		Expect(answers(l.step(add("c2")))).To(BeEmpty())
		last := l.core.Replica().Log().LastIndex()
		term, _ := l.core.Replica().Log().Term(last)
		effects := l.step(control.EntriesSynced{
			Index: last,
			Term:  term,
		})
		Expect(answers(effects)).To(HaveEach(BeAssignableToTypeOf(control.Committed{})))
		Expect(effects).To(ContainElements(HaveField("Token", token-1), HaveField("Token", token)))
	})

	It("is refused if its address differs", func() {
		l := newLeader()
		l.step(add("c2"))
		Expect(answers(l.step(add("elsewhere")))).To(ConsistOf(BeAssignableToTypeOf(control.Refused{})))
	})
})
