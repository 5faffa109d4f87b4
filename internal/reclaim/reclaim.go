// Package reclaim releases orphaned holds of engine memory: streams kept for
// resumption, exports, imports and reservations whose deadline has passed or
// whose owner has crashed or restarted.
//
// Each engine has one sweeper, selected among the members by rendezvous hashing.
// Members need not agree on the sweeper: releasing a hold twice is harmless, and a
// hold is released only for reasons that are true for every instance.
package reclaim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

var log = logging.For("reclaim")

// Intervals and timeouts of the sweeper.
const (
	// sweepInterval is the mean pause between two sweeps.
	sweepInterval = 10 * time.Second
	// ownerGracePeriod is how long an owner must be missing, or a hold without
	// a deadline must have been seen, before the hold may be released.
	ownerGracePeriod = 30 * time.Second
	// noOwnerGracePeriod is how long a hold whose name contains no owner is
	// kept.
	noOwnerGracePeriod = 10 * time.Minute
	// maxClockSkew is the maximum difference between two clocks; a hold is past
	// its deadline only if the deadline is longer ago than this.
	maxClockSkew = 5 * time.Second
	// engineTimeout bounds one call to an engine.
	engineTimeout = 3 * time.Second
)

// maxEngineCalls bounds the concurrent calls to engines of one sweep.
const maxEngineCalls = 8

// HoldClient lists and releases the holds of an engine.
type HoldClient interface {
	Holds(ctx context.Context, engineURL string) (upstream.Holds, error)
	// Release succeeds if the hold is absent.
	Release(ctx context.Context, engineURL, name string) error
}

// Engine is one engine to sweep.
type Engine struct {
	ID  string
	URL string
}

// Options configures a Sweeper.
type Options struct {
	Bus     peer.Bus
	Holds   HoldClient
	Engines func() []Engine
	// Listed, if set, reports whether an instance is on the platform's live
	// list. A listed owner that no member reaches may be partitioned off, so
	// its holds stay until their deadline or until it is removed from the list.
	Listed func(owner string) bool
	// Needed reports whether this instance still needs one of its own holds.
	Needed func(name string) bool
}

// State is the sweeper's state for a dump.
type State struct {
	// Engines are the engines in the last sweep of this instance.
	Engines []string `json:"engines"`
	// Watched is the number of holds with a running grace period.
	Watched int `json:"watched_holds"`
	// Released counts released holds by reason.
	Released map[Reason]int `json:"released"`
	// Failed counts calls to list or release holds that failed.
	Failed int `json:"failed_calls"`
}

// Sweeper sweeps this instance's share of the engines.
type Sweeper struct {
	options Options
	owners  *ownerClient
	// gracePeriods holds the running grace periods; only the goroutine of Run
	// uses it.
	gracePeriods map[holdKey]gracePeriod

	set *metrics.Set

	mu    sync.Mutex
	state State
}

// holdKey identifies a hold of an engine.
type holdKey struct{ engine, name string }

// gracePeriod is a running grace period: the suspicion about a hold and when it
// arose.
type gracePeriod struct {
	suspicion suspicion
	start     time.Time
}

// New returns a sweeper and registers its handler on the bus, which must not
// be started yet.
func New(options Options) *Sweeper {
	s := &Sweeper{options: options, gracePeriods: map[holdKey]gracePeriod{}, set: metrics.NewSet()}
	s.state.Released = map[Reason]int{}
	s.owners = newOwnerClient(options.Bus, options.Needed)
	return s
}

// Metrics returns the sweeper's metrics, to be registered with /metrics.
func (s *Sweeper) Metrics() *metrics.Set { return s.set }

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for {
		select {
		case <-time.After(sweepInterval/2 + rand.N(sweepInterval)):
			panics.Run(log, func() { s.Sweep(ctx) })
		case <-ctx.Done():
			return nil
		}
	}
}

// Dump returns a copy of the sweeper's State.
func (s *Sweeper) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.Released = make(map[Reason]int, len(s.state.Released))
	for reason, n := range s.state.Released {
		state.Released[reason] = n
	}
	return state
}

// listing is the result of listing the holds of one engine.
type listing struct {
	engine Engine
	holds  []upstream.Hold
	err    error
}

