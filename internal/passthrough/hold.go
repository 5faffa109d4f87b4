package passthrough

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Leases of engine memory.
const (
	// holdLease is short, so that memory is free soon after its owner died; the
	// users allow 4 s.
	holdLease = 3500 * time.Millisecond
	// holdRenewal leaves time for a second try before the lease ends.
	holdRenewal = 1200 * time.Millisecond
	// orderTimeout bounds one order to an engine.
	orderTimeout = 400 * time.Millisecond
	// releaseTries bounds the tries to give memory back; it runs out anyhow.
	releaseTries = 3
)

// hold is reserved memory at one engine.
type hold struct {
	upstream string
	address  string
	name     string
	tokens   int
}

// noMemory says which engines did not reserve memory.
type noMemory struct {
	upstreams []string
	cause     error
}

func (e *noMemory) Error() string { return e.cause.Error() }

// memoryLease keeps holds alive until it is released.
type memoryLease struct {
	reserver Reserver
	holds    []hold
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// reserve takes all holds or none, and renews them for up to remaining.
func (h *Handler) reserve(ctx context.Context, holds []hold, remaining time.Duration) (*memoryLease, error) {
	l := &memoryLease{reserver: h.opts.Reserver, holds: holds}
	if err := l.takeAll(ctx); err != nil {
		go l.releaseAll()
		return nil, err
	}
	renewing, cancel := context.WithTimeout(context.Background(), remaining)
	l.cancel = cancel
	l.done.Go(func() { l.renew(renewing) })
	return l, nil
}

// takeAll reserves or renews all holds at the same time.
func (l *memoryLease) takeAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	errs := make([]error, len(l.holds))
	var wait sync.WaitGroup
	for i, one := range l.holds {
		wait.Go(func() { errs[i] = l.reserver.Reserve(ctx, one.address, one.name, one.tokens, holdLease) })
	}
	wait.Wait()
	refused := &noMemory{cause: errors.Join(errs...)}
	for i, err := range errs {
		if err != nil {
			refused.upstreams = append(refused.upstreams, l.holds[i].upstream)
		}
	}
	if refused.cause == nil {
		return nil
	}
	return refused
}

// renew keeps the holds until ctx ends.
func (l *memoryLease) renew(ctx context.Context) {
	_ = sleep.Every(ctx, holdRenewal, func() { // ends with ctx only
		if err := l.takeAll(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).Warn("Reserved engine memory could not be renewed.")
		}
	})
}

// release gives the holds back without blocking the caller.
func (l *memoryLease) release() {
	l.cancel()
	go func() {
		l.done.Wait()
		l.releaseAll()
	}()
}

func (l *memoryLease) releaseAll() {
	for _, one := range l.holds {
		go func() {
			var err error
			for range releaseTries {
				ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
				err = l.reserver.Release(ctx, one.address, one.name)
				cancel()
				if err == nil {
					return
				}
			}
			log.WithError(err).WithField("reservation", one.name).Warn("Reserved engine memory could not be released; its lease runs out.")
		}()
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
