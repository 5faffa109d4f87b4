package ledger

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters count the results of Begin and the dropped answers.
type counters struct {
	set *metrics.Set

	claimed, replayed, stillRunning, unknown *metrics.Counter
	keyReused, storeDown, answersDropped     *metrics.Counter
}

func newCounters() counters {
	set := metrics.NewSet()
	begin := func(outcome string) *metrics.Counter {
		return set.NewCounter(`banyanroute_claims_total{outcome="` + outcome + `"}`)
	}
	return counters{
		set:            set,
		claimed:        begin("claimed"),
		replayed:       begin("replayed"),
		stillRunning:   begin("still-running"),
		unknown:        begin("outcome-unknown"),
		keyReused:      begin("key-reused"),
		storeDown:      begin("store-unavailable"),
		answersDropped: set.NewCounter("banyanroute_claim_answers_dropped_total"),
	}
}

// Metrics returns the ledger's metrics, to be registered with /metrics.
func (l *Ledger) Metrics() *metrics.Set { return l.counts.set }

// addGauges adds the metrics whose values are read from the components of the
// ledger.
func (l *Ledger) addGauges() {
	l.counts.set.NewGauge("banyanroute_claims_pending", func() float64 { return float64(l.settler.pending()) })
	l.counts.set.NewGauge("banyanroute_claim_store_reachable", func() float64 {
		if l.breaker.isClosed() {
			return 1
		}
		return 0
	})
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
		StoreReachable: l.breaker.isClosed(),
		Pending:        l.settler.pending(),
		Claimed:        int64(l.counts.claimed.Get()),
		Replayed:       int64(l.counts.replayed.Get()),
		StillRunning:   int64(l.counts.stillRunning.Get()),
		OutcomeUnknown: int64(l.counts.unknown.Get()),
		KeyReused:      int64(l.counts.keyReused.Get()),
		StoreDown:      int64(l.counts.storeDown.Get()),
		AnswersDropped: int64(l.counts.answersDropped.Get()),
		Commits:        commits,
		Rows:           rows,
	}
}

// Drain waits until all outcomes are stored or ctx ends, and returns the number of
// outcomes that are not stored. Run must be running meanwhile.
func (l *Ledger) Drain(ctx context.Context) int {
	for l.settler.pending() > 0 {
		select {
		case <-time.After(settleInterval):
		case <-ctx.Done():
			return l.settler.pending()
		}
	}
	return 0
}
