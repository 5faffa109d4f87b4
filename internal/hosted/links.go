package hosted

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/member"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Directory lists the instances in the platform's store.
type Directory interface {
	platform.LiveList
	// Secret returns the secret that instances prove to one another.
	Secret(ctx context.Context) ([]byte, error)
	Register(ctx context.Context, m peer.Member) error
	Remove(ctx context.Context, ids ...string) error
}

// Timing of the directory.
const (
	// directoryTimeout bounds one call.
	directoryTimeout = 2 * time.Second
	// directoryRetry is the pause after a failed call.
	directoryRetry = 300 * time.Millisecond
	// listInterval is the time between reads of the list; instances also tell
	// one another.
	listInterval = 20 * time.Second
	// trustList covers the first read of the list, with its retries, after a start.
	trustList = 5 * time.Second
)

// links connects the instance to the others once the store has told it how.
type links struct {
	directory Directory
	self      peer.Member
	fleet     *placement.Fleet
	exchange  *deployment.Exchange
	overlay   atomic.Pointer[member.Overlay]
}

// ServeHTTP takes links of other instances.
func (l *links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	overlay := l.overlay.Load()
	if overlay == nil {
		http.Error(w, "not linked yet", http.StatusServiceUnavailable)
		return
	}
	overlay.Handler().ServeHTTP(w, r)
}

// run registers the instance and keeps its links until ctx ends.
func (l *links) run(ctx context.Context) error {
	secret, err := untilDone(ctx, "reading the secret of links", l.directory.Secret)
	if err != nil {
		return err
	}
	overlay, err := member.New(member.Options{
		Self:     l.self,
		Secret:   secret,
		LiveList: l.directory,
		Timing:   member.Timing{ListInterval: listInterval, TrustList: trustList},
	})
	if err != nil {
		return err
	}
	l.fleet.SetBus(overlay)
	l.exchange.SetBus(overlay)
	l.overlay.Store(overlay)
	metrics.RegisterSet(overlay.Metrics())
	_, err = untilDone(ctx, "registering the instance", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, l.directory.Register(ctx, l.self)
	})
	if err != nil {
		return err
	}
	log.WithField("address", l.self.Address).Info("The instance is in the directory and joins the others.")
	return overlay.Run(ctx)
}

// leave tells the others that this instance takes no new work, and removes its
// entry.
func (l *links) leave(ctx context.Context) {
	if overlay := l.overlay.Load(); overlay != nil {
		overlay.SetLeaving()
	}
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	if err := l.directory.Remove(ctx, l.self.ID); err != nil {
		log.WithError(err).Warn("The instance's entry in the directory could not be removed; others will find it gone.")
	}
}

// instances returns the number of live instances.
func (l *links) instances() int {
	overlay := l.overlay.Load()
	if overlay == nil {
		return assumedInstances
	}
	return max(len(overlay.Members()), overlay.Listed())
}

// untilDone repeats a call to the store until it succeeds or ctx ends.
func untilDone[T any](ctx context.Context, what string, call func(context.Context) (T, error)) (T, error) {
	for first := true; ; first = false {
		attempt, cancel := context.WithTimeout(ctx, directoryTimeout)
		value, err := call(attempt)
		cancel()
		if err == nil {
			return value, nil
		}
		if first {
			log.WithError(err).Warn("The platform's store failed while " + what + "; it is tried again.")
		}
		if !sleep.For(ctx, directoryRetry) {
			return value, ctx.Err()
		}
	}
}
