package rpc_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/plantainladder/plantainladder/rpc"
)

// A heldLink forwards connections to a server. While it is locked for writing, it
// keeps the bytes that it has read, as the kernel does while a link is cut.
type heldLink struct {
	sync.RWMutex
	listener net.Listener
	pipes    sync.WaitGroup
}

func newHeldLink(address string) *heldLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h := &heldLink{
		listener: l,
	}
	h.pipes.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				_ = in.Close()
				return
			}
			h.pipes.Go(func() { h.pipe(in, out) })
			h.pipes.Go(func() { h.pipe(out, in) })
		}
	})
	return h
}

func (h *heldLink) pipe(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		h.RLock()
		_, writeErr := to.Write(b[:n])
		h.RUnlock()
		if err != nil || writeErr != nil {
			return
		}
	}
}

func (h *heldLink) close() {
	_ = h.listener.Close()
	h.pipes.Wait()
}

var _ = Describe("A server", func() {
	var calls atomic.Int32
	var link *heldLink
	var c *rpc.Client

	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() {
			Eventually(func() error { return goleak.Find(before) }).WithTimeout(5 * time.Second).Should(Succeed())
		})
		calls.Store(0)
		s := rpc.NewServer(rpc.ServerConfig{
			MaxCalls: 8,
		})
		rpc.Handle(s, "count", func(context.Context, int) (int32, error) {
			return calls.Add(1), nil
		})
		server := httptest.NewServer(s)
		DeferCleanup(server.Close)
		link = newHeldLink(server.Listener.Addr().String())
		DeferCleanup(link.close)
		c = rpc.NewClient(rpc.ClientConfig{
			URL:         "ws://" + link.listener.Addr().String(),
			DialTimeout: time.Second,
			QueueLength: 64,
		})
		DeferCleanup(c.Close)
	})

	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		_, err := rpc.Call[int, int32](ctx, c, "count", 0)
		return err
	}

	DescribeTable("does not run a call that waited on a link that was cut", func(calledAfter time.Duration) {
		Expect(call()).To(Succeed())
		link.Lock()
		time.Sleep(calledAfter)
		err := call()
		time.Sleep(time.Second)
		link.Unlock()
		var noReply *rpc.NoReplyError
		Expect(err).To(BeAssignableToTypeOf(noReply))
		Consistently(calls.Load).WithTimeout(500 * time.Millisecond).Should(BeEquivalentTo(1))
		Eventually(call).WithTimeout(2 * time.Second).Should(Succeed())
		Expect(calls.Load()).To(BeEquivalentTo(2))
	},
		Entry("the first of what waited", time.Duration(0)),
		Entry("behind a ping", 400*time.Millisecond),
	)

	It("runs the call of a client that made none for long", func() {
		Expect(call()).To(Succeed())
		time.Sleep(2 * time.Second)
		Expect(call()).To(Succeed())
		Expect(calls.Load()).To(BeEquivalentTo(2))
	})
})
