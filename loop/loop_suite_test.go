package loop_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/loop"
)

func TestLoop(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loop")
}

// Without the times of each event, nothing tells what held up a loop.
var _ = Describe("A loop", func() {
	It("reports how long an event waited, was decided on and performed", func() {
		now := time.Unix(1_700_000_000, 0)
		timings := make(chan loop.Timing[string, time.Duration], 2)
		l := loop.New(loop.Config[int, string, time.Duration]{
			Step: func(n int, _ time.Time, e string) (int, []time.Duration) {
				now = now.Add(2 * time.Second)
				if e == "first" {
					return n, []time.Duration{time.Second, 3 * time.Second, time.Second}
				}
				return n, nil
			},
			Perform:     func(f time.Duration) { now = now.Add(f) },
			Clock:       func() time.Time { return now },
			QueueLength: 2,
			Observe:     func(t loop.Timing[string, time.Duration]) { timings <- t },
		})
		Expect(l.TryPost("first")).To(BeTrue())
		Expect(l.TryPost("second")).To(BeTrue())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go l.Run(ctx)
		Expect(<-timings).To(Equal(loop.Timing[string, time.Duration]{
			Event:       "first",
			EndedAt:     time.Unix(1_700_000_007, 0),
			Step:        2 * time.Second,
			Perform:     5 * time.Second,
			Effects:     3,
			Slowest:     3 * time.Second,
			SlowestTook: 3 * time.Second,
			Queued:      1,
		}))
		Expect(<-timings).To(Equal(loop.Timing[string, time.Duration]{
			Event:   "second",
			EndedAt: time.Unix(1_700_000_009, 0),
			Waited:  7 * time.Second,
			Step:    2 * time.Second,
		}))
	})
})
