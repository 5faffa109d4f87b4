package deployment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

var log = logging.For("deployment")

// ErrHistoryLost says that the store no longer has the changes asked for.
var ErrHistoryLost = errors.New("the store has dropped the history of changes")

// Update is what a source delivers: everything at a revision, or the changes up
// to it.
type Update struct {
	// Whole says that Upstreams is the complete list.
	Whole bool
	// Revision is the store's version up to which the update is complete.
	Revision int64
	// Changed is the version of the newest change in the update; 0 if none.
	Changed int64
	// Config is set if the update holds a configuration.
	Config *Configuration
	// Upstreams are those that are new or changed, or all of them.
	Upstreams []Upstream
	// Gone are the IDs of entries that were removed or cannot be read.
	Gone []string
}

// Content says what a source holds.
type Content uint8

// Contents of sources.
const (
	Configurations Content = iota + 1
	Upstreams
)

// Source is a table of the platform's store that holds configurations or
// upstreams.
type Source interface {
	// Name names the source in logs.
	Name() string
	Holds() Content
	// Read returns everything.
	Read(ctx context.Context) (Update, error)
	// Changes waits up to wait for changes after a revision. It returns
	// ErrHistoryLost if they are no longer to be had.
	Changes(ctx context.Context, after int64, wait time.Duration) (Update, error)
}

// Timing of a Follower.
const (
	// watchWait is how long one call for changes waits. Calls are priced; that a
	// connection fell silent shows sooner by keep-alive probes or by what other
	// instances have seen.
	watchWait = 12 * time.Second
	// watchSlack is how much longer than asked an answer may take.
	watchSlack = time.Second
	// readTimeout bounds a read of everything.
	readTimeout = 3 * time.Second
	// firstRetry and maxRetry bound the pauses after failed calls: a store that
	// comes back must be noticed well within the seconds that a configuration
	// may take. Refused calls are priced too, so large fleets pause longer, by
	// retryPerInstance for each instance.
	firstRetry       = 50 * time.Millisecond
	maxRetry         = 400 * time.Millisecond
	retryPerInstance = 10 * time.Millisecond
	maxFleetRetry    = 1200 * time.Millisecond
	// entriesReturn is how long after the store is back entries that lapsed
	// meanwhile may be missing. The users promise about two seconds; an upstream
	// that left meanwhile must get no work after two seconds either.
	entriesReturn = 1800 * time.Millisecond
)

// Gathering of changes: calls are priced, and each change would wake all instances.
const (
	// gatherPerInstance is how long an instance waits for further changes after
	// one, for each instance of the deployment.
	gatherPerInstance = 15 * time.Millisecond
	// gatherPart is the part of the time that a change may take in which changes
	// are gathered at most.
	gatherPart = 0.33
)

// FollowerOptions are what a Follower knows of its deployment.
type FollowerOptions struct {
	// Instances returns the number of live instances.
	Instances func() int
	// ApplyWithin is the time in which a change must be in force.
	ApplyWithin time.Duration
}

// gather returns how long further changes are waited for.
func (o FollowerOptions) gather() time.Duration {
	most := time.Duration(gatherPart * float64(o.ApplyWithin))
	return min(time.Duration(o.Instances())*gatherPerInstance, most)
}

// Follower keeps a State up to date from one source.
type Follower struct {
	state   *State
	source  Source
	options FollowerOptions

	// complete is the store's version up to which everything is known, changed
	// that of the newest change.
	complete atomic.Int64
	changed  atomic.Int64
	// chasing says that a newer change that another instance knows is asked for.
	chasing atomic.Bool
	// handed takes updates from other instances.
	handed chan Update
	lost   bool
	// mu guards lapsed and interrupt.
	mu sync.Mutex
	// interrupt ends the call for changes under way.
	interrupt context.CancelFunc
	// lapsed holds upstreams that were removed while the store was away or
	// shortly after, with the time at which they are taken as gone.
	lapsed map[string]time.Time
	// trustAt is when removals count at once again.
	trustAt time.Time
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(state *State, source Source, options FollowerOptions) *Follower {
	return &Follower{state: state, source: source, options: options, handed: make(chan Update, 1), lapsed: map[string]time.Time{}}
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := f.newBackoff()
	whole := true
	for ctx.Err() == nil {
		f.takeHanded()
		update, err := f.next(ctx, whole)
		if err == nil && update.Revision < f.complete.Load() {
			err = errStale
		}
		now := time.Now()
		if err != nil {
			if !f.lost {
				pause = f.newBackoff()
			}
			whole = whole || errors.Is(err, ErrHistoryLost) || errors.Is(err, context.Canceled)
			f.failed(ctx, err, now)
			sleep.For(ctx, pause.NextBackOff())
			continue
		}
		f.regained(now)
		f.apply(update, now)
		whole = false
		sleep.For(ctx, f.options.gather())
	}
	return ctx.Err()
}

// errStale says that a read answered with an older state than is known.
var errStale = errors.New("the store answered with an older revision than is known")

// newBackoff returns pauses with jitter, so that instances do not all return to
// the store at once.
func (f *Follower) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetry
	b.MaxInterval = min(maxRetry+time.Duration(f.options.Instances())*retryPerInstance, maxFleetRetry)
	b.Reset()
	return b
}

// next reads everything or waits for changes.
func (f *Follower) next(ctx context.Context, whole bool) (Update, error) {
	if whole {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return f.source.Read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	f.mu.Lock()
	f.interrupt = cancel
	f.mu.Unlock()
	return f.source.Changes(ctx, f.complete.Load(), watchWait)
}

// refresh ends the call for changes under way, so that everything is read anew
// over another connection.
func (f *Follower) refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt()
	}
}

