package platformd

import (
	"sort"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
)

// change is the live list as it stood from one moment on.
type change struct {
	at    time.Time
	lines []platform.LiveListEntry
}

// liveList is a list of instances whose readers see it as it was some time ago.
type liveList struct {
	present map[string]platform.LiveListEntry
	history []change
	lag     time.Duration
}

// maxHistory bounds the number of past states that are kept.
const maxHistory = 4096

// set adds or replaces a line.
func (l *liveList) set(now time.Time, line platform.LiveListEntry) {
	l.present[line.ID] = line
	l.record(now)
}

// remove deletes a line if it exists.
func (l *liveList) remove(now time.Time, id string) {
	delete(l.present, id)
	l.record(now)
}

func (l *liveList) record(now time.Time) {
	lines := make([]platform.LiveListEntry, 0, len(l.present))
	for _, line := range l.present {
		lines = append(lines, line)
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].ID < lines[j].ID })
	l.history = append(l.history, change{at: now, lines: lines})
	if len(l.history) > maxHistory {
		l.history = l.history[len(l.history)-maxHistory:]
	}
}

// read returns the list as it was a lag ago.
func (l *liveList) read(now time.Time) []platform.LiveListEntry {
	horizon := now.Add(-l.lag)
	next := sort.Search(len(l.history), func(i int) bool { return l.history[i].at.After(horizon) })
	if next == 0 {
		return []platform.LiveListEntry{}
	}
	return l.history[next-1].lines
}
