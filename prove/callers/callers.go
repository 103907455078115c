// Package callers makes calls over open connections, as simple HTTP clients do, and counts
// those that get no answer.
package callers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// Count is the number of callers.
	Count        = 60
	maxThinkTime = 20 * time.Millisecond
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 5 * time.Second
	// maxCallerDelay is below the time for which a process that closes an idle connection
	// waits for a call.
	maxCallerDelay = 200 * time.Millisecond
)

// A Request is a call of a caller.
type Request struct {
	Method, Host, Path, Body string
	// Header holds further headers.
	Header map[string]string
}

// A Tally counts what became of calls.
type Tally struct {
	// Answered counts the calls that were answered.
	Answered atomic.Int64
	// Unanswered counts the calls that were sent whole and got no answer.
	Unanswered atomic.Int64
	// Unread counts those of them that the process cannot have read: over a connection
	// that the kernel has reset, since it arrived while the listener closed, or sent too
	// late on a busy machine.
	Unread atomic.Int64
	mu     sync.Mutex
	// examples holds the errors of the first calls that were read and not answered.
	examples []string
}

// count counts a call with the given error, which was the first over its connection or
// not, and was sent whole after the connection had been idle for some time.
func (t *Tally) count(r Request, isFirst bool, idle time.Duration, err error) {
	switch {
	case err == nil:
		t.Answered.Add(1)
		return
	case isFirst && errors.Is(err, syscall.ECONNRESET), idle > maxCallerDelay:
		t.Unread.Add(1)
		return
	}
	t.Unanswered.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.examples) < 10 {
		t.examples = append(t.examples, fmt.Sprintf("%s %s %s, first call: %t: %v", time.Now().Format("15:04:05.000"), r.Method, r.Path, isFirst, err))
	}
}

// String describes the counts and the first calls without an answer.
func (t *Tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d answered, %d unread, %d without an answer: %q", t.Answered.Load(), t.Unread.Load(), t.Unanswered.Load(), t.examples)
}

// Start starts callers that call over open connections, one call at a time, until
// nobody accepts their connections. Like many callers, they do not look whether a
// connection was closed while it was idle. The returned function waits for their end.
func Start(address string, next func(caller, call int) Request) (t *Tally, wait func()) {
	t = &Tally{}
	var wg sync.WaitGroup
	for caller := range Count {
		wg.Go(func() {
			for call := 0; ; {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				call = callOver(conn, t, call, func(n int) Request { return next(caller, n) })
			}
		})
	}
	return t, wg.Wait
}

// callOver calls over one connection until it ends, and returns the number of the next
// call.
func callOver(conn net.Conn, t *Tally, call int, next func(n int) Request) int {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := call; ; call++ {
		idleSince := time.Now()
		time.Sleep(rand.N(maxThinkTime))
		idle := time.Since(idleSince)
		r := next(call)
		isSent, closes, err := Call(conn, reader, r)
		if isSent {
			t.count(r, call == first, idle, err)
		}
		if err != nil || closes {
			return call + 1
		}
	}
}

// Call sends a call and reads the answer. It reports whether the call was sent whole
// and whether the server closes the connection after the answer.
func Call(conn net.Conn, reader *bufio.Reader, r Request) (isSent, closes bool, err error) {
	if err = conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return false, false, err
	}
	var headers strings.Builder
	for name, value := range r.Header {
		fmt.Fprintf(&headers, "%s: %s\r\n", name, value)
	}
	if _, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.Method, r.Path, r.Host, headers.String(), len(r.Body), r.Body); err != nil {
		return false, false, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return true, false, err
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return true, false, err
	}
	return true, resp.Close, resp.Body.Close()
}
