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
	// era is that of the update that removed it. A list of a later era may be from a copy that is
	// older than the removal; one of the same era lists the upstream because it has come back.
	era int64
}

// distrustedUpstream is an entry of an older copy whose upstream was removed since.
type distrustedUpstream struct {
	upstream Upstream
	// until is when the entry is used unless the store removes it before.
	until time.Time
	// listed reports whether the last complete list had the entry; era is that of the last list that had.
	listed bool
	era    int64
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

// reconcile returns a list without what an older copy of the store may have: upstreams that were
// removed since, and, if the store's own list of its era was not seen yet, earlier incarnations of
// upstreams and ones whose address another upstream has taken over. Upstreams that are known to be
// leaving remain so. An instance may enter an era by the list of another one, which has left out
// what it knows to be outdated, and read the store's own list afterwards.
func (f *Follower) reconcile(u Update, newEra bool, now time.Time) []Upstream {
	c := comparison{era: u.Revision.Era, now: now, known: f.state.View().upstreams}
	c.unsettled = newEra || u.Complete && !u.fetched && u.Revision.Era != f.settledEra
	if u.Complete && !u.fetched {
		f.settledEra = u.Revision.Era
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.unsettled && !u.Complete {
		f.recordLeaving(u.Upstreams, u)
		return u.Upstreams
	}
	if c.unsettled {
		c.byAddress = make(map[string]Upstream, len(c.known))
		for _, up := range c.known {
			c.byAddress[up.Address] = up
		}
	}
	if u.Complete {
		for id, d := range f.distrusted {
			d.listed = false
			f.distrusted[id] = d
		}
	}
	kept := u.Upstreams[:0:0]
	for _, up := range u.Upstreams {
		if up, keep := f.compare(up, c); keep {
			kept = append(kept, up)
		}
	}
	f.recordLeaving(kept, u)
	return kept
}

// comparison is what the entries of a list are compared with.
type comparison struct {
	era   int64
	now   time.Time
	known map[string]Upstream
	// unsettled reports whether the store's own list of the era was not seen before this one;
	// byAddress holds the known upstreams by address if so.
	unsettled bool
	byAddress map[string]Upstream
}

// compare returns an entry as it is to be used, or false if it is outdated. The caller must hold mu.
func (f *Follower) compare(u Upstream, c comparison) (Upstream, bool) {
	old, listed := c.known[u.ID]
	switch {
	case !listed && f.wasRemoved(u, c.era, c.now):
		f.distrust(u, c.era, c.now)
		return u, false
	case listed && u.Born == old.Born && old.Leaving && (c.unsettled || f.leavingEra[u.ID] < c.era):
		return old, true
	case !c.unsettled:
		return u, true
	case listed:
		return u, u.Born >= old.Born // the later incarnation is kept like one that the copy lacks
	}
	return u, u.Born >= c.byAddress[u.Address].Born
}

// recordLeaving records in which era the upstreams in the list of an update were first seen to be
// leaving. The caller must hold mu.
func (f *Follower) recordLeaving(list []Upstream, u Update) {
	before := f.leavingEra
	if u.Complete {
		f.leavingEra = map[string]int64{}
	}
	for _, up := range list {
		first, known := before[up.ID]
		switch {
		case !up.Leaving:
			delete(f.leavingEra, up.ID)
		case known:
			f.leavingEra[up.ID] = first
		default:
			f.leavingEra[up.ID] = u.Revision.Era
		}
	}
	for _, id := range u.Removed {
		delete(f.leavingEra, id)
	}
}

// distrust records that a list of an era has the entry of a removed upstream. The time of distrust
// begins anew with the first such list of each era. The caller must hold mu.
func (f *Follower) distrust(u Upstream, era int64, now time.Time) {
	d, known := f.distrusted[u.ID]
	if !known || d.era != era {
		wait := f.options.distrustTime()
		d.until = now.Add(wait)
		panics.AfterFunc(log, wait, f.useDistrusted)
		log.WithField("upstream", u.ID).WithField("wait_ms", wait.Milliseconds()).
			Info("entry not used; it may be from a copy of the store that is older than the upstream's removal")
	}
	d.upstream, d.listed, d.era = u, true, era
	f.distrusted[u.ID] = d
}

// wasRemoved reports whether this incarnation of an upstream was removed lately, in an earlier era.
// The caller must hold mu.
func (f *Follower) wasRemoved(u Upstream, era int64, now time.Time) bool {
	r, known := f.removed[u.ID]
	return known && r.era < era && now.Sub(r.at) <= removalMemory && u.Born <= r.upstream.Born
}

// useDistrusted lists the upstreams whose entries have outlived the time of their distrust.
func (f *Follower) useDistrusted() {
	now := time.Now()
	f.mu.Lock()
	var list []Upstream
	for id, d := range f.distrusted {
		if now.Before(d.until) {
			continue
		}
		if d.listed {
			list = append(list, d.upstream)
		}
		delete(f.distrusted, id)
		if r, known := f.removed[id]; known { // from now on the lists of this era are believed
			r.era = d.era
			f.removed[id] = r
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
func (f *Follower) forget(changed []Upstream, removed []string, era int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgetLocked(changed, removed, era, now)
}

func (f *Follower) forgetLocked(changed []Upstream, removed []string, era int64, now time.Time) {
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
			f.removed[id] = removedUpstream{upstream: u, at: now, era: era}
		} else if r, known := f.removed[id]; known {
			f.removed[id] = removedUpstream{upstream: r.upstream, at: now, era: era}
		}
	}
}
