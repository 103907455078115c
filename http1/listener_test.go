package http1

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A listener that stops", func() {
	// The kernel resets the connections that are in the queue of a listener that closes.
	It("returns the connections in its queue", func() {
		const queued = 40
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := newListener(tcp.(*net.TCPListener), func(conn *net.TCPConn) *connection {
			return &connection{
				TCPConn: conn,
			}
		})
		for range queued {
			conn, err := net.Dial("tcp", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = conn.Write([]byte("c"))
			Expect(err).NotTo(HaveOccurred())
		}
		stopped := make(chan error, 1)
		go func() { stopped <- l.stop(context.Background(), time.Now()) }()
		Eventually(l.isStopping.Load).Should(BeTrue())
		for range queued {
			conn, err := l.Accept()
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			n, err := conn.Read(make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(1))
			Expect(conn.Close()).To(Succeed())
		}
		Consistently(stopped).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		_, err = l.Accept()
		Expect(err).To(MatchError(net.ErrClosed))
		Eventually(stopped).Should(Receive(Succeed()))
		_, err = net.Dial("tcp", l.Addr().String())
		Expect(err).To(HaveOccurred())
	})
})
