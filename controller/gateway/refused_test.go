package gateway_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/wire"
)

// A refusal for good was taken for the answer of a controller that does not lead. The caller
// sent the command again until its deadline, and was told that its outcome is not known.
var _ = Describe("A command that can never be replicated", func() {
	It("is refused with the reason and without a retry", func() {
		g := newGroup()
		g.submit(document(1, []string{"t1"}, "q"))
		g.refusal = control.Refused{
			Reason: "too-large",
			Detail: "the limit is 1 byte",
		}
		c := g.serve(g.leader())
		submitted := call[wire.Submission, wire.Result](c, wire.MethodSubmit, wire.Submission{
			WorkflowRequest: request("/q/j1", "t1"),
			Spec:            spec(""),
		})
		Expect(submitted.Leader).To(BeTrue())
		Expect(submitted.Body.Kind).To(Equal(wire.ResultBadField))
		Expect(submitted.Body.Detail).To(Equal("the limit is 1 byte"))
		announced := call[wire.WorkerAnnouncement, wire.Result](c, wire.MethodAnnounceWorker, wire.WorkerAnnouncement{
			Worker: pool.Worker{
				ID:   "w",
				Pool: "p",
			},
		})
		Expect(announced.Leader).To(BeTrue())
		Expect(announced.Body.Kind).To(Equal(wire.ResultBadField), "not acknowledged")
	})
})
