package deployment

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

var log = logging.For("deployment")

// ErrHistoryLost is returned if the store no longer has the requested changes.
var ErrHistoryLost = errors.New("store has dropped the requested changes")

// Update is a snapshot of a source at a revision, or the changes up to it.
type Update struct {
	// Complete reports whether Upstreams and Evacuations are complete.
	Complete bool `cbor:"Whole"`
	// Revision is the store's version up to which the update is complete.
	Revision Revision
	// Changed is the version of the newest change in the update; 0 if none.
	Changed Revision
	// Config is set if the update holds a configuration.
	Config *Configuration
	// Upstreams are the new and changed upstreams, or all of them.
	Upstreams []Upstream
	// Removed are the IDs of entries that were removed or cannot be read.
	Removed []string `cbor:"Gone"`
	// Pending lists those of Upstreams whose removal another instance defers.
	Pending []string
	// Fresh reports whether the other instance has followed the store for so short a time
	// that entries which had expired before may still be missing.
	Fresh bool
	// Evacuations is nil if the update says nothing of evacuations. d3ebc58 neither writes nor
	// reads it.
	Evacuations *Evacuations `cbor:",omitempty" wire:"added"`
	// Invalid holds those of Removed whose entries are there and name no upstream, with the reason.
	// It is not passed on to other instances.
	Invalid map[string]string `cbor:"-"`
	// fetched reports whether the update is from another instance.
	fetched bool
}

// Content is the kind of data in a source.
type Content uint8

// Contents of sources.
const (
	Configurations Content = iota + 1
	Upstreams
)

// Source is a table of the platform's store that holds configurations or
// upstreams.
type Source interface {
	// Name returns the name of the source for logs and metrics.
	Name() string
	// Content returns the kind of data in the source.
	Content() Content
	// Read returns a snapshot.
	Read(ctx context.Context) (Update, error)
	// Changes waits up to wait for changes after a revision. It returns
	// ErrHistoryLost if they are no longer available.
	Changes(ctx context.Context, after Revision, wait time.Duration) (Update, error)
}

// Timing of a Follower.
const (
	// pollWait is how long one call waits for changes if others follow the store through this
	// instance, or the last call failed; ownPollWait is how long it waits on other instances.
	// pollSlack is how much longer than requested an answer may take. A connection that delivers no
	// data is noticed within wait and slack, whatever answers keep-alive probes. Both together are
	// less than the 3 s after which a disturbed connection excuses nothing.
	pollWait    = time.Second
	ownPollWait = 2 * time.Second
	pollSlack   = 500 * time.Millisecond
	// olderRelaySlack replaces pollSlack for calls that wait longer because the relays are of a
	// build that says nothing of evacuations.
	olderRelaySlack = time.Second
	// readTimeout bounds the read of a snapshot.
	readTimeout = 3 * time.Second
	// initialRetryPause and maxRetryPause bound the pauses after failed calls: a store
	// that is available again must be noticed well within the seconds in which a
	// configuration must be applied. Refused calls are priced too, so instances of large
	// fleets pause longer, by retryPausePerInstance for each instance. An instance that has
	// no data yet begins with startRetryPause: others may start with it, all at once.
	initialRetryPause     = 50 * time.Millisecond
	startRetryPause       = 300 * time.Millisecond
	maxRetryPause         = 400 * time.Millisecond
	retryPausePerInstance = 10 * time.Millisecond
	maxFleetRetryPause    = 1200 * time.Millisecond
	// idleRetryGrowth and idleRetryJitter replace the usual growth and jitter of the pauses
	// for instances that are not watchers, in fleets of largeFleet instances or more. Once
	// their calls have failed for longOutageShare of the time that a change may take, their
	// pauses are longOutageFactor times longer: the store is away for all, and a watcher tells
	// them when it answers again. The jitter is small, so that the number of calls in an
	// outage is bounded and not only its average.
	idleRetryGrowth  = 4
	idleRetryJitter  = 0.2
	longOutageShare  = 0.5
	longOutageFactor = 2
	largeFleet       = 30
)

