package rpc_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/plantainladder/plantainladder/rpc"
)

func TestRPC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rpc")
}

var errOdd = errors.New("odd")

func start() (*httptest.Server, func(token string) *rpc.Client) {
	return startWith("secret")
}

func startWith(secret string) (*httptest.Server, func(token string) *rpc.Client) {
	s := rpc.NewServer(rpc.ServerConfig{
		Token:    secret,
		MaxCalls: 8,
	})
	rpc.Handle(s, "double", func(_ context.Context, n int) (int, error) {
		if n%2 == 1 {
			return 0, errOdd
		}
		return 2 * n, nil
	})
	rpc.Handle(s, "wait", func(ctx context.Context, ms int) (int, error) {
		t := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		return ms, nil
	})
	server := httptest.NewServer(s)
	return server, func(token string) *rpc.Client {
		return rpc.NewClient(rpc.ClientConfig{
			URL:         "ws" + strings.TrimPrefix(server.URL, "http"),
			Token:       token,
			DialTimeout: time.Second,
			QueueLength: 64,
		})
	}
}

var _ = Describe("A client", func() {
	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() {
			Eventually(func() error { return goleak.Find(before) }).WithTimeout(5 * time.Second).Should(Succeed())
		})
	})

	It("fails calls in time if the server does not accept connections, and reports that they were not sent", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = silent.Close() }()
		c := rpc.NewClient(rpc.ClientConfig{
			DialTimeout: 200 * time.Millisecond,
			QueueLength: 64,
		}.WithAddress(silent.Addr().String()))
		defer c.Close()
		var wg sync.WaitGroup
		began := time.Now()
		for range 20 {
			wg.Go(func() {
				defer GinkgoRecover()
				ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
				defer cancel()
				_, err := rpc.Call[int, int](ctx, c, "double", 4)
				var noReply *rpc.NoReplyError
				Expect(errors.As(err, &noReply)).To(BeTrue())
				Expect(noReply.Sent).To(BeFalse())
			})
		}
		wg.Wait()
		Expect(time.Since(began)).To(BeNumerically("<", 900*time.Millisecond))
	})

	It("can call a server without a token only if it has no token itself", func() {
		server, dial := startWith("")
		defer server.Close()
		c := dial("")
		defer c.Close()
		n, err := rpc.Call[int, int](context.Background(), c, "double", 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(8))
		other := dial("secret")
		defer other.Close()
		_, err = rpc.Call[int, int](context.Background(), other, "double", 4)
		Expect(err).To(HaveOccurred())
	})

	It("runs calls concurrently and gets the reply to each call, in any order", func() {
		server, dial := start()
		defer server.Close()
		c := dial("secret")
		defer c.Close()
		var wg sync.WaitGroup
		began := time.Now()
		for i := range 6 {
			wg.Go(func() {
				defer GinkgoRecover()
				n, err := rpc.Call[int, int](context.Background(), c, "wait", 300-i)
				Expect(err).NotTo(HaveOccurred())
				Expect(n).To(Equal(300 - i))
			})
		}
		wg.Wait()
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("returns the error of the method", func() {
		server, dial := start()
		defer server.Close()
		c := dial("secret")
		defer c.Close()
		_, err := rpc.Call[int, int](context.Background(), c, "double", 3)
		var remote *rpc.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Detail).To(Equal("odd"))
	})

	It("reports whether a call without a reply may have been sent", func() {
		server, dial := start()
		c := dial("wrong")
		defer c.Close()
		_, err := rpc.Call[int, int](context.Background(), c, "double", 2)
		var noReply *rpc.NoReplyError
		Expect(errors.As(err, &noReply)).To(BeTrue())
		Expect(noReply.Sent).To(BeFalse())
		late := dial("secret")
		defer late.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = rpc.Call[int, int](ctx, late, "wait", 400)
		Expect(errors.As(err, &noReply)).To(BeTrue())
		Expect(noReply.Sent).To(BeTrue())
		server.Close()
	})

	It("opens a new connection after the server closed the old one", func() {
		server, dial := start()
		defer server.Close()
		c := dial("secret")
		defer c.Close()
		_, err := rpc.Call[int, int](context.Background(), c, "double", 2)
		Expect(err).NotTo(HaveOccurred())
		server.CloseClientConnections()
		Eventually(func() error {
			_, err := rpc.Call[int, int](context.Background(), c, "double", 2)
			return err
		}).WithTimeout(2 * time.Second).Should(Succeed())
	})
})
