package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestFor checks that a wait takes its full duration unless the context ends first.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		if !For(ctx, 2*time.Second) || time.Since(start) != 2*time.Second {
			t.Errorf("wait of 2 s ended after %v, want 2 s", time.Since(start))
		}
		if For(ctx, 2*time.Second) || time.Since(start) != 3*time.Second {
			t.Errorf("wait beyond the end of the context ended after %v in total, want 3 s", time.Since(start))
		}
	})
}

// TestEvery checks the number of calls until the context ends, and the error.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		if err := Every(ctx, time.Second, func() { calls++ }); err == nil || calls != 3 {
			t.Errorf("%d calls in 3.5 s with error %v, want 3 calls and the error of the context", calls, err)
		}
	})
}