// Batching of changes: calls are priced, and each change would wake all instances.
const (
	// batchDelayPerInstance is how long an instance waits for further changes after a
	// change, for each instance of the deployment.
	batchDelayPerInstance = 15 * time.Millisecond
	// maxBatchShare bounds the delay as a fraction of the time to apply a change.
	maxBatchShare = 0.33
	// maxRelayBatchDelay bounds the delay of relays, which are few and pass changes on to the
	// others.
	maxRelayBatchDelay = 100 * time.Millisecond
	// unlinkedBatchDelay is the delay of an instance that has just started. Within it most
	// are linked and need not wait for changes at the store themselves.
	unlinkedBatchDelay = time.Second
)

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	// Instances returns the number of live instances.
	Instances func() int
	// ApplyTimeout returns the time within which a change must be applied.
	ApplyTimeout func() time.Duration
	// UpstreamHeartbeat returns the interval at which upstreams renew their entries.
	UpstreamHeartbeat func() time.Duration
	// EvacuationBound, if set, returns the time within which an evacuation must be in force; 0
	// if the settings do not state it. While they do, the configurations of instances that say
	// nothing of evacuations are not used.
	EvacuationBound func() time.Duration
	// IsWatcher reports whether this instance is one of the few that follow the store themselves.
	IsWatcher func() bool
	// IsLinked, if set, reports whether this instance has links to the others.
	IsLinked func() bool
	// IsRelay, if set, reports whether others follow the store through this instance.
	IsRelay func() bool
	// Relays, if set, returns the instances through which this one follows the store, in the
	// order in which they are asked; none if it follows the store by itself.
	Relays func() []string
	// OnEra, if set, is called when the store has come back from an older copy. It must
	// not block.
	OnEra func(era int64)
	// OnStoreBack, if set, is called on a watcher when the store answers again after failed
	// calls. It must not block.
	OnStoreBack func()
}

// batchDelay returns how long to wait for further changes after a change.
func (o FollowerOptions) batchDelay() time.Duration {
	limit := time.Duration(maxBatchShare * float64(o.ApplyTimeout()))
	delay := time.Duration(o.Instances()) * batchDelayPerInstance
	switch {
	case o.IsLinked != nil && !o.IsLinked():
		delay = unlinkedBatchDelay
	case o.IsRelay != nil && o.IsRelay():
		delay = min(delay, maxRelayBatchDelay)
	}
	return min(delay, limit)
}

