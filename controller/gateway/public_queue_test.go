package gateway_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/workflow"
)

// Callers whose token had been withdrawn were told that a running workflow does not exist,
// although a public queue asks for no token.
var _ = Describe("A lookup of a workflow of a public queue", func() {
	// documentOf returns a configuration with the queues q and r, both public or not, and
	// a second organisation, which holds the token t9.
	documentOf := func(version uint64, isPublic bool, tokens ...string) plantainladder.PutConfiguration {
		d := document(version, tokens, "q", "r")
		for i := range d.Document.Queues {
			d.Document.Queues[i].Public = isPublic
		}
		d.Document.Organisations = append(d.Document.Organisations, configuration.Organisation{
			Name:   "p",
			Tokens: []string{"t9"},
		})
		return d
	}

	DescribeTable("is answered", func(isPublic bool, path, token string, want wire.Result) {
		g := newGroup()
		g.submit(documentOf(1, true, "t1", "t2"))
		g.submit(submission("j1"))
		g.submit(documentOf(2, isPublic, "t2"))
		r := call[wire.WorkflowRequest, wire.Result](g.serve(g.leader()), wire.MethodLookup, request(path, token))
		Expect(r.Body.Kind).To(Equal(want.Kind))
		Expect(r.Body.Status).To(Equal(want.Status))
	},
		Entry("with the withdrawn token", true, "/q/j1", "t1", found),
		Entry("without a token", true, "/q/j1", "", found),
		Entry("with the token that is left", true, "/q/j1", "t2", found),
		Entry("with the token that is left, after the queue stopped being public", false, "/q/j1", "t2", found),
		Entry("as unknown to another organisation", true, "/q/j1", "t9", unknown),
		Entry("as unknown to another organisation, after the queue stopped being public", false, "/q/j1", "t9", unknown),
		Entry("as unknown without a token through another queue", true, "/r/j1", "", unknown),
		Entry("with a refusal to the withdrawn token, after the queue stopped being public", false, "/q/j1", "t1", wire.Result{
			Kind: wire.ResultBadToken,
		}),
	)
})

var (
	found = wire.Result{
		Kind:   wire.ResultDone,
		Status: workflow.StatusPending,
	}
	unknown = wire.Result{
		Kind: wire.ResultNoWorkflow,
	}
)
