package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// A retryReason is why a request is tried again.
type retryReason string

// Reasons to try a request again. A minion's own words are folded into a few,
// so that the number of counters is bounded.
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

// declinedFor returns the reason for a minion's word.
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