// Follower keeps a State up to date from one source.
type Follower struct {
	state   *State
	source  Source
	options FollowerOptions
	// exchange calls other instances, for which this follower has the number index; nil
	// without any.
	exchange *Exchange
	index    int
	relay    relayed

	// complete is the store's version up to which all changes are known, changed the
	// version of the newest change.
	complete revisionCell
	changed  revisionCell
	// catchingUp reports whether the Exchange fetches a newer change that another
	// instance knows.
	catchingUp atomic.Bool
	// fetched receives updates from other instances.
	fetched chan Update
	// storeBack ends the pause after a failed call.
	storeBack chan struct{}
	// packing guards packed, the last snapshot that was compressed for other instances.
	packing sync.Mutex
	packed  packedUpdate
	// eraKnownAt is when the era of complete became known.
	eraKnownAt time.Time
	// settledEra is the era of the last complete list that the store itself has given.
	settledEra int64
	// mu guards the fields below.
	mu sync.Mutex
	// version counts the changes of what is known here, from the start of the process on,
	// so that no other process has the same; news is closed and replaced at each.
	version uint64
	news    chan struct{}
	// answeredAt is when the store last answered this instance itself.
	answeredAt time.Time
	// interrupt cancels the current call for changes.
	interrupt context.CancelFunc
	// batchEnds is when the last wait for further changes ends or has ended.
	batchEnds time.Time
	// startedAt is when the first snapshot was applied; zero before that.
	startedAt time.Time
	// confirm is the progress of the calls.
	confirm confirmation
	// outage judges whether missing entries may have expired.
	outage outage
	// pendingRemovals holds upstreams whose entries may have expired, with the time at
	// which they are dropped.
	pendingRemovals map[string]time.Time
	// removed holds the upstreams that were removed lately, and distrusted those of them
	// that an older copy lists again.
	removed map[string]removedUpstream
	// leavingEra holds the upstreams whose entries say that they leave, with the era in which they first
	// did.
	leavingEra map[string]int64
	// invalid holds the entries that name no upstream, with the reason.
	invalid    map[string]string
	distrusted map[string]distrustedUpstream
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(state *State, source Source, options FollowerOptions) *Follower {
	return &Follower{
		state: state, source: source, options: options,
		version: uint64(time.Now().UnixNano()), news: make(chan struct{}),
		fetched: make(chan Update, 1), storeBack: make(chan struct{}, 1),
		confirm:         confirmation{hurry: make(chan struct{}, 1), changed: make(chan struct{})},
		outage:          outage{heartbeat: options.UpstreamHeartbeat},
		pendingRemovals: map[string]time.Time{}, removed: map[string]removedUpstream{}, leavingEra: map[string]int64{}, distrusted: map[string]distrustedUpstream{},
	}
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := f.newBackoff()
	snapshot := true
	for ctx.Err() == nil {
		snapshot = f.beforeCall() || snapshot
		if !snapshot || !f.failingSince().IsZero() {
			switch f.followRelay(ctx) {
			case relayAnswered:
				pause, snapshot = f.newBackoff(), false
				continue
			case relayInterrupted:
				snapshot = true
				continue
			case relayKnowsStoreAway:
				f.waitToRetry(ctx, relayRetryPause)
				continue
			}
		}
		began := time.Now()
		update, err := f.next(ctx, snapshot)
		if err == nil {
			err = f.check(update, snapshot, began)
		}
		now := time.Now()
		if errors.Is(err, errNewEra) {
			snapshot = true
			continue
		}
		if errors.Is(err, context.Canceled) {
			// Interrupted to read the store again, which says nothing about an outage.
			snapshot = true
			continue
		}
		if err != nil {
			snapshot = snapshot || isUnusable(err)
			f.recordFailure(ctx, err, began, now)
			f.waitToRetry(ctx, f.retryPause(pause.NextBackOff()))
			continue
		}
		f.recordAnswer(now)
		before := f.changed.load()
		if err := f.applyContained(update, now); err != nil {
			snapshot = true
			f.recordCall(began, true)
			sleep.For(ctx, pause.NextBackOff())
			continue
		}
		f.recordCall(began, false)
		if before.Before(f.changed.load()) {
			f.announce()
		}
		pause = f.newBackoff()
		snapshot = false
		f.waitForBatch(ctx)
	}
	return ctx.Err()
}

// announce tells the other instances that the store has changed. Those of this build follow the store
// through watchers in fleets of any size; those of 9cd15ac do so from largeFleet instances on.
func (f *Follower) announce() {
	if f.exchange == nil || !f.options.IsWatcher() || f.options.Instances() >= largeFleet {
		return
	}
	f.exchange.announce()
}

// waitForBatch waits for further changes, which the next call then reads together.
func (f *Follower) waitForBatch(ctx context.Context) {
	delay := f.options.batchDelay()
	f.mu.Lock()
	f.batchEnds = time.Now().Add(delay)
	f.mu.Unlock()
	f.pause(ctx, delay)
}

// untilBatchEnds returns how long the follower waits before its next call; not positive if
// it does not wait.
func (f *Follower) untilBatchEnds() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.batchEnds)
}

// retryPause returns the pause after a failed call to the store, given the usual one.
func (f *Follower) retryPause(usual time.Duration) time.Duration {
	longOutage := time.Duration(longOutageShare * float64(f.options.ApplyTimeout()))
	if f.isIdle() && time.Since(f.failingSince()) > longOutage {
		return usual * longOutageFactor
	}
	return usual
}

// waitToRetry waits before a failed call is made again, but not longer than until another
// instance tells that the store answers.
func (f *Follower) waitToRetry(ctx context.Context, pause time.Duration) {
	select {
	case <-f.storeBack:
		f.relay.avoided = nil
	case <-f.confirm.hurry:
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// isIdle reports whether the instance leaves it to the watchers of a large fleet to notice that
// the store is back.
func (f *Follower) isIdle() bool {
	return f.options.Instances() >= largeFleet && !f.options.IsWatcher()
}

// failingSince returns when the first call failed after the store's last answer; zero if none
// has.
func (f *Follower) failingSince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage.failingSince
}

// retryNow ends the pause after a failed call.
func (f *Follower) retryNow() {
	if f.failingSince().IsZero() {
		return
	}
	select {
	case f.storeBack <- struct{}{}:
	default: // it is told already
	}
}

// newBackoff returns a backoff with jitter, so that the instances do not all retry at
// the same time.
func (f *Follower) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryPause
	b.MaxInterval = min(maxRetryPause+time.Duration(f.options.Instances())*retryPausePerInstance, maxFleetRetryPause)
	if f.complete.load() == (Revision{}) {
		b.InitialInterval = startRetryPause
	}
	if f.isIdle() {
		b.Multiplier, b.RandomizationFactor = idleRetryGrowth, idleRetryJitter
	}
	b.Reset()
	return b
}

