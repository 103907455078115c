package plantainladder_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
)

// The retention of a workflow is measured by the clocks of leaders. If one jumps ahead, or
// the next leader's is ahead, the workflow is dropped early, and its caller is told that
// there is none.
var _ = Describe("A workflow that was cancelled", func() {
	const (
		readable = 120 * time.Second
		maxJump  = plantainladder.WorkflowRetention - readable
	)

	DescribeTable("can be read for 120 s though a leader's clock jumps", func(jump time.Duration, isKept bool) {
		r := newReplica()
		r.putContract(newContract())
		r.apply("", newConfiguration())
		r.apply("", newSubmission())
		Expect(r.apply("", plantainladder.CancelWorkflow{
			ID:    "f",
			Queue: "queue",
			Token: "token",
		}).IsAccepted()).To(BeTrue())
		// Each command takes a second.
		r.now = r.now.Add(readable + jump - time.Second)
		r.apply("", plantainladder.Confirm{})
		_, ok := r.state.Workflow("f")
		Expect(ok).To(Equal(isKept))
	},
		Entry("not at all", time.Duration(0), true),
		Entry("by the 2 s that clocks are set by", 2*time.Second, true),
		Entry("by almost the reserve", maxJump-time.Second, true),
		Entry("but not by more than the reserve", maxJump+time.Second, false),
	)
})
