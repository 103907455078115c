package plantainladder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/workflow"
)

// A caller of a public queue whose token had been withdrawn was told that its running
// workflow does not exist, and could neither cancel it nor submit it again.
var _ = Describe("A workflow of a public queue", func() {
	var r *replica

	// configure sets whether the queue is public, and the tokens of two organisations.
	configure := func(isPublic bool, tokens, otherTokens []string) {
		c := newConfiguration()
		c.Document.Version = r.state.Configuration().Version + 1
		c.Document.Queues[0].Public = isPublic
		c.Document.Organisations[0].Tokens = tokens
		c.Document.Organisations = append(c.Document.Organisations, configuration.Organisation{
			Name:   "p",
			Tokens: otherTokens,
		})
		Expect(r.apply("", c).IsAccepted()).To(BeTrue())
	}

	submit := func(token string) plantainladder.Outcome {
		c := newSubmission()
		c.Token = token
		return r.apply("", c)
	}

	cancel := func(token string) plantainladder.Outcome {
		return r.apply("", plantainladder.CancelWorkflow{
			ID:    "f",
			Queue: "queue",
			Token: token,
		})
	}

	BeforeEach(func() {
		r = newReplica()
		configure(true, []string{"t1", "t2"}, []string{"t3"})
	})

	DescribeTable("is there for its caller", func(first, later string, isPublic bool, tokens ...string) {
		Expect(submit(first).IsAccepted()).To(BeTrue())
		configure(isPublic, tokens, []string{"t3"})
		Expect(submit(later).IsAccepted()).To(BeTrue())
		Expect(cancel(later).IsAccepted()).To(BeTrue())
		w, _ := r.state.Workflow("f")
		Expect(w.Status()).To(Equal(workflow.StatusCancelled))
	},
		Entry("with its token", "t1", "t1", true, "t1"),
		Entry("with its token, after the last one was withdrawn", "t1", "t1", true),
		Entry("without a token", "t1", "", true, "t1"),
		Entry("with a token that was added since", "t5", "t5", true, "t5"),
		Entry("with another token of its organisation", "t1", "t2", true, "t2"),
		Entry("with its token, after the queue stopped being public", "t1", "t1", false, "t1"),
		Entry("with a token that was not sent first, after the queue stopped being public", "", "t1", false, "t1"),
	)

	It("is there without a token after the queue became public", func() {
		configure(false, []string{"t1"}, []string{"t3"})
		Expect(submit("t1").IsAccepted()).To(BeTrue())
		Expect(cancel("").Reason).To(Equal(plantainladder.RefusedUnknownOrganisation))
		configure(true, []string{"t1"}, []string{"t3"})
		Expect(cancel("").IsAccepted()).To(BeTrue())
	})

	DescribeTable("is not there for another organisation", func(isPublic bool) {
		Expect(submit("t1").IsAccepted()).To(BeTrue())
		configure(isPublic, []string{"t1"}, []string{"t3"})
		Expect(submit("t3").Reason).To(Equal(plantainladder.RefusedNotOwner))
		Expect(cancel("t3").Reason).To(Equal(plantainladder.RefusedNotFound))
		w, _ := r.state.Workflow("f")
		Expect(w.IsOpen()).To(BeTrue())
	},
		Entry("while the queue is public", true),
		Entry("after it stopped being public", false),
	)
})