// next reads a snapshot or waits for changes.
func (f *Follower) next(ctx context.Context, snapshot bool) (u Update, err error) {
	defer panics.RecoverError(log.WithField("table", f.source.Name()), &err)
	if snapshot {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return f.source.Read(ctx)
	}
	wait, slack := ownPollWait, pollSlack
	if f.options.IsRelay != nil && f.options.IsRelay() || !f.failingSince().IsZero() {
		wait = pollWait
	}
	if time.Now().Before(f.relay.olderUntil) && f.failingSince().IsZero() && !f.options.IsWatcher() {
		// Its relays cannot be used for some time, and in a large fleet short calls cost much.
		wait, slack = max(f.evacuationBound()/2, wait), olderRelaySlack
	}
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	f.setInterrupt(cancel)
	return f.source.Changes(ctx, f.complete.load(), wait)
}

// refresh cancels the current call for changes, so that a snapshot is read over another
// connection.
func (f *Follower) refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt()
	}
}

// offer passes an update from another instance to the follower.
func (f *Follower) offer(u Update) {
	u.fetched = true
	select {
	case f.fetched <- u:
	default: // the pending update is about as new
	}
}

// applyFetched applies an update from another instance if it is newer.
func (f *Follower) applyFetched() {
	select {
	case u := <-f.fetched:
		if u.Evacuations == nil && f.needsEvacuations() {
			log.WithField("table", f.source.Name()).WithField("revision", u.Revision).
				Info("update from another instance ignored; it says nothing of evacuations")
			return
		}
		if f.liftsKeyCheck(u.Config) {
			log.WithError(errKeysLifted).WithField("table", f.source.Name()).WithField("revision", u.Revision).
				Info("update from another instance ignored; the store is read")
			return
		}
		if f.complete.load().Before(u.Revision) {
			log.WithField("table", f.source.Name()).WithField("revision", u.Revision).
				Info("update from another instance applied")
			_ = f.applyContained(u, time.Now()) // logged; the store is read all the same
		}
	default:
	}
}

// snapshot returns all known data of the source.
func (f *Follower) snapshot() Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The revision first: the view may be newer, but must not be older.
	u := Update{Complete: true, Revision: f.complete.load(), Changed: f.changed.load()}
	v := f.state.View()
	if f.source.Content() == Configurations {
		u.Config = v.Config
		u.Evacuations = &Evacuations{Set: v.Evacuations()}
		return u
	}
	for _, up := range v.upstreams {
		u.Upstreams = append(u.Upstreams, up)
	}
	u.Pending = slices.Sorted(maps.Keys(f.pendingRemovals))
	u.Fresh = time.Since(f.startedAt) < reappearTimeout
	return u
}

// isUnusable reports whether the store answered a call, but not with what was asked for.
func isUnusable(err error) bool {
	return errors.Is(err, ErrHistoryLost) || errors.Is(err, errStale) || errors.Is(err, errLateEra)
}

