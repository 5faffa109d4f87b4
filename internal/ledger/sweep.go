package ledger

import (
	"context"
	"time"

	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Bounds of a sweep: at most 2,560 rows per second.
const (
	// sweepPageRows is the number of rows of one scan, and sweepPageInterval
	// the pause between two scans.
	sweepPageRows     = 256
	sweepPageInterval = 100 * time.Millisecond
	// sweepInterval is the pause between two sweeps.
	sweepInterval = 10 * time.Minute
)

// runSweeps sweeps while Options.ShouldSweep returns true, until ctx ends.
func (l *Ledger) runSweeps(ctx context.Context) {
	for {
		select {
		case <-time.After(sweepInterval):
		case <-ctx.Done():
			return
		}
		if l.options.ShouldSweep() {
			l.Sweep(ctx)
		}
	}
}

// Sweep ages old rows: it drops answers after AnswerRetention and deletes keys
// after KeyRetention. After a failure of the table, the next call continues where
// this one ended. It must not be called concurrently with itself or Run.
func (l *Ledger) Sweep(ctx context.Context) {
	for ctx.Err() == nil {
		rows, err := l.table.Scan(ctx, rowPrefix, l.sweepAfter, sweepPageRows)
		if err != nil {
			return
		}
		if len(rows) == 0 {
			l.sweepAfter = ""
			return
		}
		l.sweepAfter = rows[len(rows)-1].Key
		l.sweepRows(ctx, rows)
		sleep.For(ctx, sweepPageInterval)
	}
}

// sweepRows ages one page of rows.
func (l *Ledger) sweepRows(ctx context.Context, rows []platform.Row) {
	var waits []<-chan opResult
	now := time.Now()
	for _, row := range rows {
		rec, err := decodeRow(row)
		if err != nil {
			log.Warnf("claim row cannot be decoded: %v", err)
			continue
		}
		if wait := l.sweepRow(ctx, row, rec, now); wait != nil {
			waits = append(waits, wait)
		}
	}
	for _, wait := range waits {
		<-wait
	}
}

// sweepRow ages one row if it is due.
func (l *Ledger) sweepRow(ctx context.Context, row platform.Row, rec record, now time.Time) <-chan opResult {
	if now.Before(rec.deadline().Add(l.options.AnswerRetention)) {
		return nil
	}
	events := []chart.Event{eventAge}
	if now.After(rec.deadline().Add(l.options.KeyRetention)) {
		events = []chart.Event{eventForget, eventAge}
	}
	for _, event := range events {
		t, err := l.chart.Next(rec.State, event)
		if err == nil && len(t.Do) > 0 {
			return l.apply(ctx, row, rec, t)
		}
	}
	return nil
}

// apply carries out an aging transition on the current version of the row.
func (l *Ledger) apply(ctx context.Context, row platform.Row, rec record, t chart.Transition) <-chan opResult {
	rec.State = t.To
	for _, action := range t.Do {
		switch action {
		case actionDropAnswer:
			if rec.ObjectKey != "" && l.objects.DeleteObject(ctx, rec.ObjectKey) != nil {
				return nil
			}
			rec.Answer, rec.ObjectKey = nil, ""
		case actionDelete:
			// A holder that crashed between storing its answer and writing
			// the row has left an object that no row refers to.
			if l.objects.DeleteObject(ctx, objectPrefix+rec.ClaimID) != nil {
				return nil
			}
			return l.rows.submit(row.Key, row.Version, nil)
		}
	}
	value, err := rec.encode()
	if err != nil {
		return nil
	}
	return l.rows.submit(row.Key, row.Version, value)
}
