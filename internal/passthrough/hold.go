package passthrough

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Timing of leases of engine memory.
const (
	// holdLease is the duration of a lease. It is short, so that memory is freed soon
	// after its owner crashed; the users allow 4 s.
	holdLease = 3500 * time.Millisecond
	// holdRenewInterval leaves time for a second attempt before the lease expires.
	holdRenewInterval = 1200 * time.Millisecond
	// engineCallTimeout bounds one call to an engine.
	engineCallTimeout = 400 * time.Millisecond
	// maxReleaseAttempts bounds the attempts to release memory; its lease expires
	// anyway.
	maxReleaseAttempts = 3
)

// hold is reserved memory at one engine.
type hold struct {
	engine deployment.Upstream
	name   string
	tokens int
}

// helperError lists the engines that cannot take part in an attempt.
type helperError struct {
	upstreams []string
	cause     error
}

func (e *helperError) Error() string { return e.cause.Error() }

// memoryLease renews holds until it is released.
type memoryLease struct {
	reserver Reserver
	holds    []hold
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// reserve reserves all holds or none, and renews them for up to remaining.
func (h *Handler) reserve(ctx context.Context, holds []hold, remaining time.Duration) (*memoryLease, error) {
	l := &memoryLease{reserver: h.opts.Reserver, holds: holds}
	if err := l.reserveAll(ctx); err != nil {
		go panics.Run(log, l.releaseAll)
		return nil, err
	}
	renewing, cancel := context.WithTimeout(context.Background(), remaining)
	l.cancel = cancel
	l.done.Go(func() { panics.Restart(renewing, log, l.renew) })
	return l, nil
}

// reserveAll reserves or renews all holds concurrently.
func (l *memoryLease) reserveAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	errs := make([]error, len(l.holds))
	var wait sync.WaitGroup
	for i, one := range l.holds {
		wait.Go(func() {
			defer panics.RecoverError(log, &errs[i])
			errs[i] = l.reserver.Reserve(ctx, one.engine, one.name, one.tokens, holdLease)
		})
	}
	wait.Wait()
	refused := &helperError{cause: errors.Join(errs...)}
	for i, err := range errs {
		if err != nil {
			refused.upstreams = append(refused.upstreams, l.holds[i].engine.ID)
		}
	}
	if refused.cause == nil {
		return nil
	}
	return refused
}

// renew renews the holds until ctx ends.
func (l *memoryLease) renew(ctx context.Context) {
	_ = sleep.Every(ctx, holdRenewInterval, func() { // returns only when ctx ends
		if err := l.reserveAll(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).Warn("renewing reserved engine memory failed")
		}
	})
}

// release releases the holds without blocking the caller.
func (l *memoryLease) release() {
	l.cancel()
	go panics.Run(log, func() {
		l.done.Wait()
		l.releaseAll()
	})
}

// releaseAll starts the release of all holds, each with retries.
func (l *memoryLease) releaseAll() {
	for _, one := range l.holds {
		go panics.Run(log, func() {
			var err error
			for range maxReleaseAttempts {
				ctx, cancel := context.WithTimeout(context.Background(), engineCallTimeout)
				err = l.reserver.Release(ctx, one.engine, one.name)
				cancel()
				if err == nil {
					return
				}
			}
			log.WithError(err).WithField("reservation", one.name).Warn("releasing reserved engine memory failed; its lease will expire")
		})
	}
}

// sortReservedFirst moves helpers with a reservation to the front.
func sortReservedFirst(helpers []Helper) {
	slices.SortStableFunc(helpers, func(a, b Helper) int {
		switch {
		case a.Reservation != "" && b.Reservation == "":
			return -1
		case a.Reservation == "" && b.Reservation != "":
			return 1
		}
		return 0
	})
}
