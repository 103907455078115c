package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/http1"
)

const (
	callers      = 60
	maxThinkTime = 20 * time.Millisecond
	// maxCallerDelay is below the time for which a server that closes an idle connection
	// waits for a call.
	maxCallerDelay = 200 * time.Millisecond
)

// A tally counts what became of calls.
type tally struct {
	answered atomic.Int64
	// unanswered counts the calls that were sent and not answered.
	unanswered atomic.Int64
}

// callUntilRefused calls over one connection after the other until the server accepts
// none. Like many callers, it does not look whether the server has closed an idle
// connection. It counts no calls that the server cannot have read: over a connection that
// the kernel has reset, since it arrived while the listener closed, or sent too late on a
// busy machine.
func (t *tally) callUntilRefused(address string, n int) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		for i := 0; ; i++ {
			thinkTime := maxThinkTime * time.Duration((n*7+i*3)%callers) / callers
			idleSince := time.Now()
			time.Sleep(thinkTime)
			isLate := time.Since(idleSince) > maxCallerDelay
			resp, err := call(conn, r)
			isReset := i == 0 && errors.Is(err, syscall.ECONNRESET)
			if err != nil && !isReset && !isLate {
				t.unanswered.Add(1)
			}
			if err != nil {
				break
			}
			t.answered.Add(1)
			if resp.Close {
				break
			}
		}
		_ = conn.Close()
	}
}

var _ = Describe("A server that stops", func() {
	It("answers each call that was sent over an open connection", func() {
		s, p := listen(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Millisecond)
			w.WriteHeader(http.StatusOK)
		})
		var t tally
		var wg sync.WaitGroup
		for n := range callers {
			wg.Go(func() { t.callUntilRefused(s.Address(), n) })
		}
		Eventually(t.answered.Load).WithTimeout(10 * time.Second).Should(BeNumerically(">", 10*callers))
		Expect(stop(s)).To(Succeed())
		wg.Wait()
		Expect(t.unanswered.Load()).To(BeZero(), "beside %d answered calls, %s", t.answered.Load(), p.lines())
		Expect(p.count(http1.Dropped)).To(BeZero())
	})

	It("answers a call on a connection that was idle when the stop began, and closes it", func() {
		s, _ := listen(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
		})
		conn := dial(s)
		r := bufio.NewReader(conn)
		resp, err := call(conn, r)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeFalse())
		stopped := make(chan error, 1)
		go func() { stopped <- stop(s) }()
		time.Sleep(noticePeriod / 2)
		resp, err = call(conn, r)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeTrue())
		Eventually(stopped).WithTimeout(2 * answerTimeout).Should(Receive(Succeed()))
	})

	It("waits for a call that is under way at the end of the notice period, and then ends at once", func() {
		release := make(chan struct{})
		s, _ := listen(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			w.WriteHeader(http.StatusOK)
		})
		conn := dial(s)
		answered := make(chan error, 1)
		go func() {
			_, err := call(conn, bufio.NewReader(conn))
			answered <- err
		}()
		stopped := make(chan error, 1)
		go func() { stopped <- stop(s) }()
		Consistently(stopped).WithTimeout(2 * noticePeriod).ShouldNot(Receive())
		close(release)
		Eventually(answered).Should(Receive(Succeed()))
		// The answer did not close the connection, whose call had begun before the stop.
		Eventually(stopped).WithTimeout(answerTimeout / 2).Should(Receive(Succeed()))
	})

	It("ends although a connection stays idle and a call is never answered", func() {
		release := make(chan struct{})
		s, _ := listen(func(http.ResponseWriter, *http.Request) {
			<-release
		})
		DeferCleanup(func() { close(release) })
		dial(s)
		_, err := fmt.Fprintf(dial(s), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		stopped := make(chan error, 1)
		go func() {
			stopped <- s.Stop(context.Background(), http1.StopConfig{
				NoticePeriod:  noticePeriod,
				AnswerTimeout: noticePeriod,
			})
		}()
		Eventually(stopped).WithTimeout(5 * noticePeriod).Should(Receive(MatchError(context.DeadlineExceeded)))
	})

	It("ends the context of a call that takes too long, so that its handler answers", func() {
		started := make(chan struct{})
		s, _ := listen(func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			w.WriteHeader(http.StatusGatewayTimeout)
		})
		conn := dial(s)
		answered := make(chan *http.Response, 1)
		go func() {
			defer GinkgoRecover()
			resp, err := call(conn, bufio.NewReader(conn))
			Expect(err).NotTo(HaveOccurred())
			answered <- resp
		}()
		Eventually(started).Should(BeClosed())
		Expect(s.Stop(context.Background(), http1.StopConfig{
			NoticePeriod:  noticePeriod,
			AnswerTimeout: 2 * noticePeriod,
		})).To(Succeed())
		Eventually(answered).Should(Receive(HaveField("StatusCode", http.StatusGatewayTimeout)))
	})

	DescribeTable("divides its time between the notice and the longest call", func(timeout, notice time.Duration) {
		cfg := http1.SplitTimeout(timeout, 2500*time.Millisecond, 2900*time.Millisecond)
		Expect(cfg.NoticePeriod).To(Equal(notice))
		Expect(cfg.NoticePeriod + cfg.AnswerTimeout).To(Equal(timeout))
	},
		Entry("with more than enough time", 20*time.Second, 2500*time.Millisecond),
		Entry("with a notice period that is a little shorter", 5700*time.Millisecond, 2350*time.Millisecond),
		Entry("with too little time for the longest call", 3*time.Second, 1250*time.Millisecond),
		Entry("with hardly any time", time.Second, 500*time.Millisecond),
	)
})
