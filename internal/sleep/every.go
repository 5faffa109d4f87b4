package sleep

import (
	"context"
	"time"
)

// Every calls f each d until ctx ends, and returns why it ended.
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