// recordFailure records that a call to the store, which began at the given time, failed or got an
// unusable answer.
func (f *Follower) recordFailure(ctx context.Context, err error, began, now time.Time) {
	f.recordCall(began, true)
	entry := log.WithField("table", f.source.Name()).WithField("revision", f.complete.load()).WithError(err)
	if isUnusable(err) {
		f.recordAnswer(now)
		entry.Info("answer of the platform store cannot be used; reading a snapshot")
		return
	}
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	first := f.outage.failed(now)
	f.wake()
	f.mu.Unlock()
	if first {
		metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_store_lost_total{table=%q}`, f.source.Name())).Inc()
		entry.Warn("platform store unavailable; known configuration and upstreams remain active")
	}
}

// recordAnswer records that the store answered a call.
func (f *Follower) recordAnswer(now time.Time) {
	f.mu.Lock()
	again := f.outage.answered(f.state.View(), now)
	f.answeredAt = now
	f.mu.Unlock()
	if again {
		log.WithField("table", f.source.Name()).WithField("revision", f.complete.load()).Info("platform store available again")
		if f.options.OnStoreBack != nil && f.options.IsWatcher() {
			f.options.OnStoreBack()
		}
	}
}

// applyContained applies an update and returns a panic as an error.
func (f *Follower) applyContained(u Update, now time.Time) (err error) {
	defer panics.RecoverError(log.WithField("table", f.source.Name()), &err)
	f.apply(u, now)
	if u.Complete || u.Config != nil || u.Evacuations != nil || len(u.Upstreams)+len(u.Removed) > 0 {
		f.mu.Lock()
		f.publish()
		f.mu.Unlock()
	}
	return nil
}

// FollowerState is what a Follower knows of its source, for state dumps.
type FollowerState struct {
	Source   string   `json:"source"`
	Revision Revision `json:"revision"`
	// Relay is the instance through which the source is followed; empty for the store itself.
	Relay string `json:"relay,omitempty"`
	// PendingRemovals lists the upstreams whose removal is deferred.
	PendingRemovals []string `json:"pending_removals,omitempty"`
	// Invalid lists the entries that name no upstream to use, on instances that follow the store
	// themselves.
	Invalid []InvalidEntry `json:"invalid,omitempty"`
}

// Dump returns what the follower knows of its source.
func (f *Follower) Dump() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := FollowerState{
		Source: f.source.Name(), Revision: f.complete.load(), Relay: f.relay.id,
		PendingRemovals: slices.Sorted(maps.Keys(f.pendingRemovals)),
	}
	for _, id := range slices.Sorted(maps.Keys(f.invalid)) {
		s.Invalid = append(s.Invalid, InvalidEntry{id, f.invalid[id]})
	}
	return s
}

// apply applies an update. What it says is in the state before its revision counts as known.
func (f *Follower) apply(u Update, now time.Time) {
	newEra := f.enterEra(u, now)
	f.mu.Lock()
	if f.startedAt.IsZero() {
		f.startedAt = now
	}
	f.mu.Unlock()
	f.applyContent(u, newEra, now)
	f.complete.store(u.Revision)
	f.changed.store(latest(f.changed.load(), u.Changed))
}

// applyContent applies the content of an update to the state.
func (f *Follower) applyContent(u Update, newEra bool, now time.Time) {
	// The evacuations first: no request may be placed by a configuration without them.
	f.applyEvacuations(u, now)
	if u.Config != nil && f.state.SetConfiguration(u.Config, now) {
		metrics.GetOrCreateCounter(`banyanroute_configurations_total`).Inc()
		log.WithField("version", u.Config.Version).WithField("revision", u.Revision).
			WithField("routes", len(u.Config.Routes)).WithField("checks_keys", u.Config.Keys != nil).
			WithField("api_keys", len(u.Config.Keys)).Info("configuration applied")
	}
	if f.source.Content() == Configurations {
		return
	}
	f.recordInvalid(u)
	u.Upstreams = f.reconcile(u, newEra, now)
	u.Upstreams = f.keepLeaving(u.Upstreams)
	if u.Complete {
		f.replace(u, now)
		return
	}
	f.forget(u.Upstreams, u.Removed, u.Revision.Era, now)
	f.cancelRemovals(u.Upstreams)
	removed := without(u.Removed, f.deferRemovals(u, u.Removed, now))
	if len(u.Upstreams)+len(removed) > 0 {
		f.logUpstreams(u.Upstreams, removed, u.Revision)
		f.state.UpdateUpstreams(u.Upstreams, removed, u.Revision, now)
	}
}

func (f *Follower) logUpstreams(changed []Upstream, removed []string, revision Revision) {
	view := f.state.View()
	if view.Count() == 0 && len(changed) > 0 {
		log.WithField("upstreams", len(changed)).WithField("revision", revision).Info("upstreams listed for the first time")
		return
	}
	for _, up := range changed {
		if old, known := view.Upstream(up.ID); known && old.Leaving == up.Leaving && old.SameIncarnation(up) {
			continue
		}
		log.WithField("upstream", up.ID).WithField("service", up.Service).WithField("address", up.Address).
			WithField("leaving", up.Leaving).WithField("revision", revision).Info("upstream listed")
	}
	for _, id := range removed {
		log.WithField("upstream", id).WithField("revision", revision).Info("upstream removed from the list")
	}
}
