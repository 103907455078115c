package admission

import "time"

// health is a gateway's record of a minion's recent failures.
type health struct {
	// failures counts the failures since the last answer.
	failures int
	retryAt  time.Time
}

// Backoff after a failure: it doubles with each one in a row, from
// initialBackoff up to maxBackoff.
const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// declineBackoff is short, since a minion that declines a request works as
	// it should.
	declineBackoff = 50 * time.Millisecond
	// maxBackoffShift bounds the doubling, so that the shift cannot overflow.
	maxBackoffShift = 8
)

// with returns h after a request has ended on the minion.
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

// isRetryDue reports whether the backoff has ended, so that the minion may be
// given requests.
func (h health) isRetryDue(now time.Time) bool {
	return !now.Before(h.retryAt)
}

// A serviceTime is the exponential moving average of the service time of
// requests of one class.
type serviceTime struct {
	mean    time.Duration
	samples int
}

// serviceTimeDivisor is the inverse of the weight of a new sample.
const serviceTimeDivisor = 16

func (s serviceTime) with(sample time.Duration) serviceTime {
	if s.samples == 0 {
		s.mean = sample
	}
	s.mean += (sample - s.mean) / serviceTimeDivisor
	s.samples++
	return s
}

// The retry budget bounds how many requests are retried or hedged, so that they
// stay a small share of the requests that are answered.
const (
	// retriesPerAnswer is how much each answer adds to the budget.
	retriesPerAnswer = 0.1
	// maxRetryBudget bounds a burst of retries.
	maxRetryBudget = 20.0
	// classCount is the number of priority classes.
	classCount = 3
	// retryCost is what one retry or hedge takes from the budget.
	retryCost = 1.0
	// initialRetryBudget is the budget when the gateway starts.
	initialRetryBudget = 10.0
	// retriesPerSecond is how fast the budget grows without answers.
	retriesPerSecond = 2.0
)
