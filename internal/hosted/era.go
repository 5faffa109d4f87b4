package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// maxRestoreDelay spreads the calls of all instances after the store has come back.
const maxRestoreDelay = time.Second

// restorer writes again what this instance keeps in the store, each time that the store
// has come back from an older copy.
type restorer struct {
	// eras holds the newest era that is not handled yet.
	eras  chan int64
	parts []func(ctx context.Context) error
}

func newRestorer(parts ...func(ctx context.Context) error) *restorer {
	return &restorer{eras: make(chan int64, 1), parts: parts}
}

// enter records a new era. It does not block.
func (r *restorer) enter(era int64) {
	select {
	case r.eras <- era:
	default: // the pending one is handled by reading the store as it is then
	}
}

// run handles new eras until ctx ends.
func (r *restorer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case era := <-r.eras:
			sleep.For(ctx, rand.N(maxRestoreDelay))
			for _, part := range r.parts {
				_, err := retryUntilDone(ctx, "restoring entries", func(ctx context.Context) (struct{}, error) { return struct{}{}, part(ctx) })
				if err != nil {
					return err
				}
			}
			log.WithField("era", era).Info("entries checked after the platform store came back from an older copy")
		}
	}
}
