package deployment

import (
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"
)

// InvalidEntry is an entry of the store that names no upstream to use.
type InvalidEntry struct {
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

// recordInvalid records which entries an update says are invalid, and logs those that have become so
// and those that no longer are. Only the store says it, so an instance that follows it through another
// one knows none.
func (f *Follower) recordInvalid(u Update) {
	f.mu.Lock()
	before, now := f.invalid, invalidAfter(f.invalid, u)
	f.invalid = now
	f.mu.Unlock()
	if u.fetched {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(now)) {
		if before[id] != now[id] {
			metrics.GetOrCreateCounter(`banyanroute_invalid_entries_total`).Inc()
			log.WithField("upstream", id).WithField("revision", u.Revision).WithField("reason", now[id]).
				Warn("invalid entry in the list of upstreams; it is not used")
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if now[id] == "" {
			log.WithField("upstream", id).WithField("revision", u.Revision).Info("invalid entry in the list of upstreams is gone or valid now")
		}
	}
}

// invalidAfter returns the entries that are invalid after an update, given those before it.
func invalidAfter(before map[string]string, u Update) map[string]string {
	if u.fetched {
		return nil
	}
	now := map[string]string{}
	if !u.Complete { // entries that the changes don't mention stay as they are
		maps.Copy(now, before)
		for _, id := range u.Removed {
			delete(now, id)
		}
		for _, up := range u.Upstreams {
			delete(now, up.ID)
		}
	}
	maps.Copy(now, u.Invalid)
	return now
}
