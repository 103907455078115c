package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/http1"
)

func TestHTTP1(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "http1")
}

const (
	noticePeriod  = 300 * time.Millisecond
	answerTimeout = 3 * time.Second
)

// A report holds what a server has counted and logged.
type report struct {
	mu      sync.Mutex
	log     bytes.Buffer
	byCause map[http1.Outcome]int
}

func (p *report) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(line)
}

func (p *report) lines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *report) add(o http1.Outcome, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byCause[o] += n
}

func (p *report) count(o http1.Outcome) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byCause[o]
}

func listen(handler http.HandlerFunc) (*http1.Server, *report) {
	p := &report{
		byCause: map[http1.Outcome]int{},
	}
	s, err := http1.Listen("127.0.0.1:0", http1.Config{
		Handler:       handler,
		HeaderTimeout: time.Second,
		CountCalls:    p.add,
		Logger:        zerolog.New(p),
	})
	Expect(err).NotTo(HaveOccurred())
	go func() {
		defer GinkgoRecover()
		Expect(s.Serve()).To(MatchError(http.ErrServerClosed))
	}()
	DeferCleanup(s.Close)
	return s, p
}

func stop(s *http1.Server) error {
	return s.Stop(context.Background(), http1.StopConfig{
		NoticePeriod:  noticePeriod,
		AnswerTimeout: answerTimeout,
	})
}

func dial(s *http1.Server) net.Conn {
	conn, err := net.Dial("tcp", s.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}

// call sends a call over an open connection and returns the response.
func call(conn net.Conn, r *bufio.Reader) (resp *http.Response, err error) {
	if _, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err = http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	return resp, resp.Body.Close()
}
