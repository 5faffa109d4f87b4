package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		if !For(ctx, 2*time.Second) || time.Since(start) != 2*time.Second {
			t.Errorf("a pause within the context's time ended after %v", time.Since(start))
		}
		if For(ctx, 2*time.Second) || time.Since(start) != 3*time.Second {
			t.Errorf("a pause beyond the context's time ended after %v", time.Since(start))
		}
	})
}

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		if err := Every(ctx, time.Second, func() { calls++ }); err == nil || calls != 3 {
			t.Errorf("%d calls in 3.5 s and error %v, want 3 and the context's error", calls, err)
		}
	})
}
