package rpc_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/intake"
	"github.com/plantainladder/plantainladder/rpc"
)

var _ = Describe("A server with budgets", func() {
	const callBytes = 400 << 10

	var (
		calls             *intake.Budget
		entered, messages atomic.Int32
		release           chan struct{}
		c                 *rpc.Client
	)

	BeforeEach(func() {
		entered.Store(0)
		messages.Store(0)
		calls, release = intake.NewBudget(1<<20), make(chan struct{})
		s := rpc.NewServer(rpc.ServerConfig{
			MaxCalls: 8,
			Frames:   intake.NewBudget(1 << 20),
			Calls:    calls,
		})
		hold := release
		rpc.Handle(s, "hold", func(context.Context, []byte) (int, error) {
			entered.Add(1)
			<-hold
			return 0, nil
		})
		rpc.Handle(s, "message", func(context.Context, []byte) (int, error) {
			messages.Add(1)
			return 0, nil
		})
		server := httptest.NewServer(s)
		DeferCleanup(server.Close)
		c = rpc.NewClient(rpc.ClientConfig{
			URL:         "ws" + strings.TrimPrefix(server.URL, "http"),
			DialTimeout: time.Second,
			QueueLength: 64,
		})
		DeferCleanup(c.Close)
	})

	// Complete frames once counted for nothing: 30 calls of 4 MB took 373 MB of heap.
	It("runs no more calls at a time than fit, and others once there is room again", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		errs := make(chan error, 5)
		for range 5 {
			go func() {
				_, err := rpc.Call[[]byte, int](ctx, c, "hold", make([]byte, callBytes))
				errs <- err
			}()
		}
		var remote *rpc.RemoteError
		for range 3 {
			Eventually(errs).WithTimeout(5 * time.Second).Should(Receive(BeAssignableToTypeOf(remote)))
		}
		Eventually(entered.Load).Should(BeEquivalentTo(2))
		Expect(calls.Used()).To(BeNumerically(">=", 2*callBytes-2*intake.FreeBytes))

		// Calls that wait must not separate the cores.
		Expect(rpc.Send(c, "message", make([]byte, callBytes))).To(BeTrue())
		Eventually(messages.Load).Should(BeEquivalentTo(1))

		close(release)
		for range 2 {
			Eventually(errs).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		}
		Eventually(calls.Used).Should(BeZero())
		_, err := rpc.Call[[]byte, int](ctx, c, "hold", make([]byte, 2*callBytes))
		Expect(err).NotTo(HaveOccurred())
	})
})
