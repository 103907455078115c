package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/http1"
)

var _ = Describe("The report of a server", func() {
	It("tells what the stop met and which calls it left running", func() {
		started, release := make(chan struct{}), make(chan struct{})
		s, p := listen(func(http.ResponseWriter, *http.Request) {
			close(started)
			<-release
		})
		DeferCleanup(func() { close(release) })
		_, err := fmt.Fprintf(dial(s), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(started).Should(BeClosed())
		Expect(s.Stop(context.Background(), http1.StopConfig{
			NoticePeriod:  time.Millisecond,
			AnswerTimeout: 100 * time.Millisecond,
		})).To(MatchError(context.DeadlineExceeded))
		Expect(p.lines()).To(ContainSubstring(`"running":1,"connections":1,"idle":0`))
		Expect(p.lines()).To(ContainSubstring(`"answered":0,"left-running":1,"dropped":0,"connections":1`))
		Expect(p.count(http1.LeftRunning)).To(Equal(1))
	})

	It("counts a call that is answered while the server stops", func() {
		started, release := make(chan struct{}), make(chan struct{})
		s, p := listen(func(http.ResponseWriter, *http.Request) {
			close(started)
			<-release
		})
		conn := dial(s)
		answered := make(chan error, 1)
		go func() {
			_, err := call(conn, bufio.NewReader(conn))
			answered <- err
		}()
		Eventually(started).Should(BeClosed())
		stopped := make(chan error, 1)
		go func() { stopped <- stop(s) }()
		Eventually(p.lines).Should(ContainSubstring("Server is stopping."))
		close(release)
		Eventually(answered).Should(Receive(Succeed()))
		Eventually(stopped).WithTimeout(answerTimeout).Should(Receive(Succeed()))
		Expect(p.count(http1.AnsweredWhileStopping)).To(Equal(1))
		Expect(p.count(http1.LeftRunning)).To(BeZero())
	})

	It("counts a call whose handler panics", func() {
		s, p := listen(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		})
		conn := dial(s)
		resp, err := call(conn, bufio.NewReader(conn))
		Expect(err).To(HaveOccurred())
		Expect(resp).To(BeNil())
		Eventually(func() int { return p.count(http1.Panicked) }).Should(Equal(1))
		Expect(p.lines()).To(ContainSubstring("Handler panicked; the call gets no answer."))
	})
})
