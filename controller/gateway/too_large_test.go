package gateway_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/wire"
)

// The reply that a command must be sent again would make the gateway repeat it until its
// time is over, and its caller as well.
var _ = Describe("A submission that no message between controllers can hold", func() {
	It("is refused for good", func() {
		g := newGroup()
		g.submit(document(1, []string{"t1"}, "q"))
		s := wire.Submission{
			WorkflowRequest: request("/q/j1", "t1"),
			Spec:            spec(""),
		}
		s.Spec.Call = strings.Repeat("a", maxCommandBytes)
		r := call[wire.Submission, wire.Result](g.serve(g.leader()), wire.MethodSubmit, s)
		Expect(r.Leader).To(BeTrue())
		Expect(r.Body.Kind).To(Equal(wire.ResultBadField))
	})
})
