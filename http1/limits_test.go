package http1_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/http1"
	"github.com/plantainladder/plantainladder/intake"
)

// A boundedServer is a server with limits. Its handler reads bodies and counts whole ones.
type boundedServer struct {
	*http1.Server
	budget *intake.Budget
	whole  atomic.Int32
	report *report
}

const bodyBytes = 100 << 10

func listenBounded(limits intake.Limits, budget int64) *boundedServer {
	return listenBoundedWith(http1.Config{
		Limits: limits,
	}, budget)
}

func listenBoundedWith(cfg http1.Config, budget int64) *boundedServer {
	s := &boundedServer{
		budget: intake.NewBudget(budget),
		report: &report{
			byCause: map[http1.Outcome]int{},
		},
	}
	var err error
	cfg.Handler, cfg.HeaderTimeout, cfg.Budget = s, time.Second, s.budget
	cfg.CountRefusal = func(r http1.Refusal) { s.report.add(http1.Outcome(r), 1) }
	cfg.CountCalls, cfg.Logger = s.report.add, zerolog.New(s.report)
	s.Server, err = http1.Listen("127.0.0.1:0", cfg)
	Expect(err).NotTo(HaveOccurred())
	go func() {
		defer GinkgoRecover()
		Expect(s.Serve()).To(MatchError(http.ErrServerClosed))
	}()
	DeferCleanup(s.Close)
	return s
}

func (s *boundedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/long" {
		_, _ = w.Write(make([]byte, 64<<20))
		return
	}
	if r.URL.Path == "/unread" {
		time.Sleep(800 * time.Millisecond)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if r.URL.Path == "/panic" {
		panic(http.ErrAbortHandler)
	}
	s.whole.Add(1)
	w.WriteHeader(http.StatusOK)
}

func (s *boundedServer) count(r http1.Refusal) int {
	return s.report.count(http1.Outcome(r))
}

