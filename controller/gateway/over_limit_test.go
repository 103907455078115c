package gateway_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/workflow"
)

// A caller that is told to try later would send a gang that can never run again and again.
var _ = Describe("A submission beyond the limit of its organisation", func() {
	It("is refused with a result of its own, and has left no workflow", func() {
		g := newGroup()
		d := document(1, []string{"t1"}, "q")
		d.Document.Organisations[0].Limit = pool.ResourceVector{
			MilliCores: 4000,
		}
		g.submit(d)
		c := g.serve(g.leader())
		s := wire.Submission{
			WorkflowRequest: request("/q/j1", "t1"),
			Spec:            spec(""),
		}
		s.Spec.Steps = []workflow.Step{
			{
				Tasks: 5,
				PerTask: pool.ResourceVector{
					MilliCores: 1000,
				},
				IsGang: true,
			},
		}
		submitted := call[wire.Submission, wire.Result](c, wire.MethodSubmit, s)
		Expect(submitted.Body.Kind).To(Equal(wire.ResultOverLimit))
		Expect(submitted.Body.Field).To(Equal("steps[0]"))
		found := call[wire.WorkflowRequest, wire.Result](c, wire.MethodLookup, s.WorkflowRequest)
		Expect(found.Body.Kind).To(Equal(wire.ResultNoWorkflow))
	})
})
