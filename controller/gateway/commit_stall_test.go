package gateway_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

// Callers of a leader that committed nothing waited until their deadlines and did not learn
// whether their requests were accepted.
var _ = Describe("A leader that commits nothing", func() {
	var g *group
	var l *host
	var c *rpc.Client
	var lastIndex uint64

	BeforeEach(func() {
		g = newGroup()
		g.submit(document(1, []string{"t1"}, "q"))
		l = g.leader()
		g.isDiskFull = true
		g.step(l, control.Submit{
			Command: document(2, []string{"t1"}, "q"),
		})
		g.run(2 * time.Second)
		Expect(g.leader()).To(Equal(l), "a full disk costs no office")
		lastIndex = l.core.Replica().Log().LastIndex()
		c = g.serve(l)
	})

	It("refuses what needs a commit at once, with the reason", func() {
		body, err := wire.MarshalCommand(document(3, []string{"t1"}, "q"))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r, err := rpc.Call[wire.Command, wire.CommandReply](ctx, c, wire.MethodCommand, wire.Command{
			Body: body,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(wire.CommandReply{
			Leader:     true,
			Busy:       true,
			BusyReason: wire.BusyCommitStalled,
		}))
		for method, reply := range map[string]wire.LeaderReply[wire.Result]{
			wire.MethodSubmit: call[wire.Submission, wire.Result](c, wire.MethodSubmit, wire.Submission{
				WorkflowRequest: request("/q/j1", "t1"),
				Spec:            spec(""),
			}),
			wire.MethodCancel: call[wire.WorkflowRequest, wire.Result](c, wire.MethodCancel, request("/q/j1", "t1")),
		} {
			Expect(reply).To(Equal(wire.LeaderReply[wire.Result]{
				BusyReason: wire.BusyCommitStalled,
			}), method)
		}
		Expect(l.core.Replica().Log().LastIndex()).To(Equal(lastIndex), "nothing was proposed")
	})

	It("goes on answering reads", func() {
		looked := call[wire.WorkflowRequest, wire.Result](c, wire.MethodLookup, request("/q/j1", "t1"))
		Expect(looked.Leader).To(BeTrue())
		Expect(looked.Body.Kind).To(Equal(wire.ResultNoWorkflow))
		read := call[wire.Empty, wire.Document](c, wire.MethodConfiguration, wire.Empty{})
		Expect(read.Leader).To(BeTrue())
		Expect(read.Body.Version).To(BeEquivalentTo(1))
	})
})
