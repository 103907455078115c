package rpc

import (
	"context"
	"maps"
	"time"

	"github.com/coder/websocket"
)

// A session is one connection and the calls that wait on it. Only the
// client's goroutine touches it.
type session struct {
	conn     *websocket.Conn
	incoming chan frame
	pending  map[uint64]chan result
	heard    time.Time
	cancel   context.CancelFunc
}

func (s *session) deliver(f frame) {
	s.heard = time.Now()
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

// without returns the session without a call that was abandoned, nil if it has
// gone silent.
func (s *session) without(waiting chan result) *session {
	if s == nil {
		return nil
	}
	maps.DeleteFunc(s.pending, func(_ uint64, ch chan result) bool {
		return ch == waiting
	})
	if time.Since(s.heard) > silenceLimit {
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
