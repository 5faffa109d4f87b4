package gang

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

var log = logging.For("gang")

// Times of an acquisition.
const (
	// firstPause and longestPause bound the pause between two tries for
	// memory on one engine.
	firstPause   = 20 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// holdTime is how long parts are held while another is waited for.
	holdTime = 10 * time.Second
	// releaseTimeout bounds the release of all parts.
	releaseTimeout = 5 * time.Second
)

// Reservation is one part that is held.
type Reservation struct {
	Share
	Name string
}

// Acquirer reserves all parts of a prompt, or none. Each part is reserved in
// the order of the engines' IDs, which is the same in all instances: of two
// prompts that need common engines, the one that gets the first of them gets
// the others too, so that neither can block the other for good.
type Acquirer struct {
	reserver Reserver
}

// NewAcquirer returns an Acquirer that uses reserver.
func NewAcquirer(reserver Reserver) *Acquirer { return &Acquirer{reserver: reserver} }

// Acquire reserves shares, which must be in Plan's order, under names that
// begin with prefix. It waits for memory until ctx ends. The reservations end
// by themselves at deadline. After an error nothing is held.
func (a *Acquirer) Acquire(ctx context.Context, prefix string, shares []Share, deadline time.Time) ([]Reservation, error) {
	for round := 1; ; round++ {
		held, err := a.tryAll(ctx, fmt.Sprintf("%s-%d", prefix, round), shares, deadline)
		if err == nil {
			return held, nil
		}
		a.Release(ctx, held)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		if !errors.Is(err, ErrNoMemory) {
			return nil, err
		}
		if err := sleep(ctx, jitter(longestPause)); err != nil {
			return nil, err
		}
	}
}

// tryAll reserves the shares one after another. After an error it returns what
// may be held.
func (a *Acquirer) tryAll(ctx context.Context, prefix string, shares []Share, deadline time.Time) ([]Reservation, error) {
	var held []Reservation
	for i, share := range shares {
		r := Reservation{Share: share, Name: fmt.Sprintf("%s-%d", prefix, i)}
		held = append(held, r)
		if err := a.tryOne(ctx, r, deadline, i > 0); err != nil {
			return held, err
		}
	}
	return held, nil
}

// tryOne reserves one part, trying again while the engine has no memory. If
// other parts are held, it gives up after holdTime.
func (a *Acquirer) tryOne(ctx context.Context, r Reservation, deadline time.Time, holding bool) error {
	giveUp := time.Now().Add(holdTime)
	request := upstream.ReserveRequest{Name: r.Name, Tokens: r.Tokens, DeadlineUnixMs: deadline.UnixMilli()}
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		err := a.reserver.Reserve(ctx, r.UpstreamID, request)
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrNoMemory) {
			return &EngineError{UpstreamID: r.UpstreamID, Cause: err}
		}
		if holding && time.Now().After(giveUp) {
			return err
		}
		if err := sleep(ctx, jitter(pause)); err != nil {
			return err
		}
	}
}

// Release frees reservations, also after ctx has ended. A reservation that
// cannot be freed ends at its deadline.
func (a *Acquirer) Release(ctx context.Context, held []Reservation) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for _, r := range held {
		if err := a.reserver.Release(ctx, r.UpstreamID, r.Name); err != nil {
			log.WithError(err).WithField("upstream", r.UpstreamID).Warn("reservation not released; it ends at its deadline")
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// jitter returns a time between a half and the whole of d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
