package node

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/control"
)

// The disk writer must neither wait for the event loop, nor leave it with the belief that
// the disk is still full.
var _ = Describe("A report of the disk writer", func() {
	It("that the disk has room is not lost while the event loop is busy", func() {
		full := newSyncReporter[bool]()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		events := make(chan control.Event, 10)
		release := make(chan struct{})
		go full.run(ctx, func(_ context.Context, e control.Event) error {
			<-release
			events <- e
			return nil
		}, diskFullChanged)
		for i := range 5 {
			full.report(i%2 == 0)
		}
		full.report(false)
		close(release)
		last := func() control.Event {
			var e control.Event
			for len(events) > 0 {
				e = <-events
			}
			return e
		}
		Eventually(last).Should(Equal(control.DiskFullChanged{
			IsFull: false,
		}))
	})
})
