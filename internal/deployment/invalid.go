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
	now := map[string]string{}
	if !u.fetched {
		maps.Copy(now, u.Invalid)
		if !u.Complete {
			f.keepInvalid(now, u)
		}
	}
	f.mu.Lock()
	before := f.invalid
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

// keepInvalid adds the entries that were invalid before and that changes don't mention.
func (f *Follower) keepInvalid(now map[string]string, u Update) {
	changed := map[string]bool{}
	for _, id := range u.Removed {
		changed[id] = true
	}
	for _, up := range u.Upstreams {
		changed[up.ID] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, reason := range f.invalid {
		if !changed[id] {
			now[id] = reason
		}
	}
}
