package gateway_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

// Each large configuration that was sent again filled the disks of all controllers once more.
var _ = Describe("A change of the configuration that changes nothing", func() {
	invalid := document(9, []string{"t1"}, "q")
	invalid.Document.Queues[0].Timeout = 0

	DescribeTable("is answered without an entry", func(change plantainladder.PutConfiguration, reason plantainladder.Reason) {
		g := newGroup()
		g.submit(document(3, []string{"t1"}, "q"))
		c, syncs, confirmations := g.serve(g.leader()), g.syncs, g.confirmations
		body, err := wire.MarshalCommand(change)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		r, err := rpc.Call[wire.Command, wire.CommandReply](ctx, c, wire.MethodCommand, wire.Command{
			Body: body,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Leader).To(BeTrue())
		Expect(r.Outcome.Reason).To(Equal(reason))
		Expect(g.syncs).To(Equal(syncs))
		Expect(g.confirmations).To(Equal(confirmations + 1))
		Expect(g.leader().core.State().Configuration().Version).To(Equal(uint64(3)))
	},
		Entry("since it is in force", document(3, []string{"t1"}, "q"), plantainladder.Reason("")),
		Entry("since a later one is in force", document(2, []string{"t1"}, "q"), plantainladder.Reason("")),
		Entry("since it is invalid", invalid, plantainladder.RefusedBadField),
	)
})
