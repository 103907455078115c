package gateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/wire"
)

var _ = Describe("A new leader whose group lacks a voter", func() {
	It("answers reads of the configuration although it accepts no commands yet", func() {
		g := newGroup()
		g.submit(document(1, []string{"t1"}, "q"))
		old := g.leader()
		for _, h := range g.hosts {
			if h != old {
				g.step(old, control.ChangeMembers{
					Change: member.Remove{
						ID: h.id,
					},
				})
				break
			}
		}
		g.run(time.Second)
		g.step(old, control.StepDown{})
		g.run(time.Second)
		l := g.leader()
		Expect(l).NotTo(Equal(old))
		Expect(l.core.Replica().Members().Voters()).To(Equal(2))
		c, syncs := g.serve(l), g.syncs
		r := call[wire.Empty, wire.Document](c, wire.MethodConfiguration, wire.Empty{})
		Expect(r.Leader).To(BeTrue())
		Expect(r.Body.Version).To(BeEquivalentTo(1))
		Expect(g.syncs).To(Equal(syncs), "a read needs no disk")
	})
})
