package platformd

import (
	"sort"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
)

// snapshot is the content of the live list and the time from which it is valid.
type snapshot struct {
	at      time.Time
	entries []platform.LiveListEntry
}

// liveList is the live list of the platform. Readers see changes after a lag.
type liveList struct {
	// current holds the current entries by ID.
	current map[string]platform.LiveListEntry
	// history holds the latest snapshots in order of time.
	history []snapshot
	lag     time.Duration
}

// maxHistory bounds the number of retained snapshots.
const maxHistory = 4096

// set adds or replaces an entry.
func (l *liveList) set(now time.Time, entry platform.LiveListEntry) {
	l.current[entry.ID] = entry
	l.record(now)
}

// remove deletes an entry if it exists.
func (l *liveList) remove(now time.Time, id string) {
	delete(l.current, id)
	l.record(now)
}

// record adds a snapshot of the current entries to the history.
func (l *liveList) record(now time.Time) {
	entries := make([]platform.LiveListEntry, 0, len(l.current))
	for _, entry := range l.current {
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	l.history = append(l.history, snapshot{at: now, entries: entries})
	if len(l.history) > maxHistory {
		l.history = l.history[len(l.history)-maxHistory:]
	}
}

// read returns the list as it was at now minus the lag.
func (l *liveList) read(now time.Time) []platform.LiveListEntry {
	horizon := now.Add(-l.lag)
	next := sort.Search(len(l.history), func(i int) bool { return l.history[i].at.After(horizon) })
	if next == 0 {
		return []platform.LiveListEntry{}
	}
	return l.history[next-1].entries
}