// Sweep sweeps this instance's share of the engines once. It must not be
// called concurrently with itself or Run.
func (s *Sweeper) Sweep(ctx context.Context) {
	members := s.options.Bus.Members()
	self := s.options.Bus.Self().ID
	var assigned []Engine
	for _, e := range s.options.Engines() {
		if sweeperOf(e.ID, members) == self {
			assigned = append(assigned, e)
		}
	}
	listings := s.list(ctx, assigned)
	s.owners.reset()
	kept := map[holdKey]gracePeriod{}
	for _, l := range listings {
		if l.err != nil {
			s.keepGracePeriods(l.engine, kept)
			continue
		}
		for _, hold := range l.holds {
			s.sweepHold(ctx, l.engine, hold, members, kept)
		}
	}
	s.gracePeriods = kept
	s.recordSweep(assigned, len(kept))
}

// list lists the holds of the engines, with at most maxEngineCalls calls at a time.
func (s *Sweeper) list(ctx context.Context, engines []Engine) []listing {
	listings := make([]listing, len(engines))
	slots := make(chan struct{}, maxEngineCalls)
	var wg sync.WaitGroup
	for i, e := range engines {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			listings[i].engine = e
			defer panics.RecoverError(log.WithField("upstream", e.ID), &listings[i].err)
			ctx, cancel := context.WithTimeout(ctx, engineTimeout)
			defer cancel()
			holds, err := s.options.Holds.Holds(ctx, e.URL)
			listings[i].holds, listings[i].err = holds.Holds, err
		})
	}
	wg.Wait()
	return listings
}

// keepGracePeriods keeps the grace periods of an engine whose holds could not be
// listed, and counts the failure.
func (s *Sweeper) keepGracePeriods(e Engine, kept map[holdKey]gracePeriod) {
	for key, grace := range s.gracePeriods {
		if key.engine == e.ID {
			kept[key] = grace
		}
	}
	s.countFailure()
}

// sweepHold classifies one hold and releases it if there is a reason to.
func (s *Sweeper) sweepHold(ctx context.Context, e Engine, hold upstream.Hold, members []peer.Member, kept map[holdKey]gracePeriod) {
	now := time.Now()
	reason, newSuspicion := classify(hold, members, now)
	key := holdKey{e.ID, hold.Name}
	if newSuspicion != notSuspected {
		grace, ok := s.gracePeriods[key]
		if !ok || grace.suspicion != newSuspicion {
			grace = gracePeriod{suspicion: newSuspicion, start: now}
		}
		reason = s.resolve(ctx, &grace, hold.Name, now)
		kept[key] = grace
	}
	if reason == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	if err := s.options.Holds.Release(ctx, e.URL, hold.Name); err != nil {
		s.countFailure()
		return
	}
	delete(kept, key)
	log.Infof("hold released: %d tokens of %s on %s: %s", hold.Tokens, hold.Name, e.ID, reason)
	s.set.GetOrCreateCounter(`banyanroute_holds_released_total{reason="` + string(reason) + `"}`).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Released[reason]++
}

// resolve returns a reason to release a suspected hold. A missing owner is
// queried in each sweep: it counts as gone only if it was unreachable for the
// whole grace period.
func (s *Sweeper) resolve(ctx context.Context, grace *gracePeriod, name string, now time.Time) Reason {
	expired := now.Sub(grace.start) >= grace.suspicion.gracePeriodLength()
	switch {
	case grace.suspicion == noOwner && expired:
		return ReasonNoOwner
	case grace.suspicion == noOwner, grace.suspicion == noDeadline && !expired:
		return ""
	}
	got := s.owners.isNeeded(ctx, name)
	switch {
	case got == answerNeeded:
		grace.start = now
	case got == answerNotNeeded && expired:
		return ReasonNotNeeded
	case got == answerUnreachable && expired && grace.suspicion == ownerMissing && !s.listed(name):
		return ReasonOwnerGone
	}
	return ""
}

// listed reports whether the owner of a hold is on the live list.
func (s *Sweeper) listed(name string) bool {
	parsed, ok := parseName(name)
	return ok && s.options.Listed != nil && s.options.Listed(parsed.owner)
}

// countFailure counts a failed call to an engine.
func (s *Sweeper) countFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Failed++
	s.set.GetOrCreateCounter("banyanroute_hold_calls_failed_total").Inc()
}

// recordSweep updates the state for a dump.
func (s *Sweeper) recordSweep(assigned []Engine, watched int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Engines = s.state.Engines[:0:0]
	for _, e := range assigned {
		s.state.Engines = append(s.state.Engines, e.ID)
	}
	s.state.Watched = watched
}
