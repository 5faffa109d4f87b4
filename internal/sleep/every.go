package sleep

import (
	"context"
	"time"
)

// Every calls f at intervals of d until ctx ends, and returns the error of ctx.
func Every(ctx context.Context, d time.Duration, f func()) error {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f()
		}
	}
}
