package http1

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A connection that is being closed", func() {
	It("reads a call that arrived before the deadline although the process was delayed beyond it", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		caller, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		conn := &connection{
			TCPConn:   accepted.(*net.TCPConn),
			isClosing: true,
		}
		DeferCleanup(conn.Close)
		_, err = caller.Write([]byte("GET "))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		Expect(conn.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
		n, err := conn.Read(make([]byte, 16))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(4))
	})
})
