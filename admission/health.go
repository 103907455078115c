package admission

import "time"

// health is what a gateway learned of a minion.
type health struct {
	failures int
	tryAfter time.Time
}

const (
	firstPause = 250 * time.Millisecond
	maxPause   = 30 * time.Second
	// declinePause is short, since a minion that declines works as it should.
	declinePause = 50 * time.Millisecond
	maxShift     = 8
)

// with returns h after a result. A failing minion is tried ever more rarely.
func (h health) with(now time.Time, r Result) health {
	switch r.(type) {
	case Answered:
		return health{}
	case Failed, Unreachable:
		pause := min(maxPause, firstPause<<min(h.failures, maxShift))
		h.failures++
		h.tryAfter = now.Add(pause)
		return h
	case Declined:
		h.tryAfter = now.Add(declinePause)
		return h
	case Abandoned, NotSent:
		return h
	}
	return h
}

// isUsable reports whether the minion may be tried now.
func (h health) isUsable(now time.Time) bool {
	return !now.Before(h.tryAfter)
}

// A service is the moving average of the time that requests of one class take.
type service struct {
	mean    time.Duration
	samples int
}

const serviceWeight = 16

func (s service) with(took time.Duration) service {
	if s.samples == 0 {
		s.mean = took
	}
	s.mean += (took - s.mean) / serviceWeight
	s.samples++
	return s
}

// Budget bounds: each answer earns a share of a retry, and a few retries are
// allowed at once.
const (
	retryShare  = 0.1
	maxRetries  = 20.0
	classCount  = 3
	retryCost   = 1.0
	fewRetries  = 10.0
	retryPerSec = 2.0
)
