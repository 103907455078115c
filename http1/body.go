package http1

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/plantainladder/plantainladder/intake"
)

const (
	// maxRetryAfter is the upper bound of Retry-After, in seconds. The values are spread so that
	// callers do not return together.
	maxRetryAfter = 3
	// refusedDrainTime is how long a refused body is still read, so that its sender gets the
	// answer: the kernel resets a connection that is closed with bytes unread.
	refusedDrainTime = 200 * time.Millisecond
	// unreadDrainTime is how long a body that the handler has not read is still read, so that the
	// connection can be used again. A packet that is lost stalls it for up to 400 ms.
	unreadDrainTime = 500 * time.Millisecond
)

// A RefusedError is the error of a body that is not read to its end.
type RefusedError struct {
	// Reason is why the body is refused.
	Reason Refusal
}

// Error returns a message with the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("http1: body is refused: %s", e.Reason)
}

// A boundedBody reads a body within the limits of a server. Only the goroutine of the call
// uses it.
type boundedBody struct {
	io.ReadCloser
	server   *Server
	conn     *connection
	progress intake.Progress
	charge   *intake.Charge
	// refused is why the body is not read to its end; empty if it is.
	refused Refusal
	// hasEnded is true once the body was read to its end.
	hasEnded bool
}

func (s *Server) newBody(conn *connection, r *http.Request, now time.Time) *boundedBody {
	p := intake.NewProgress(now)
	b := &boundedBody{
		ReadCloser: r.Body,
		server:     s,
		conn:       conn,
		progress:   p,
		charge:     s.cfg.Budget.Open(p, conn.interruptBody),
	}
	conn.startBody(s.cfg.Limits.Deadline(p), now)
	return b
}

// Read reads from the body. It returns a *RefusedError if the body arrives too slowly or does
// not fit.
func (b *boundedBody) Read(p []byte) (n int, err error) {
	if b.refused != "" {
		return 0, b.refusal()
	}
	if b.hasEnded {
		return 0, io.EOF
	}
	if !b.conn.startRead(b.progress, time.Now()) {
		return 0, net.ErrClosed
	}
	n, err = b.ReadCloser.Read(p)
	if !b.conn.endRead() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		now := time.Now()
		b.progress = b.progress.WithBytes(n, now)
		if !b.charge.Grow(b.progress, now) {
			b.refused = NoRoom
			return 0, b.refusal()
		}
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.refused = SlowBody
		if b.conn.isInterrupted() {
			b.refused = NoRoom
		}
		return 0, b.refusal()
	case errors.Is(err, io.EOF):
		if !b.charge.Complete() {
			b.refused = NoRoom
			return 0, b.refusal()
		}
		b.hasEnded = true
		b.conn.endBody()
	}
	return n, err
}

func (b *boundedBody) refusal() error {
	return &RefusedError{
		Reason: b.refused,
	}
}

// end releases what the body holds after the handler has returned or panicked. net/http then
// reads a part of what the handler has not read, up to the deadline.
func (b *boundedBody) end(now time.Time) {
	b.charge.Release()
	switch {
	case b.refused != "":
		b.server.countRefusal(b.refused, now)
		b.conn.drainBody(now.Add(refusedDrainTime))
	case !b.hasEnded:
		b.conn.setBodyDeadline(now.Add(unreadDrainTime), now)
	}
}

// An answerWriter replaces the answer of a handler whose body was refused.
type answerWriter struct {
	http.ResponseWriter
	body *boundedBody
	// hasBegun is true once the handler's answer was passed on.
	hasBegun bool
}

// Unwrap returns the writer for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader passes a status on, unless the body was refused. http.MaxBytesReader would close
// the connection of a body that is too large, but does not know this writer.
func (w *answerWriter) WriteHeader(status int) {
	if w.body.refused != "" && !w.hasBegun {
		return
	}
	if status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close")
	}
	w.hasBegun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write passes a part of the answer on, unless the body was refused.
func (w *answerWriter) Write(p []byte) (int, error) {
	if w.body.refused != "" && !w.hasBegun {
		return len(p), nil
	}
	w.hasBegun = true
	return w.ResponseWriter.Write(p)
}

// refuse answers a call whose body was refused. Nothing has run, since handlers read bodies to
// their end first.
func (w *answerWriter) refuse() {
	if w.body.refused == "" || w.hasBegun {
		return
	}
	h := w.Header()
	clear(h)
	h.Set("Connection", "close")
	h.Set("Content-Type", "application/json")
	h.Set("Retry-After", strconv.Itoa(1+rand.N(maxRetryAfter)))
	w.ResponseWriter.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w.ResponseWriter, `{"reason":"`+string(w.body.refused)+`"}`)
}

// serveBody passes a call with a body to the handler.
func (s *Server) serveBody(conn *connection, w http.ResponseWriter, r *http.Request) {
	body := s.newBody(conn, r, time.Now())
	defer func() { body.end(time.Now()) }()
	aw := &answerWriter{
		ResponseWriter: w,
		body:           body,
	}
	r.Body = body
	s.calls.serve(s, aw, r)
	aw.refuse()
}
