package http1

import (
	"net/http"
	"sync/atomic"
)

// An Outcome tells what became of a call.
type Outcome string

// Outcomes of calls that are counted.
const (
	// AnsweredWhileStopping is the outcome of a call that was answered after the stop
	// had begun.
	AnsweredWhileStopping Outcome = "answered"
	// LeftRunning is the outcome of a call that was still running when the stop ended.
	LeftRunning Outcome = "left-running"
	// Dropped is the outcome of a call that was read and not passed to the handler. A
	// malformed call, which is answered with status 400, counts as dropped too.
	Dropped Outcome = "dropped"
	// Panicked is the outcome of a call whose handler panicked, at any time.
	Panicked Outcome = "panicked"
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome {
	return []Outcome{AnsweredWhileStopping, LeftRunning, Dropped, Panicked}
}

// calls counts the calls that are passed to a handler. Its zero value is ready for use.
type calls struct {
	passedOn atomic.Int64
	running  atomic.Int64
	// answeredWhileStopping counts the calls that were answered after the stop began.
	answeredWhileStopping atomic.Int64
}

// serve passes a call to a handler and counts it.
func (c *calls) serve(s *Server, w http.ResponseWriter, r *http.Request) {
	c.passedOn.Add(1)
	c.running.Add(1)
	hasReturned := false
	defer func() {
		c.running.Add(-1)
		switch {
		case !hasReturned:
			s.cfg.CountCalls(Panicked, 1)
			s.cfg.Logger.Error().Str("method", r.Method).Str("path", r.URL.Path).Msg("Handler panicked; the call gets no answer.")
		case s.isStopping.Load():
			c.answeredWhileStopping.Add(1)
			s.cfg.CountCalls(AnsweredWhileStopping, 1)
		}
	}()
	s.cfg.Handler.ServeHTTP(w, r)
	hasReturned = true
}
