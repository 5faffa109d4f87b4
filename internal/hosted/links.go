package hosted

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/member"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/tunnel"
)

// Directory is the list of instances in the platform's store.
type Directory interface {
	platform.LiveList
	// Secret returns the shared secret with which instances authenticate to each
	// other.
	Secret(ctx context.Context) ([]byte, error)
	// Register adds or replaces the entry of an instance.
	Register(ctx context.Context, m peer.Member) error
	// Restore writes the entry of an instance and the shared secret again if the store,
	// back from an older copy, lacks them or has another secret. It returns the names of
	// the entries that it has written.
	Restore(ctx context.Context, m peer.Member, secret []byte) ([]string, error)
	// Remove removes the entries of instances.
	Remove(ctx context.Context, ids ...string) error
}

// Timing of the directory.
const (
	// directoryTimeout bounds one call.
	directoryTimeout = 2 * time.Second
	// directoryRetryPause is the pause after the first failed call; it grows up to
	// maxDirectoryRetryPause, because refused calls are priced too.
	directoryRetryPause    = 300 * time.Millisecond
	maxDirectoryRetryPause = 1200 * time.Millisecond
	// listInterval is the interval of reads of the list. It can be long, since
	// instances also learn of each other by gossip.
	listInterval = 20 * time.Second
	// listTrustPeriod is the time after the start in which listed instances count
	// as members. It covers the first read of the list with its retries.
	listTrustPeriod = 5 * time.Second
)

// links connects the instance to the others once the shared secret has been read
// from the store.
type links struct {
	directory Directory
	self      peer.Member
	fleet     *placement.Fleet
	exchange  *deployment.Exchange
	tunnels   *tunnel.Dialer
	overlay   atomic.Pointer[member.Overlay]
	// secret is the shared secret that the overlay uses; nil before there is an overlay.
	secret atomic.Pointer[[]byte]
}

// ServeHTTP accepts links of other instances.
func (l *links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	overlay := l.overlay.Load()
	if overlay == nil {
		http.Error(w, "not linked yet", http.StatusServiceUnavailable)
		return
	}
	overlay.Handler().ServeHTTP(w, r)
}

// run registers the instance and runs its overlay until ctx ends.
func (l *links) run(ctx context.Context) error {
	secret, err := retryUntilDone(ctx, "reading the link secret", l.directory.Secret)
	if err != nil {
		return err
	}
	overlay, err := member.New(member.Options{
		Self:     l.self,
		Secret:   secret,
		LiveList: l.directory,
		Timing:   member.Timing{ListInterval: listInterval, ListTrustPeriod: listTrustPeriod},
	})
	if err != nil {
		return err
	}
	l.secret.Store(&secret)
	l.fleet.SetBus(overlay)
	l.exchange.SetBus(overlay)
	l.tunnels.SetBus(overlay)
	l.overlay.Store(overlay)
	metrics.RegisterSet(overlay.Metrics())
	_, err = retryUntilDone(ctx, "registering the instance", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, l.directory.Register(ctx, l.self)
	})
	if err != nil {
		return err
	}
	log.WithField("address", l.self.Address).Info("instance registered in the directory; joining the overlay")
	go panics.Run(log, func() { l.checkSecret(ctx, overlay) })
	return overlay.Run(ctx)
}

// secretChecks are the pauses before the secret is read again after the start.
var secretChecks = []time.Duration{time.Second, time.Second, 2 * time.Second}

// provenLinks is the number of links from which on the secret is taken to be that of the others
// until the last check.
const provenLinks = 3

