package hosted

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/poison"
)

// QuarantineStore keeps the records of quarantined requests, and of those that will be with
// their next crash, in the platform's store: all instances may start anew at once.
type QuarantineStore interface {
	// Quarantines returns all records, expired ones included.
	Quarantines(ctx context.Context) ([]poison.Record, error)
	// SaveQuarantine adds or replaces a record.
	SaveQuarantine(ctx context.Context, q poison.Record) error
	// RemoveQuarantines removes records; those that do not exist are ignored.
	RemoveQuarantines(ctx context.Context, fingerprints ...uint64) error
}

// maxQueuedChanges bounds the changes that wait while the store is unavailable.
const maxQueuedChanges = 256

// quarantines reads the quarantined requests when the instance starts, and writes the
// changes that its planner makes.
type quarantines struct {
	store   QuarantineStore
	planner *placement.Planner
	changes chan placement.QuarantineChange
	// loaded reports whether the records have been read.
	loaded atomic.Bool
}

func newQuarantines(store QuarantineStore, planner *placement.Planner) *quarantines {
	q := &quarantines{store: store, planner: planner, changes: make(chan placement.QuarantineChange, maxQueuedChanges)}
	planner.OnQuarantine(q.enqueue)
	return q
}

// enqueue queues a change to be written. It does not block.
func (q *quarantines) enqueue(c placement.QuarantineChange) {
	select {
	case q.changes <- c:
	default:
		log.WithField("fingerprint", c.Fingerprint).Warn("quarantine not stored: too many changes wait for the store; running instances know it")
	}
}

// run reads the records and writes changes until ctx ends.
func (q *quarantines) run(ctx context.Context) error {
	list, err := retryUntilDone(ctx, "reading quarantined requests", q.store.Quarantines)
	if err != nil {
		return err
	}
	now := time.Now()
	var current []poison.Record
	var expired []uint64
	for _, one := range list {
		if one.Expired(now) {
			expired = append(expired, one.Fingerprint)
		} else {
			current = append(current, one)
		}
	}
	q.planner.RestoreQuarantines(current, now)
	q.loaded.Store(true)
	if len(list) > 0 {
		log.WithField("current", len(current)).WithField("expired", len(expired)).Info("quarantined requests read from the store")
	}
	if len(expired) > 0 {
		q.write(ctx, "removing expired quarantines", func(ctx context.Context) error { return q.store.RemoveQuarantines(ctx, expired...) })
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-q.changes:
			q.write(ctx, fmt.Sprintf("writing the quarantine of request %d", c.Fingerprint), func(ctx context.Context) error {
				if c.Released {
					return q.store.RemoveQuarantines(ctx, c.Fingerprint)
				}
				return q.store.SaveQuarantine(ctx, c.Record)
			})
		}
	}
}

// restore writes the quarantines that the store lacks after its return from an older
// copy.
func (q *quarantines) restore(ctx context.Context) error {
	list, err := q.store.Quarantines(ctx)
	if err != nil {
		return err
	}
	stored := map[uint64]bool{}
	for _, one := range list {
		stored[one.Fingerprint] = true
	}
	for _, known := range q.planner.Quarantines(time.Now()) {
		if !stored[known.Fingerprint] {
			q.enqueue(placement.QuarantineChange{Record: known})
		}
	}
	return nil
}

// write retries a write until it succeeds or ctx ends.
func (q *quarantines) write(ctx context.Context, operation string, call func(context.Context) error) {
	_, _ = retryUntilDone(ctx, operation, func(ctx context.Context) (struct{}, error) { // fails only when ctx ends
		return struct{}{}, call(ctx)
	})
}
