package deployment

import (
	"context"
	"errors"
	"time"

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
	// Revision is the store's version of all that the update says.
	Revision int64
	// Config is set if the update holds a configuration.
	Config *Configuration
	// Upstreams are those that are new or changed, or all of them.
	Upstreams []Upstream
	// Gone are the IDs of entries that were removed or cannot be read.
	Gone []string
}

// Source is a table of the platform's store that holds configurations or
// upstreams.
type Source interface {
	// Name names the source in logs.
	Name() string
	// Read returns everything.
	Read(ctx context.Context) (Update, error)
	// Changes waits up to wait for changes after a revision. It returns
	// ErrHistoryLost if they are no longer to be had.
	Changes(ctx context.Context, after int64, wait time.Duration) (Update, error)
}

// Timing of a Follower.
const (
	// watchWait is how long one call for changes waits. Calls are priced, and a
	// dead connection shows by keep-alive probes, so it may be long.
	watchWait = 25 * time.Second
	// watchSlack is how much longer than asked an answer may take.
	watchSlack = 3 * time.Second
	// readTimeout bounds a read of everything.
	readTimeout = 3 * time.Second
	// firstRetry and maxRetry bound the pauses after failed calls: a store that
	// comes back must be noticed well within the seconds that a configuration
	// may take.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
	// entriesReturn is how long after the store is back entries that lapsed
	// meanwhile may be missing. The users promise about two seconds.
	entriesReturn = 2200 * time.Millisecond
)

// Follower keeps a State up to date from one source.
type Follower struct {
	state  *State
	source Source

	revision int64
	lost     bool
	// lapsed holds upstreams that were removed while the store was away or
	// shortly after, with the time at which they are taken as gone.
	lapsed map[string]time.Time
	// trustAt is when removals count at once again.
	trustAt time.Time
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(state *State, source Source) *Follower {
	return &Follower{state: state, source: source, lapsed: map[string]time.Time{}}
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := newBackoff()
	whole := true
	for ctx.Err() == nil {
		update, err := f.next(ctx, whole)
		if err == nil && update.Revision < f.revision {
			err = errStale
		}
		now := time.Now()
		if err != nil {
			whole = whole || errors.Is(err, ErrHistoryLost)
			f.failed(ctx, err, now)
			sleep.For(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		f.regained(now)
		f.apply(update, now)
		whole = false
	}
	return ctx.Err()
}

// errStale says that a read answered with an older state than is known.
var errStale = errors.New("the store answered with an older revision than is known")

// newBackoff returns pauses with jitter, so that instances do not all return to
// the store at once.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, maxRetry
	return b
}

// next reads everything or waits for changes.
func (f *Follower) next(ctx context.Context, whole bool) (Update, error) {
	if whole {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return f.source.Read(ctx)
	}
	wait := watchWait
	if at, waiting := f.nextLapse(); waiting {
		wait = max(time.Until(at), 10*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return f.source.Changes(ctx, f.revision, wait)
}

// failed notes that the store could not be followed.
func (f *Follower) failed(ctx context.Context, err error, now time.Time) {
	f.trustAt = now.Add(entriesReturn)
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	log.WithField("table", f.source.Name()).WithField("revision", f.revision).WithError(err).
		Warn("The platform's store cannot be followed; what is known stays in force.")
}

// regained notes that the store answers again.
func (f *Follower) regained(now time.Time) {
	if !f.lost {
		return
	}
	f.lost = false
	f.trustAt = now.Add(entriesReturn)
	log.WithField("table", f.source.Name()).WithField("revision", f.revision).
		Info("The platform's store is followed again.")
}

// apply hands an update to the state.
func (f *Follower) apply(u Update, now time.Time) {
	f.revision = u.Revision
	if u.Config != nil && f.state.SetConfiguration(u.Config, now) {
		log.WithField("version", u.Config.Version).WithField("revision", u.Revision).
			WithField("routes", len(u.Config.Routes)).Info("A configuration is in force.")
	}
	if u.Whole {
		f.replace(u, now)
		return
	}
	gone := f.expired(now)
	for _, up := range u.Upstreams {
		delete(f.lapsed, up.ID)
	}
	for _, id := range u.Gone {
		if now.Before(f.trustAt) {
			f.lapsed[id] = f.trustAt
			continue
		}
		gone = append(gone, id)
	}
	if len(u.Upstreams)+len(gone) > 0 {
		f.logUpstreams(u.Upstreams, gone, u.Revision)
		f.state.UpdateUpstreams(u.Upstreams, gone, u.Revision, now)
	}
}

// replace installs a whole list. Entries that lapsed while the store was away
// stay until they had time to return.
func (f *Follower) replace(u Update, now time.Time) {
	if u.Config != nil {
		return // the table of configurations holds no upstreams
	}
	listed := map[string]bool{}
	for _, up := range u.Upstreams {
		listed[up.ID] = true
		delete(f.lapsed, up.ID)
	}
	list := u.Upstreams
	if now.Before(f.trustAt) {
		for id, up := range f.state.View().upstreams {
			if !listed[id] {
				f.lapsed[id] = f.trustAt
				list = append(list, up)
			}
		}
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

// nextLapse returns when the next lapsed upstream is to be taken as gone.
func (f *Follower) nextLapse() (at time.Time, waiting bool) {
	for _, t := range f.lapsed {
		if !waiting || t.Before(at) {
			at, waiting = t, true
		}
	}
	return at, waiting
}

// expired removes and returns the upstreams that did not return in time.
func (f *Follower) expired(now time.Time) []string {
	var gone []string
	for id, at := range f.lapsed {
		if !now.Before(at) {
			delete(f.lapsed, id)
			gone = append(gone, id)
		}
	}
	return gone
}