// sendBody sends a call of which the last bytes are missing.
func (s *boundedServer) sendBody(path string, missing int) net.Conn {
	conn := dial(s.Server)
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, bodyBytes)
	Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(bytes.Repeat([]byte(" "), bodyBytes-missing))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func answerOf(conn net.Conn) *http.Response {
	Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

func expectRefusal(resp *http.Response) {
	Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(resp.Header.Get("Retry-After")).To(MatchRegexp("^[1-3]$"))
	Expect(resp.Close).To(BeTrue())
}

var _ = Describe("A server with limits", func() {
	limits := intake.Limits{
		StallTimeout: 700 * time.Millisecond,
	}

	// Bodies that stopped just short of their end were once held for good.
	It("refuses a body that stalls, and the handler's own answer is not sent", func() {
		s := listenBounded(limits, 1<<20)
		resp := answerOf(s.sendBody("/", 1))
		expectRefusal(resp)
		Expect(s.whole.Load()).To(BeZero())
		Expect(s.count(http1.SlowBody)).To(Equal(1))
		Eventually(s.budget.Used).Should(BeZero())
		Expect(s.report.lines()).To(ContainSubstring(`"reason":"slow-body"`))
	})

	It("refuses a body that does not fit, and serves one of the same size once there is room", func() {
		s := listenBounded(intake.Limits{}, bodyBytes+64<<10)
		first := s.sendBody("/", 1)
		Eventually(s.budget.Used).Should(BeNumerically(">", 64<<10))
		expectRefusal(answerOf(s.sendBody("/", 0)))
		Expect(s.count(http1.NoRoom)).To(Equal(1))
		Expect(first.(*net.TCPConn).CloseWrite()).To(Succeed())
		Eventually(s.budget.Used).Should(BeZero())
		Expect(answerOf(s.sendBody("/", 0)).StatusCode).To(Equal(http.StatusOK))
		Expect(s.whole.Load()).To(BeEquivalentTo(1))
	})

	It("gives a stalled body up for another one", func() {
		s := listenBounded(intake.Limits{}, bodyBytes+64<<10)
		stalled := s.sendBody("/", 1)
		Eventually(s.budget.Used).Should(BeNumerically(">", 64<<10))
		time.Sleep(600 * time.Millisecond)
		Expect(answerOf(s.sendBody("/", 0)).StatusCode).To(Equal(http.StatusOK))
		expectRefusal(answerOf(stalled))
		Expect(s.whole.Load()).To(BeEquivalentTo(1))
	})

	It("gets its budget back after a panic", func() {
		s := listenBounded(limits, 1<<20)
		s.sendBody("/panic", 0)
		Eventually(func() int { return s.report.count(http1.Panicked) }).Should(Equal(1))
		Eventually(s.budget.Used).Should(BeZero())
	})

	It("serves a new connection at its limit and closes the one that has waited longest", func() {
		s := listenBounded(intake.Limits{
			MaxConnections: 2,
		}, 1<<20)
		oldest := dial(s.Server)
		time.Sleep(20 * time.Millisecond)
		other := dial(s.Server)
		Expect(answerOf(s.sendBody("/", 0)).StatusCode).To(Equal(http.StatusOK))
		Expect(oldest.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err := oldest.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Expect(s.count(http1.TooManyConnections)).To(Equal(1))
		_, err = call(other, bufio.NewReader(other))
		Expect(err).NotTo(HaveOccurred())
	})

	// Each worker keeps a connection open between its pings, and a core may have more workers than connections.
	It("serves more clients that keep connections open than its limit", func() {
		s := listenBounded(intake.Limits{
			MaxConnections: 4,
		}, 1<<20)
		clients := make([]http.Client, 12)
		for i := range clients {
			t := &http.Transport{}
			DeferCleanup(t.CloseIdleConnections)
			clients[i].Transport = t
		}
		for range 3 {
			for i := range clients {
				resp, err := clients[i].Get("http://" + s.Address())
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Body.Close()).To(Succeed())
			}
		}
		Expect(s.whole.Load()).To(BeEquivalentTo(36))
	})

	// The client once got no answer to a call whose handler did not read its body, although it ran.
	It("does not close the connection of a running call at its limit, although its body is not read", func() {
		s := listenBounded(intake.Limits{
			MaxConnections: 1,
		}, 1<<20)
		conn := dial(s.Server)
		_, err := fmt.Fprint(conn, "DELETE /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(600 * time.Millisecond)
		dial(s.Server)
		Expect(answerOf(conn).StatusCode).To(Equal(http.StatusOK))
	})

	// Strangers that sent bodies slowly to the port of the health checks once kept those out.
	It("answers calls at its limit although others send bodies slowly, if it takes none", func() {
		s := listenBoundedWith(http1.Config{
			RefusesBodies: true,
			Limits: intake.Limits{
				MaxConnections: 2,
				StallTimeout:   time.Hour,
			},
		}, 1<<20)
		for range 8 {
			// The answer could be lost if the connection were closed with bytes unread.
			resp := answerOf(s.sendBody("/", bodyBytes))
			Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
			Expect(resp.Close).To(BeTrue())
		}
		conn := dial(s.Server)
		_, err := call(conn, bufio.NewReader(conn))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.count(http1.UnexpectedBody)).To(Equal(8))
	})

	It("closes the connection of a body that trickles, for a new one", func() {
		s := listenBounded(intake.Limits{
			MaxConnections: 1,
			BodyGrace:      time.Hour,
			BodyRate:       64 << 10,
		}, 1<<20)
		slow := s.sendBody("/", bodyBytes)
		for range 6 {
			time.Sleep(200 * time.Millisecond)
			_, err := slow.Write([]byte(" "))
			Expect(err).NotTo(HaveOccurred())
		}
		conn := dial(s.Server)
		_, err := call(conn, bufio.NewReader(conn))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.whole.Load()).To(BeEquivalentTo(1))
	})

	It("ends an answer that is not read", func() {
		s := listenBounded(limits, 1<<20)
		_, err := fmt.Fprint(dial(s.Server), "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return s.count(http1.SlowAnswer) }).WithTimeout(10 * time.Second).Should(Equal(1))
	})

	It("closes a connection whose headers do not end", func() {
		s := listenBounded(limits, 1<<20)
		_, err := fmt.Fprint(dial(s.Server), "GET / HTTP/1.1\r\nHost:")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return s.count(http1.SlowHeader) }).WithTimeout(10 * time.Second).Should(Equal(1))
	})

	// The handler of such a body once kept a stop waiting until its end.
	It("is not held up in its stop by bodies and answers that make no progress", func() {
		s := listenBounded(intake.Limits{
			StallTimeout: time.Hour,
		}, 1<<20)
		s.sendBody("/", 1)
		_, err := fmt.Fprint(dial(s.Server), "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.budget.Used).Should(BeNumerically(">", 0))
		stopped := make(chan error, 1)
		go func() { stopped <- stop(s.Server) }()
		Eventually(stopped).WithTimeout(answerTimeout).Should(Receive(Succeed()))
	})
})
