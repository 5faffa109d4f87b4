package ledger

import (
	"context"
	"sync/atomic"
	"time"
)

// counters count what Begin told callers and what was stored.
type counters struct {
	claimed, replayed, stillRunning, unknown atomic.Int64
	keyReused, storeDown, answersDropped     atomic.Int64
}

// State is the ledger's state for a dump.
type State struct {
	StoreReachable bool  `json:"store_reachable"`
	Pending        int   `json:"pending_outcomes"`
	Claimed        int64 `json:"claimed"`
	Replayed       int64 `json:"replayed"`
	StillRunning   int64 `json:"still_running"`
	OutcomeUnknown int64 `json:"outcome_unknown"`
	KeyReused      int64 `json:"key_reused"`
	StoreDown      int64 `json:"refused_store_down"`
	AnswersDropped int64 `json:"answers_dropped"`
	// Commits and Rows are the transactions and rows sent to the table.
	Commits int64 `json:"commits"`
	Rows    int64 `json:"rows"`
}

// Dump returns the ledger's State.
func (l *Ledger) Dump() any {
	l.batcher.mu.Lock()
	commits, rows := l.batcher.commits, l.batcher.rows
	l.batcher.mu.Unlock()
	return State{
		StoreReachable: l.gate.isOpen(),
		Pending:        l.settler.pending(),
		Claimed:        l.counts.claimed.Load(),
		Replayed:       l.counts.replayed.Load(),
		StillRunning:   l.counts.stillRunning.Load(),
		OutcomeUnknown: l.counts.unknown.Load(),
		KeyReused:      l.counts.keyReused.Load(),
		StoreDown:      l.counts.storeDown.Load(),
		AnswersDropped: l.counts.answersDropped.Load(),
		Commits:        commits,
		Rows:           rows,
	}
}

// Drain waits until all outcomes are stored or ctx ends, and returns the
// number that are not. Run must be running meanwhile.
func (l *Ledger) Drain(ctx context.Context) int {
	for l.settler.pending() > 0 {
		select {
		case <-time.After(settlePause):
		case <-ctx.Done():
			return l.settler.pending()
		}
	}
	return 0
}
