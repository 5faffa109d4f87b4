// Package sleep provides pauses that end with a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, whichever comes first, and states whether
// the whole of d has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
