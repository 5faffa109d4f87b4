package engine

import (
	"sort"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// maxReportedRequests bounds the request IDs in a load report.
const maxReportedRequests = 256

// snapshot is a load report and the time from which it is valid.
type snapshot struct {
	at     time.Time
	report upstream.LoadReport
}

// loadHistory keeps past load reports, so that readers can receive a delayed one.
type loadHistory struct {
	snapshots []snapshot
	// recent holds the IDs of the latest requests, the newest last.
	recent []string
}

// addRequest records the ID of an accepted request.
func (l *loadHistory) addRequest(id string) {
	// A new slice, because older snapshots share the current one.
	from := max(0, len(l.recent)-maxReportedRequests+1)
	l.recent = append(append(make([]string, 0, maxReportedRequests), l.recent[from:]...), id)
}

func (l *loadHistory) add(at time.Time, report upstream.LoadReport) {
	report.Sequence = 1
	if n := len(l.snapshots); n > 0 {
		report.Sequence = l.snapshots[n-1].report.Sequence + 1
	}
	report.Requests = l.recent
	l.snapshots = append(l.snapshots, snapshot{at, report})
}

// read returns the load as it was at the horizon and drops older snapshots.
func (l *loadHistory) read(now, horizon time.Time) upstream.LoadReport {
	l.trim(horizon)
	report := l.snapshots[0].report
	report.AgeMs = now.Sub(horizon).Milliseconds()
	return report
}

// trim drops snapshots that were already replaced at the horizon.
func (l *loadHistory) trim(horizon time.Time) {
	next := sort.Search(len(l.snapshots), func(i int) bool { return l.snapshots[i].at.After(horizon) })
	if next > 1 {
		l.snapshots = l.snapshots[next-1:]
	}
}

// Load returns a load report that is Settings.ReportLag old.
func (e *Engine) Load() upstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	return e.load.read(now, now.Add(-e.settings.ReportLag))
}

// recordLoad adds the current load to the history after a change. The caller must
// hold mu.
func (e *Engine) recordLoad(now time.Time) {
	e.load.add(now, e.loadNow())
	e.load.trim(now.Add(-e.settings.ReportLag))
}

func (e *Engine) loadNow() upstream.LoadReport {
	report := upstream.LoadReport{
		Boot:         e.settings.Boot,
		UsedTokens:   e.memory.pinned(),
		MemoryTokens: e.settings.MemoryTokens,
		Leaving:      !e.leaving.IsZero(),
	}
	for s := range e.active {
		report.QueuedPromptTokens += s.prompt - s.computed
		switch s.phase {
		case queued:
			report.QueuedRequests++
		case decoding:
			report.RunningStreams++
		}
	}
	for _, h := range e.holds {
		report.ReservedTokens += h.tokens()
	}
	return report
}
