package deployment

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/panics"
)

// keepLeaving returns the list in which incarnations that are known to leave still do. They
// never take work again, so an entry that says otherwise is older than what is known, such as
// a write that the store carried out late.
func (f *Follower) keepLeaving(list []Upstream) []Upstream {
	view := f.state.View()
	kept := slices.Clone(list)
	for i, u := range list {
		known, listed := view.Upstream(u.ID)
		if listed && known.Leaving && !u.Leaving && u.Born > 0 && known.SameIncarnation(u) {
			kept[i] = known
			log.WithField("upstream", u.ID).WithField("born", u.Born).Info("entry ignored; this incarnation of the upstream is leaving")
		}
	}
	return kept
}

// replace installs a complete list. Upstreams whose entries may only have expired remain
// listed until reappearTimeout after the outage.
func (f *Follower) replace(u Update, now time.Time) {
	u = f.withoutRemoved(u)
	f.cancelRemovals(slices.DeleteFunc(slices.Clone(u.Upstreams), func(up Upstream) bool { return slices.Contains(u.Pending, up.ID) }))
	missing := f.missing(u.Upstreams)
	ids := make([]string, len(missing))
	for i, up := range missing {
		ids[i] = up.ID
	}
	deferred := f.deferRemovals(u, ids, now)
	list := u.Upstreams
	for _, up := range missing {
		if slices.Contains(deferred, up.ID) {
			list = append(list, up)
		}
	}
	f.forget(nil, without(ids, deferred), u.Revision.Era, now)
	f.logUpstreams(u.Upstreams, nil, u.Revision)
	f.state.ReplaceUpstreams(list, u.Revision, now)
}

// withoutRemoved returns a complete list without the upstreams that another instance lists only
// because it defers their removal, and that have been removed here: this instance has been told
// by the store, and knows more.
func (f *Follower) withoutRemoved(u Update) Update {
	if len(u.Pending) == 0 {
		return u
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	gone := map[string]bool{}
	for _, up := range u.Upstreams {
		known, removed := f.removed[up.ID]
		gone[up.ID] = removed && known.upstream.SameIncarnation(up) && slices.Contains(u.Pending, up.ID)
	}
	u.Upstreams = slices.DeleteFunc(slices.Clone(u.Upstreams), func(up Upstream) bool { return gone[up.ID] })
	u.Pending = slices.DeleteFunc(slices.Clone(u.Pending), func(id string) bool { return gone[id] })
	return u
}

// without returns the elements of list that are not in excluded.
func without(list, excluded []string) []string {
	var rest []string
	for _, s := range list {
		if !slices.Contains(excluded, s) {
			rest = append(rest, s)
		}
	}
	return rest
}

// missing returns the known upstreams that are not in list.
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

// cancelRemovals cancels the pending removals of upstreams that are listed again.
func (f *Follower) cancelRemovals(list []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, up := range list {
		delete(f.pendingRemovals, up.ID)
	}
}

// deferRemovals returns those of the upstreams missing in an update that may be listed again
// soon. It removes them when that time is over unless they are; this does not depend on
// another answer of the store.
func (f *Follower) deferRemovals(u Update, missing []string, now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	deferred, until := f.mayReappear(u, missing, now)
	var added []string
	for _, id := range slices.Concat(deferred, u.Pending) {
		if _, pending := f.pendingRemovals[id]; !pending {
			f.pendingRemovals[id] = until
			added = append(added, id)
		}
	}
	if len(added) > 0 {
		wait := until.Sub(now)
		metrics.GetOrCreateCounter(`banyanroute_removals_deferred_total`).Add(len(added))
		log.WithField("upstreams", added).WithField("wait_ms", wait.Milliseconds()).
			Info("removal of upstreams deferred; their entries may have expired while the store was unavailable")
		panics.AfterFunc(log, wait, f.applyRemovals)
	}
	return deferred
}

// mayReappear returns those of the upstreams missing in an update that may be listed again,
// and until when. The caller must hold mu.
func (f *Follower) mayReappear(u Update, missing []string, now time.Time) ([]string, time.Time) {
	switch {
	case !u.fetched:
		return f.outage.mayReappear(f.state.View(), missing, now)
	case u.Fresh:
		return missing, now.Add(reappearTimeout)
	}
	// The other instance has judged the missing ones itself, and names those it waits for.
	return nil, now.Add(reappearTimeout)
}

// applyRemovals removes the upstreams that were not listed again in time.
func (f *Follower) applyRemovals() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var removed []string
	for id, at := range f.pendingRemovals {
		if !now.Before(at) {
			delete(f.pendingRemovals, id)
			removed = append(removed, id)
		}
	}
	if len(removed) > 0 {
		f.logUpstreams(nil, removed, f.state.View().Revision)
		f.forgetLocked(nil, removed, f.complete.load().Era, now)
		f.state.RemoveUpstreams(removed, now)
		f.publish()
	}
}
