package http1

import (
	"net/http"
	"sync"
	"time"
)

// A Refusal is why a server does not read a request to its end, or closes a connection.
type Refusal string

// Refusals that are counted.
const (
	// NoRoom is the refusal of a body that does not fit into the budget, or that has stalled
	// and made room for another one.
	NoRoom Refusal = "no-room"
	// SlowBody is the refusal of a body that arrives too slowly.
	SlowBody Refusal = "slow-body"
	// SlowHeader is the refusal of headers that arrive too slowly.
	SlowHeader Refusal = "slow-header"
	// SlowAnswer is the end of a connection whose client does not read an answer.
	SlowAnswer Refusal = "slow-answer"
	// TooManyConnections is the end of a connection at the limit of connections.
	TooManyConnections Refusal = "connections"
	// UnexpectedBody is the refusal of any body by a server that takes none.
	UnexpectedBody Refusal = "unexpected-body"
)

// Refusals returns all refusals.
func Refusals() []Refusal {
	return []Refusal{NoRoom, SlowBody, SlowHeader, SlowAnswer, TooManyConnections, UnexpectedBody}
}

// refusalLogPeriod is the shortest time between two lines about the same refusal.
const refusalLogPeriod = 10 * time.Second

// A refusalCount counts refusals since the last line about them. It is immutable.
type refusalCount struct {
	loggedAt time.Time
	unlogged int
}

// WithRefusal returns c after one more refusal, and the number to be logged now; zero for none.
func (c refusalCount) WithRefusal(now time.Time) (next refusalCount, logged int) {
	c.unlogged++
	if now.Sub(c.loggedAt) < refusalLogPeriod {
		return c, 0
	}
	return refusalCount{
		loggedAt: now,
	}, c.unlogged
}

// refusals counts the refusals of a server. Its zero value is ready for use.
type refusals struct {
	mu       sync.Mutex
	byReason map[Refusal]refusalCount
}

func (r *refusals) add(reason Refusal, now time.Time) (logged int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byReason == nil {
		r.byReason = map[Refusal]refusalCount{}
	}
	r.byReason[reason], logged = r.byReason[reason].WithRefusal(now)
	return logged
}

// countRefusal counts a refusal and logs it, unless one was logged shortly before.
func (s *Server) countRefusal(reason Refusal, now time.Time) {
	if s.cfg.CountRefusal != nil {
		s.cfg.CountRefusal(reason)
	}
	if n := s.refusals.add(reason, now); n > 0 {
		s.cfg.Logger.Warn().Str("address", s.Address()).Str("reason", string(reason)).Int("since-last-line", n).
			Msg("Clients were refused or their connections closed.")
	}
}

// refuseBody answers a call with a body and closes its connection, without reading the body:
// a client that sends it slowly would keep the connection.
func (s *Server) refuseBody(conn *connection, w http.ResponseWriter) {
	now := time.Now()
	s.countRefusal(UnexpectedBody, now)
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusRequestEntityTooLarge)
	_ = http.NewResponseController(w).Flush()
	conn.drainBody(now)
	panic(http.ErrAbortHandler)
}
