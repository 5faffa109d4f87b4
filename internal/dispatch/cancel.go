package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Limits of the canceller.
const (
	// maxPendingCancels bounds the queue; the engine's deadline frees what
	// does not fit.
	maxPendingCancels = 1024
	// cancelWorkers is the number of cancellations under way at once.
	cancelWorkers = 8
	// cancelPause is the wait between two tries.
	cancelPause = 500 * time.Millisecond
	// cancelTries bounds the tries for one cancellation.
	cancelTries = 8
)

// cancellation is one request to cancel at an engine.
type cancellation struct {
	baseURL   string
	requestID string
	deadline  time.Time
}

// canceller tells engines about abandoned requests, so that their memory is
// free long before the deadline.
type canceller struct {
	upstreams Upstreams
	log       logger
	queue     chan cancellation
}

func newCanceller(upstreams Upstreams, log logger) *canceller {
	return &canceller{upstreams: upstreams, log: log, queue: make(chan cancellation, maxPendingCancels)}
}

// add queues a cancellation without blocking.
func (c *canceller) add(item cancellation) {
	select {
	case c.queue <- item:
	default:
		c.log.Warnf("cancel queue is full, leaving request %s to its deadline", item.requestID)
	}
}

// run works on the queue until ctx ends.
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
			c.cancel(ctx, item)
		}
	}
}

// cancel tries until the engine answers, the request's deadline is over, or
// the tries are used up.
func (c *canceller) cancel(ctx context.Context, item cancellation) {
	for range cancelTries {
		if c.upstreams.Cancel(ctx, item.baseURL, item.requestID) == nil {
			return
		}
		if time.Until(item.deadline) < cancelPause || !sleep.For(ctx, cancelPause) {
			return
		}
	}
}
