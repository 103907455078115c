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
	conn         *websocket.Conn
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
