package rpc

import (
	"context"
	"maps"
	"time"

	"github.com/coder/websocket"
)

// A session is one connection and its pending calls. Only the client's run
// goroutine uses it.
type session struct {
	conn *websocket.Conn
	// socket is the connection below conn; nil if it is not known.
	socket       *socket
	incoming     chan frame
	pending      map[uint64]chan result
	lastReceived time.Time
	cancel       context.CancelFunc
}

func (s *session) deliver(f frame) {
	s.lastReceived = time.Now()
	waiting, ok := s.pending[f.ID]
	if !ok {
		return
	}
	delete(s.pending, f.ID)
	waiting <- result{
		frame: f,
		sent:  true,
	}
}

// An incompleteFrameError reports a frame that the server cannot have read as a whole.
type incompleteFrameError struct {
	err error
}

// Error returns the error of the write.
func (e *incompleteFrameError) Error() string {
	return "incomplete frame: " + e.err.Error()
}

// Unwrap returns the error of the write.
func (e *incompleteFrameError) Unwrap() error {
	return e.err
}

// write writes a frame and returns its size. It returns an *incompleteFrameError if the
// server cannot have read the frame as a whole.
func (s *session) write(ctx context.Context, f frame) (n int, err error) {
	if s.socket == nil {
		return writeFrame(ctx, s.conn, f)
	}
	before := s.socket.taken.Load()
	n, err = writeFrame(ctx, s.conn, f)
	if err != nil && isIncomplete(n, s.socket.taken.Load()-before) {
		err = &incompleteFrameError{
			err: err,
		}
	}
	return n, err
}

// fail reports to the caller of a pending call that the call was not sent.
func (s *session) fail(id uint64, err error) {
	if waiting, ok := s.pending[id]; ok {
		delete(s.pending, id)
		waiting <- result{
			err: err,
		}
	}
}

// withoutCall removes an abandoned call and returns the session. It closes the
// session and returns nil if no reply came for longer than the silence timeout.
func (s *session) withoutCall(waiting chan result) *session {
	if s == nil {
		return nil
	}
	maps.DeleteFunc(s.pending, func(_ uint64, ch chan result) bool {
		return ch == waiting
	})
	if time.Since(s.lastReceived) > silenceTimeout {
		s.close()
		return nil
	}
	return s
}

func (s *session) close() {
	if s == nil {
		return
	}
	s.cancel()
	_ = s.conn.CloseNow()
	for _, waiting := range s.pending {
		waiting <- result{
			sent: true,
			err:  context.Canceled,
		}
	}
}
