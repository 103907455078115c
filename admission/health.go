package admission

import "time"

// health is what a gateway learned of a minion.
type health struct {
	failures int
	retryAt  time.Time
}

const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// declineBackoff is short, since a minion that declines works as it should.
	declineBackoff  = 50 * time.Millisecond
	maxBackoffShift = 8
)

// with returns h after a result. A failing minion is tried ever more rarely.
func (h health) with(now time.Time, r Result) health {
	switch r.(type) {
	case Answered:
		return health{}
	case Failed, Unreachable:
		backoff := min(maxBackoff, initialBackoff<<min(h.failures, maxBackoffShift))
		h.failures++
		h.retryAt = now.Add(backoff)
		return h
	case Declined:
		h.retryAt = now.Add(declineBackoff)
		return h
	case Abandoned, NotSent:
		return h
	}
	return h
}

// isRetryDue reports whether the minion may be tried now.
func (h health) isRetryDue(now time.Time) bool {
	return !now.Before(h.retryAt)
}

// A serviceTime is the moving average of the time that requests of one class take.
type serviceTime struct {
	mean    time.Duration
	samples int
}

const serviceTimeDivisor = 16

func (s serviceTime) with(sample time.Duration) serviceTime {
	if s.samples == 0 {
		s.mean = sample
	}
	s.mean += (sample - s.mean) / serviceTimeDivisor
	s.samples++
	return s
}

// Budget bounds: each answer earns a share of a retry, and a few retries are
// allowed at once.
const (
	retriesPerAnswer   = 0.1
	maxRetryBudget     = 20.0
	classCount         = 3
	retryCost          = 1.0
	initialRetryBudget = 10.0
	retriesPerSecond   = 2.0
)
