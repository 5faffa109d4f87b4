package deployment

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/panics"
)

// After its return from an older copy, the store may list upstreams as they were some
// seconds before.
const (
	// removalMemory is how long removed upstreams are remembered: longer than a copy is
	// old.
	removalMemory = 60 * time.Second
	// distrustedHeartbeats is for how many heartbeats of its upstream an entry of one that
	// was removed since the copy was made must outlive the return before it is used. The
	// store removes the entries of upstreams that are silent for three, and one more covers
	// a heartbeat that comes late.
	distrustedHeartbeats = 4
	// defaultDistrustTime applies if the interval of heartbeats is unknown.
	defaultDistrustTime = 5 * time.Second
)

// distrustTime returns how long entries of upstreams that were removed since the copy was
// made are not used.
func (o FollowerOptions) distrustTime() time.Duration {
	heartbeat := o.UpstreamHeartbeat()
	if heartbeat <= 0 {
		return defaultDistrustTime
	}
	return distrustedHeartbeats * heartbeat
}

// Reasons why an update is not applied.
var (
	// errStale is returned if a read returned an older revision than is known.
	errStale = errors.New("store returned an older revision than the one known")
	// errNewEra is returned if changes are of a newer era than the known revision, so
	// that those before them are unknown.
	errNewEra = errors.New("store came back from an older copy")
	// errLateEra is returned if an answer is of an era before the known one.
	errLateEra = errors.New("store's answer is of an earlier era")
)

// removedUpstream is an upstream that was removed from the list.
type removedUpstream struct {
	upstream Upstream
	at       time.Time
}

// distrustedUpstream is an entry of an older copy whose upstream was removed since.
type distrustedUpstream struct {
	upstream Upstream
	// until is when the entry is used unless the store removes it before.
	until time.Time
}

// check reports why an update must not be applied; nil if it may be. began is when the
// call began, snapshot whether it read a snapshot.
func (f *Follower) check(u Update, snapshot bool, began time.Time) error {
	known := f.complete.load()
	switch {
	case u.Revision.Era > known.Era && !snapshot:
		return errNewEra
	case u.Revision.Era < known.Era && (!snapshot || f.eraKnownAt.After(began)):
		return errLateEra
	case u.Revision.Era < known.Era:
		log.WithField("table", f.source.Name()).WithField("known", known).WithField("revision", u.Revision).
			Warn("era of the platform store has fallen; its snapshot is used")
		return nil
	case u.Revision.Before(known):
		return errStale
	}
	return nil
}

// enterEra records that the store's era has changed, if the update's differs from the
// known one. It reports whether it has.
func (f *Follower) enterEra(u Update, now time.Time) bool {
	known := f.complete.load()
	if u.Revision.Era == known.Era {
		return false
	}
	f.eraKnownAt = now
	f.mu.Lock()
	started := !f.startedAt.IsZero()
	if started {
		f.outage.returned(now)
	}
	f.mu.Unlock()
	if !started {
		return false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanroute_store_eras_total{table=%q}`, f.source.Name())).Inc()
	entry := log.WithField("table", f.source.Name()).WithField("known", known).WithField("revision", u.Revision)
	if u.Revision.Era > known.Era+1 {
		entry = entry.WithField("skipped_eras", u.Revision.Era-known.Era-1)
	}
	entry.Warn("platform store came back from an older copy; what is known and newer remains")
	if f.options.OnEra != nil {
		f.options.OnEra(u.Revision.Era)
	}
	return true
}

// reconcile returns the list of an older copy without what is known to be outdated:
// earlier incarnations of upstreams, ones that were removed since, and ones whose address
// another upstream has taken over. Upstreams that are known to be leaving remain so.
func (f *Follower) reconcile(list []Upstream, now time.Time) []Upstream {
	known := f.state.View().upstreams
	byAddress := make(map[string]Upstream, len(known))
	for _, u := range known {
		byAddress[u.Address] = u
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	distrust := f.options.distrustTime()
	kept := list[:0:0]
	for _, u := range list {
		old, listed := known[u.ID]
		switch {
		case listed && u.Born < old.Born:
			continue // the later incarnation is kept like one that the copy lacks
		case listed && u.Born == old.Born && old.Leaving:
			u = old
		case !listed && f.wasRemoved(u, now):
			f.distrusted[u.ID] = distrustedUpstream{upstream: u, until: now.Add(distrust)}
			continue
		case !listed && u.Born < byAddress[u.Address].Born:
			continue
		}
		kept = append(kept, u)
	}
	if len(f.distrusted) > 0 {
		panics.AfterFunc(log, distrust, f.useDistrusted)
	}
	return kept
}

// wasRemoved reports whether this incarnation of an upstream was removed lately. The caller
// must hold mu.
func (f *Follower) wasRemoved(u Upstream, now time.Time) bool {
	r, known := f.removed[u.ID]
	return known && now.Sub(r.at) <= removalMemory && u.Born <= r.upstream.Born
}

// useDistrusted lists the upstreams whose entries have outlived the time of their distrust.
func (f *Follower) useDistrusted() {
	now := time.Now()
	f.mu.Lock()
	var list []Upstream
	for id, d := range f.distrusted {
		if !now.Before(d.until) {
			list = append(list, d.upstream)
			delete(f.distrusted, id)
		}
	}
	f.mu.Unlock()
	if len(list) > 0 {
		f.logUpstreams(list, nil, f.state.View().Revision)
		f.state.AddUpstreams(list, now)
		f.mu.Lock()
		f.publish()
		f.mu.Unlock()
	}
}

// forget remembers removed upstreams for removalMemory, and ends the distrust of all that
// the store has changed.
func (f *Follower) forget(changed []Upstream, removed []string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgetLocked(changed, removed, now)
}

func (f *Follower) forgetLocked(changed []Upstream, removed []string, now time.Time) {
	view := f.state.View()
	for _, u := range changed {
		delete(f.distrusted, u.ID)
		delete(f.removed, u.ID)
	}
	for id, r := range f.removed {
		if now.Sub(r.at) > removalMemory {
			delete(f.removed, id)
		}
	}
	for _, id := range removed {
		delete(f.distrusted, id)
		if u, known := view.Upstream(id); known {
			f.removed[id] = removedUpstream{upstream: u, at: now}
		}
	}
}