// checkSecret reads the secret and the list again some times. If this instance started just
// after the store had come back from an older copy, it may have created a secret, and read
// the list, before the others restored their entries.
func (l *links) checkSecret(ctx context.Context, overlay *member.Overlay) {
	for i, pause := range secretChecks {
		if !sleep.For(ctx, pause) {
			return
		}
		if i < len(secretChecks)-1 && len(overlay.Neighbours()) >= provenLinks {
			continue
		}
		secret, err := l.directory.Secret(ctx)
		if err != nil {
			log.WithError(err).Debug("reading the link secret again failed")
			continue
		}
		if !bytes.Equal(secret, *l.secret.Load()) {
			l.secret.Store(&secret)
			overlay.SetSecret(secret)
			overlay.RefreshList()
			log.Info("link secret replaced by the one of the other instances")
		}
		if len(overlay.Members()) == 1 {
			overlay.RefreshList()
		}
	}
}

// restore writes what this instance keeps in the directory again, once the store has come
// back from an older copy. It does nothing before the instance is linked.
func (l *links) restore(ctx context.Context) error {
	secret := l.secret.Load()
	if secret == nil {
		return nil
	}
	restored, err := l.directory.Restore(ctx, l.self, *secret)
	if len(restored) > 0 {
		log.WithField("entries", restored).Info("directory entries written again")
	}
	return err
}

// leave notifies the others that this instance takes no new work, and removes its
// entry from the directory.
func (l *links) leave(ctx context.Context) {
	if overlay := l.overlay.Load(); overlay != nil {
		overlay.SetLeaving()
	}
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	if err := l.directory.Remove(ctx, l.self.ID); err != nil {
		log.WithError(err).Warn("removing directory entry failed; other instances will detect the departure")
	}
}

// instances returns the number of live instances: the larger of the numbers of
// members and of listed instances, or assumedInstances before the overlay exists.
func (l *links) instances() int {
	overlay := l.overlay.Load()
	if overlay == nil {
		return assumedInstances
	}
	return max(len(overlay.Members()), overlay.Listed())
}

// isWatcher reports whether this instance is a watcher, or is not linked.
func (l *links) isWatcher() bool {
	overlay := l.overlay.Load()
	if overlay == nil {
		return true
	}
	return slices.ContainsFunc(deployment.Watchers(overlay.Members()), l.isSelf)
}

// isLinked reports whether this instance has links to others, or is the only one.
func (l *links) isLinked() bool {
	overlay := l.overlay.Load()
	return overlay != nil && (len(overlay.Neighbours()) > 0 || overlay.Listed() == 1)
}

// hasJoined reports whether this instance has read the list of instances or has a link to one.
func (l *links) hasJoined() bool {
	overlay := l.overlay.Load()
	return overlay != nil && (overlay.Listed() > 0 || len(overlay.Neighbours()) > 0)
}

// isRelay reports whether others follow the store through this instance.
func (l *links) isRelay() bool {
	overlay := l.overlay.Load()
	return overlay != nil && len(overlay.Members()) > 1 && l.isWatcher()
}

// isSelf reports whether a member is this instance.
func (l *links) isSelf(m peer.Member) bool { return m.ID == l.self.ID }

// relays returns the instances through which this one follows the store; none if it
// follows the store by itself.
func (l *links) relays() []string {
	overlay := l.overlay.Load()
	if overlay == nil {
		return nil
	}
	return deployment.RelaysOf(l.self.ID, overlay.Members())
}

// contained makes a call and returns its panic as an error: the store may hold anything.
func contained[T any](ctx context.Context, call func(context.Context) (T, error)) (value T, err error) {
	defer panics.RecoverError(log, &err)
	return call(ctx)
}

// retryUntilDone retries a call to the store until it succeeds or ctx ends.
// Only the first failure is logged as a warning.
func retryUntilDone[T any](ctx context.Context, operation string, call func(context.Context) (T, error)) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = directoryRetryPause, maxDirectoryRetryPause
	for first := true; ; first = false {
		attempt, cancel := context.WithTimeout(ctx, directoryTimeout)
		value, err := contained(attempt, call)
		cancel()
		if err == nil {
			return value, nil
		}
		if first {
			log.WithError(err).Warn("platform store failed while " + operation + "; retrying")
		}
		if !sleep.For(ctx, pause.NextBackOff()) {
			return value, ctx.Err()
		}
	}
}
