package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// A retryReason is the reason of a retry, as the label of the counter of retries.
type retryReason string

// Reasons of retries. The reasons that minions give for declining a request are
// mapped to a few, so that the number of counters stays bounded.
const (
	retrySilent       retryReason = "silent"
	retryUnanswered   retryReason = "broken"
	retryRevoked      retryReason = "revoked"
	retryUnreachable  retryReason = "unreachable"
	retryStartExpired retryReason = "right-to-start-ended"
	retryBusy         retryReason = "declined-busy"
	retryNoLease      retryReason = "declined-no-lease"
	retryDeclined     retryReason = "declined-other"
)

func retryReasons() []retryReason {
	return []retryReason{
		retrySilent, retryUnanswered, retryRevoked, retryUnreachable, retryStartExpired,
		retryBusy, retryNoLease, retryDeclined,
	}
}

// retryReasonOf returns the retry reason for the reason that a minion gave for
// declining a request.
func retryReasonOf(declineReason string) retryReason {
	switch declineReason {
	case "busy":
		return retryBusy
	case "no-lease":
		return retryNoLease
	}
	return retryDeclined
}

func retryCounter(r retryReason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("gateway_retries_total{reason=%q}", r))
}

func countRetry(r retryReason) {
	retryCounter(r).Inc()
}
