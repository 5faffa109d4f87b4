package hosted

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestStartDuringOutageCostsFewCalls checks that a call that is retried until the store is back
// is made few times in an outage of 8 s, and soon after it.
func TestStartDuringOutageCostsFewCalls(t *testing.T) {
	const outage, maxCalls, maxDelay = 8 * time.Second, 12, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		calls := 0
		_, err := retryUntilDone(t.Context(), "testing", func(context.Context) (struct{}, error) {
			if time.Since(began) < outage {
				calls++
				return struct{}{}, errors.New("store is away")
			}
			return struct{}{}, nil
		})
		if delay := time.Since(began) - outage; err != nil || calls > maxCalls || delay > maxDelay {
			t.Errorf("error %v, %d calls during the outage, success %s after it; want %d calls at most and %s", err, calls, delay, maxCalls, maxDelay)
		}
	})
}
