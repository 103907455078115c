package gateway_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

// A leader is lost after it has committed a job, and before it has answered. The gateway
// sends the job again to the next leader, which has a newer configuration. The caller
// takes a refusal for the answer to its only call, though the job runs.
var _ = Describe("A submission that is sent again", func() {
	var g *group
	var c *rpc.Client

	BeforeEach(func() {
		g = newGroup()
		g.submit(document(1, []string{"t1", "t2"}, "q", "r"))
		first := submission("j1")
		first.Spec.Call = "call 1"
		g.submit(first)
		c = g.serve(g.leader())
	})

	submit := func(s wire.Submission) wire.ResultKind {
		r := call[wire.Submission, wire.Result](c, wire.MethodSubmit, s)
		Expect(r.Leader).To(BeTrue())
		return r.Body.Kind
	}

	resent := func(path string) wire.Submission {
		s := wire.Submission{
			WorkflowRequest: request(path, "t1"),
			Spec:            spec(""),
		}
		s.Spec.Call = "call 1"
		return s
	}

	DescribeTable("is accepted if it was accepted before", func(now plantainladder.PutConfiguration) {
		g.submit(now)
		Expect(submit(resent("/q/j1"))).To(Equal(wire.ResultDone))
		Expect(g.leader().core.State().ActiveWorkflows()).To(HaveLen(1))
	},
		Entry("though its key was withdrawn", document(2, []string{"t2"}, "q", "r")),
		Entry("though its route was dropped", document(2, []string{"t1"}, "r")),
		Entry("though its key and its route are gone", document(2, []string{"t2"}, "r")),
		Entry("and nothing has changed", document(2, []string{"t1"}, "q")),
	)

	It("is refused if it was not accepted before", func() {
		g.submit(document(2, []string{"t2"}, "r"))
		Expect(submit(resent("/q/j2"))).To(Equal(wire.ResultNoQueue))
		Expect(submit(resent("/r/j2"))).To(Equal(wire.ResultBadToken))
	})

	DescribeTable("is refused if another call submitted the workflow", func(call, token string) {
		g.submit(document(2, []string{"t2"}, "q", "r"))
		other := resent("/q/j1")
		other.Spec.Call, other.Token = call, token
		Expect(submit(other)).To(Equal(wire.ResultBadToken))
	},
		Entry("with a withdrawn key", "call 2", "t1"),
		Entry("with a key that there never was", "call 2", "never"),
		Entry("without an identifier", "", "t1"),
	)

	It("is refused if neither call has an identifier", func() {
		g.submit(submission("j2"))
		g.submit(document(2, []string{"t2"}, "q", "r"))
		again := resent("/q/j2")
		again.Spec.Call = ""
		Expect(submit(again)).To(Equal(wire.ResultBadToken))
	})
})
