package controller_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/wire"
)

// The load: one controller is frozen. Each read that began at it took 0.9 s longer.
var _ = Describe("A read that begins at a controller that does not reply", func() {
	It("asks another one after a short time", func() {
		silent := startController(func(ctx context.Context, _ string) wire.LeaderReply[api.Members] {
			<-ctx.Done()
			return wire.LeaderReply[api.Members]{}
		})
		l := startClient(silent, startController(lead))
		startedAt := time.Now()
		var calls sync.WaitGroup
		for range 4 {
			calls.Go(func() {
				defer GinkgoRecover()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				_, err := controller.Read[wire.Empty, api.Members](ctx, l, wire.MethodMembers, wire.Empty{})
				Expect(err).NotTo(HaveOccurred())
			})
		}
		calls.Wait()
		Expect(time.Since(startedAt)).To(BeNumerically("<", 800*time.Millisecond))
	})
})

// The load: all controllers are down under a burst. Calls were held for 0.9 s each.
var _ = Describe("A change while no controller listens", func() {
	It("is refused, and not held once that is known", func() {
		l := startClient("127.0.0.1:1", "127.0.0.1:2")
		submit := func() time.Duration {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			startedAt := time.Now()
			_, err := controller.Submit(ctx, l, wire.Submission{})
			var noLeader *controller.NoLeaderError
			Expect(errors.As(err, &noLeader)).To(BeTrue())
			Expect(noLeader.Sent).To(BeFalse())
			return time.Since(startedAt)
		}
		Expect(submit()).To(BeNumerically("<", 900*time.Millisecond))
		Expect(l.IsLeaderless(time.Now())).To(BeTrue(), "the machine refuses connections")
		time.Sleep(time.Second)
		Expect(submit()).To(BeNumerically("<", 300*time.Millisecond))
	})
})