// hand gives the follower what another instance knows.
func (f *Follower) hand(u Update) {
	select {
	case f.handed <- u:
	default: // one that is not taken yet is about as new
	}
}

// takeHanded applies what another instance knows, if it is newer.
func (f *Follower) takeHanded() {
	select {
	case u := <-f.handed:
		if u.Revision > f.complete.Load() {
			log.WithField("table", f.source.Name()).WithField("revision", u.Revision).
				Info("What another instance knows is taken over.")
			f.apply(u, time.Now())
		}
	default:
	}
}

// known returns all that is known of the source.
func (f *Follower) known() Update {
	v := f.state.View()
	u := Update{Whole: true, Revision: f.complete.Load(), Changed: f.changed.Load()}
	if f.source.Holds() == Configurations {
		u.Config = v.Config
		return u
	}
	for _, up := range v.upstreams {
		u.Upstreams = append(u.Upstreams, up)
	}
	return u
}

// failed notes that the store could not be followed.
func (f *Follower) failed(ctx context.Context, err error, now time.Time) {
	f.trustAt = now.Add(entriesReturn)
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_store_lost_total{table=%q}`, f.source.Name())).Inc()
	log.WithField("table", f.source.Name()).WithField("revision", f.complete.Load()).WithError(err).
		Warn("The platform's store cannot be followed; what is known stays in force.")
}

// regained notes that the store answers again.
func (f *Follower) regained(now time.Time) {
	if !f.lost {
		return
	}
	f.lost = false
	f.trustAt = now.Add(entriesReturn)
	log.WithField("table", f.source.Name()).WithField("revision", f.complete.Load()).
		Info("The platform's store is followed again.")
}

// apply hands an update to the state.
func (f *Follower) apply(u Update, now time.Time) {
	f.complete.Store(u.Revision)
	f.changed.Store(max(f.changed.Load(), u.Changed))
	if u.Config != nil && f.state.SetConfiguration(u.Config, now) {
		metrics.GetOrCreateCounter(`banyanroute_configurations_total`).Inc()
		log.WithField("version", u.Config.Version).WithField("revision", u.Revision).
			WithField("routes", len(u.Config.Routes)).Info("A configuration is in force.")
	}
	if f.source.Holds() == Configurations {
		return
	}
	if u.Whole {
		f.replace(u, now)
		return
	}
	f.returned(u.Upstreams)
	gone := u.Gone
	if now.Before(f.trustAt) {
		f.lapse(gone)
		gone = nil
	}
	if len(u.Upstreams)+len(gone) > 0 {
		f.logUpstreams(u.Upstreams, gone, u.Revision)
		f.state.UpdateUpstreams(u.Upstreams, gone, u.Revision, now)
	}
}

// replace installs a whole list. Entries that lapsed while the store was away
// stay until they had time to return.
func (f *Follower) replace(u Update, now time.Time) {
	f.returned(u.Upstreams)
	list := u.Upstreams
	if now.Before(f.trustAt) {
		missing := f.missing(u.Upstreams)
		list = append(list, missing...)
		ids := make([]string, len(missing))
		for i, up := range missing {
			ids[i] = up.ID
		}
		f.lapse(ids)
	}
	f.logUpstreams(u.Upstreams, nil, u.Revision)
	f.state.ReplaceUpstreams(list, u.Revision, now)
}

func (f *Follower) logUpstreams(changed []Upstream, gone []string, revision int64) {
	view := f.state.View()
	for _, up := range changed {
		if old, known := view.Upstream(up.ID); known && old.Leaving == up.Leaving && old.Address == up.Address && old.Born == up.Born {
			continue
		}
		log.WithField("upstream", up.ID).WithField("service", up.Service).WithField("address", up.Address).
			WithField("leaving", up.Leaving).WithField("revision", revision).Info("An upstream is listed.")
	}
	for _, id := range gone {
		log.WithField("upstream", id).WithField("revision", revision).Info("An upstream is gone from the list.")
	}
}

// missing returns the upstreams that are known and not in list.
func (f *Follower) missing(list []Upstream) []Upstream {
	listed := make(map[string]bool, len(list))
	for _, up := range list {
		listed[up.ID] = true
	}
	var out []Upstream
	for id, up := range f.state.View().upstreams {
		if !listed[id] {
			out = append(out, up)
		}
	}
	return out
}

// returned notes that entries are listed.
func (f *Follower) returned(list []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, up := range list {
		delete(f.lapsed, up.ID)
	}
}

// lapse gives upstreams until trustAt to be listed again. Their end does not
// depend on another answer of the store.
func (f *Follower) lapse(ids []string) {
	if len(ids) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if _, lapsing := f.lapsed[id]; !lapsing {
			f.lapsed[id] = f.trustAt
		}
	}
	time.AfterFunc(time.Until(f.trustAt), f.expire)
}

// expire removes the upstreams that did not return in time.
func (f *Follower) expire() {
	now := time.Now()
	f.mu.Lock()
	var gone []string
	for id, at := range f.lapsed {
		if !now.Before(at) {
			delete(f.lapsed, id)
			gone = append(gone, id)
		}
	}
	f.mu.Unlock()
	if len(gone) > 0 {
		f.logUpstreams(nil, gone, f.state.View().Revision)
		f.state.RemoveUpstreams(gone, now)
	}
}
