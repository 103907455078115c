package workflow_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A workflow", func() {
	DescribeTable("is accessible", func(owner, queue, organisation string, want bool) {
		w := workflow.New(now, workflow.Spec{
			Queue:        "q",
			Organisation: owner,
		}, workflow.QueueSettings{})
		Expect(w.IsAccessible(queue, organisation)).To(Equal(want))
	},
		Entry("to its owner", "o", "q", "o", true),
		Entry("to its owner through another queue", "o", "r", "o", true),
		Entry("but not to another organisation", "o", "q", "p", false),
		Entry("without an organisation, which only a public queue admits", "o", "q", "", true),
		Entry("but not without one through another queue", "o", "r", "", false),
		Entry("to all if it has no owner", "", "q", "p", true),
		Entry("but not through another queue if it has no owner", "", "r", "p", false),
		Entry("without an organisation if it has no owner", "", "r", "", true),
	)
})
