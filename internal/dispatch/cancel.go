package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Limits of the canceller.
const (
	// maxPendingCancels bounds the queue. A request whose cancellation does not
	// fit ends at its deadline, which the engine enforces.
	maxPendingCancels = 1024
	// cancelWorkers is the number of cancellations sent concurrently.
	cancelWorkers = 8
	// cancelRetryInterval is the wait between two attempts.
	cancelRetryInterval = 500 * time.Millisecond
	// maxCancelAttempts bounds the attempts for one cancellation.
	maxCancelAttempts = 8
)

// cancellation identifies a request to cancel on an engine.
type cancellation struct {
	baseURL   string
	requestID string
	deadline  time.Time
}

// canceller cancels abandoned requests on their engines, so that their memory is
// released long before the deadline.
type canceller struct {
	upstreams Upstreams
	queue     chan cancellation
}

func newCanceller(upstreams Upstreams) *canceller {
	return &canceller{upstreams: upstreams, queue: make(chan cancellation, maxPendingCancels)}
}

// add queues a cancellation without blocking.
func (c *canceller) add(item cancellation) {
	select {
	case c.queue <- item:
	default:
		log.Warnf("cancellation dropped: queue full, request %s ends at its deadline", item.requestID)
	}
}

// run sends the queued cancellations until ctx ends.
func (c *canceller) run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range cancelWorkers {
		workers.Go(func() { c.work(ctx) })
	}
	workers.Wait()
	return nil
}

func (c *canceller) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-c.queue:
			panics.Run(log.WithField("request", item.requestID), func() { c.cancel(ctx, item) })
		}
	}
}

// cancel retries until the engine confirms the cancellation, the request's
// deadline is near, or the attempts are used up.
func (c *canceller) cancel(ctx context.Context, item cancellation) {
	for range maxCancelAttempts {
		if c.upstreams.Cancel(ctx, item.baseURL, item.requestID) == nil {
			return
		}
		if time.Until(item.deadline) < cancelRetryInterval || !sleep.For(ctx, cancelRetryInterval) {
			return
		}
	}
}
