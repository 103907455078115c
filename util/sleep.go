package util

import (
	"context"
	"time"
)

// SleepContext returns after d, or earlier if ctx ends.
func SleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
