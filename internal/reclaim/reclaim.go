// Package reclaim releases orphaned holds of engine memory: streams kept for
// resumption, exports, imports and reservations whose deadline has passed or
// whose owner has crashed or restarted.
//
// Each engine has one sweeper, selected among the members by rendezvous hashing.
// Sweepers need not agree: releasing a hold twice is harmless, and a hold is
// released only on grounds that are true for every instance.
package reclaim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

var log = logging.For("reclaim")

// Times of the sweeper.
const (
	// sweepInterval is the mean pause between two sweeps.
	sweepInterval = 10 * time.Second
	// ownerGrace is how long an owner must be missing, or a hold without a
	// deadline be listed, before the hold may be released.
	ownerGrace = 30 * time.Second
	// noOwnerGrace is how long a hold whose name gives no owner is kept.
	noOwnerGrace = 10 * time.Minute
	// deadlineMargin covers differences between clocks.
	deadlineMargin = 5 * time.Second
	// engineTimeout bounds one call to an engine.
	engineTimeout = 3 * time.Second
)

// maxEngineCalls bounds the calls to engines that one sweep makes at a time.
const maxEngineCalls = 8

// HoldLister lists and releases the holds of an engine.
type HoldLister interface {
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
	Holds   HoldLister
	Engines func() []Engine
	// Listed, if set, states whether the platform's live list shows an
	// instance. A listed owner that no member reaches may be cut off, so its
	// holds stay until their deadline or until the list drops it.
	Listed func(owner string) bool
	// Needed states whether this instance still needs a hold of its own.
	Needed func(name string) bool
}

// State is the sweeper's state for a dump.
type State struct {
	// Engines are the engines that this instance swept last.
	Engines []string `json:"engines"`
	// Watched is the number of holds with a grace period under way.
	Watched int `json:"watched_holds"`
	// Released counts released holds by reason.
	Released map[Reason]int `json:"released"`
	// Failed counts lists and releases that the engine did not answer.
	Failed int `json:"failed_calls"`
}

// Sweeper sweeps this instance's share of the engines.
type Sweeper struct {
	options Options
	owners  *ownerClient
	// watches holds the grace periods under way; only Run's goroutine uses
	// it.
	watches map[watchKey]watch

	set *metrics.Set

	mu    sync.Mutex
	state State
}

// watchKey identifies a hold of an engine.
type watchKey struct{ engine, name string }

// watch is a grace period: the suspicion about a hold and its start.
type watch struct {
	suspicion suspicion
	start     time.Time
}

// New returns a sweeper and registers its handler on the bus, which must not
// be started yet.
func New(options Options) *Sweeper {
	s := &Sweeper{options: options, watches: map[watchKey]watch{}, set: metrics.NewSet()}
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
			s.Sweep(ctx)
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

// listing holds one engine's holds, or the error of the call.
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
	var mine []Engine
	for _, e := range s.options.Engines() {
		if sweeperOf(e.ID, members) == self {
			mine = append(mine, e)
		}
	}
	listings := s.list(ctx, mine)
	s.owners.reset()
	kept := map[watchKey]watch{}
	for _, l := range listings {
		if l.err != nil {
			s.keepWatches(l.engine, kept)
			continue
		}
		for _, hold := range l.holds {
			s.sweepHold(ctx, l.engine, hold, members, kept)
		}
	}
	s.watches = kept
	s.recordSweep(mine, len(kept))
}

// list asks the engines for their holds, a few at a time.
func (s *Sweeper) list(ctx context.Context, engines []Engine) []listing {
	listings := make([]listing, len(engines))
	slots := make(chan struct{}, maxEngineCalls)
	var wg sync.WaitGroup
	for i, e := range engines {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, engineTimeout)
			defer cancel()
			holds, err := s.options.Holds.Holds(ctx, e.URL)
			listings[i] = listing{engine: e, holds: holds.Holds, err: err}
		})
	}
	wg.Wait()
	return listings
}

// keepWatches keeps the grace periods of an engine that did not answer.
func (s *Sweeper) keepWatches(e Engine, kept map[watchKey]watch) {
	for key, w := range s.watches {
		if key.engine == e.ID {
			kept[key] = w
		}
	}
	s.countFailure()
}

// sweepHold classifies one hold and releases it if there is a reason.
func (s *Sweeper) sweepHold(ctx context.Context, e Engine, hold upstream.Hold, members []peer.Member, kept map[watchKey]watch) {
	now := time.Now()
	reason, suspected := classify(hold, members, now)
	key := watchKey{e.ID, hold.Name}
	if suspected != notSuspected {
		w, ok := s.watches[key]
		if !ok || w.suspicion != suspected {
			w = watch{suspicion: suspected, start: now}
		}
		reason = s.resolve(ctx, &w, hold.Name, now)
		kept[key] = w
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
	log.Infof("released %d tokens of %s on %s: %s", hold.Tokens, hold.Name, e.ID, reason)
	s.set.GetOrCreateCounter(`banyanroute_holds_released_total{reason="` + string(reason) + `"}`).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Released[reason]++
}

// resolve returns a reason to release a suspected hold. A missing owner is
// queried in each sweep: it counts as gone only after it was unreachable for the
// whole grace period.
func (s *Sweeper) resolve(ctx context.Context, w *watch, name string, now time.Time) Reason {
	over := now.Sub(w.start) >= w.suspicion.grace()
	switch {
	case w.suspicion == noOwner && over:
		return ReasonUnnamed
	case w.suspicion == noOwner, w.suspicion == noDeadline && !over:
		return ""
	}
	got := s.owners.isNeeded(ctx, name)
	switch {
	case got == answerNeeded:
		w.start = now
	case got == answerNotNeeded && over:
		return ReasonNotNeeded
	case got == answerUnreachable && over && w.suspicion == ownerMissing && !s.listed(name):
		return ReasonOwnerGone
	}
	return ""
}

// listed states whether the live list shows the owner of a hold.
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
func (s *Sweeper) recordSweep(mine []Engine, watched int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Engines = s.state.Engines[:0:0]
	for _, e := range mine {
		s.state.Engines = append(s.state.Engines, e.ID)
	}
	s.state.Watched = watched
}
