// Package sleep provides waits and ticker loops that a context can end.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, whichever comes first, and reports whether d
// has passed in full.
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
