package controller_test

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/wire"
)

// A call that its deadline cuts short may have been accepted, so its caller cannot be told
// that nothing was done.
var _ = Describe("A call to a leader that commits nothing", func() {
	const timeout = time.Second

	// submitTo submits a workflow to a leader that answers with its first replies, and then
	// accepts. It returns the number of calls, the time and the error.
	submitTo := func(refusals int32) (calls int32, took time.Duration, err error) {
		var n atomic.Int32
		l := startClient(startSubmitController(func(wire.Submission) wire.LeaderReply[wire.Result] {
			if n.Add(1) <= refusals {
				return wire.LeaderReply[wire.Result]{
					BusyReason: wire.BusyCommitStalled,
				}
			}
			return wire.LeaderReply[wire.Result]{
				Leader: true,
			}
		}), "127.0.0.1:1")
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		startedAt := time.Now()
		_, err = controller.Submit(ctx, l, wire.Submission{})
		return n.Load(), time.Since(startedAt), err
	}

	It("ends before its deadline as a refusal after few calls", func() {
		calls, took, err := submitTo(1000)
		var noLeader *controller.NoLeaderError
		Expect(errors.As(err, &noLeader)).To(BeTrue())
		Expect(noLeader.Sent).To(BeFalse())
		reason, ok := controller.RefusalReason(err)
		Expect(ok).To(BeTrue())
		Expect(reason).To(Equal("commit-stalled"))
		Expect(took).To(BeNumerically("<", timeout-300*time.Millisecond), "the last call had time for a commit")
		Expect(calls).To(And(BeNumerically(">", 1), BeNumerically("<", 6)))
	})

	It("is accepted if commits go on in time", func() {
		calls, _, err := submitTo(2)
		Expect(err).NotTo(HaveOccurred())
		Expect(calls).To(BeEquivalentTo(3))
	})

	It("is no refusal if another controller may have accepted it", func() {
		_, ok := controller.RefusalReason(&controller.NoLeaderError{
			Sent:  true,
			Cause: &controller.CommitStalledError{},
		})
		Expect(ok).To(BeFalse())
	})
})
