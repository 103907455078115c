package rpc

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A recordingListener passes the connections that it accepts on to a test.
type recordingListener struct {
	net.Listener
	accepted chan<- net.Conn
}

// Accept accepts a connection.
func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c
	}
	return c, err
}

// The load: all controllers are killed under a burst. Calls that were written to
// connections whose end this process had not read yet counted as possibly accepted.
var _ = Describe("A connection that the server has closed", func() {
	var client *Client
	var here *session
	var server *httptest.Server
	var accepted chan net.Conn

	BeforeEach(func(ctx SpecContext) {
		server = httptest.NewUnstartedServer(NewServer(ServerConfig{}))
		accepted = make(chan net.Conn, 1)
		server.Listener = &recordingListener{
			Listener: server.Listener,
			accepted: accepted,
		}
		server.Start()
		DeferCleanup(server.Close)
		client = NewClient(ClientConfig{
			URL:         "ws" + strings.TrimPrefix(server.URL, "http"),
			DialTimeout: time.Second,
		})
		DeferCleanup(client.Close)
		var err error
		here, err = client.dial(context.WithoutCancel(ctx))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(here.close)
		Expect(here.socket.isClosedByPeer()).To(BeFalse(), "while another goroutine waits for data")
	})

	It("fails a call as not sent, and gets no byte of it", func(ctx SpecContext) {
		Expect((<-accepted).Close()).To(Succeed())
		Eventually(here.socket.isClosedByPeer).Should(BeTrue())
		// The handshake is counted once its writer has returned.
		Eventually(here.socket.taken.Load).Should(BeNumerically(">", 0))
		before := here.socket.taken.Load()
		k := call{
			result:       make(chan result, 1),
			sendDecision: &sendDecision{},
		}
		earlier := make(chan result, 1)
		here.pending[1] = earlier
		Expect(client.sendCall(ctx, here, k, 2)).To(BeIdenticalTo(here))
		Expect(earlier).NotTo(Receive(), "its reply may have arrived, and is read before the end")
		Expect(here.pending).To(HaveLen(1))
		r := <-k.result
		Expect(r.sent).To(BeFalse())
		Expect(r.err).To(MatchError(net.ErrClosed))
		Expect(here.socket.taken.Load()).To(Equal(before))
	})
})

// A refusal must be true: only what the server cannot have read is not sent.
var _ = Describe("A failed write", func() {
	It("is of an incomplete frame only if fewer bytes were taken than it has", func() {
		Expect(isIncomplete(100, 0)).To(BeTrue())
		Expect(isIncomplete(100, 99)).To(BeTrue())
		Expect(isIncomplete(100, 100)).To(BeFalse(), "it may be whole")
		Expect(isIncomplete(100, 106)).To(BeFalse(), "a ping was written meanwhile")
		Expect(isIncomplete(0, 0)).To(BeFalse(), "its size is not known")
	})

	DescribeTable("or read shows the end of the stream", func(n int, err error, isEnd bool) {
		Expect(isEndOfStream(n, err)).To(Equal(isEnd))
	},
		Entry("if the server closed it", 0, nil, true),
		Entry("if the server reset it", -1, syscall.ECONNRESET, true),
		Entry("not if there is data", 1, nil, false),
		Entry("not if there is none yet", -1, syscall.EAGAIN, false),
	)
})

var _ = Describe("A call that cannot be encoded", func() {
	It("is not sent", func() {
		_, err := Call[chan int, int](context.Background(), nil, "m", nil)
		var noReply *NoReplyError
		Expect(errors.As(err, &noReply)).To(BeTrue())
		Expect(noReply.Sent).To(BeFalse())
	})
})
