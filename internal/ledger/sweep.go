package ledger

import (
	"context"
	"time"

	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/platform"
)

// sweepPage is the number of rows that one scan reads.
const sweepPage = 256

// maxSweepPages bounds one call of Sweep; the next one continues.
const maxSweepPages = 64

// Sweep ages old rows: answers are dropped after AnswerTime, and keys are
// forgotten after KeyTime. It reads a bounded number of rows and continues
// where the call before ended.
func (l *Ledger) Sweep(ctx context.Context) {
	for range maxSweepPages {
		rows, err := l.table.Scan(ctx, rowPrefix, l.sweepAfter, sweepPage)
		if err != nil {
			return
		}
		if len(rows) == 0 {
			l.sweepAfter = ""
			return
		}
		l.sweepAfter = rows[len(rows)-1].Key
		l.sweepRows(ctx, rows)
	}
}

// sweepRows ages one page of rows.
func (l *Ledger) sweepRows(ctx context.Context, rows []platform.Row) {
	var waits []<-chan opResult
	now := time.Now()
	for _, row := range rows {
		rec, err := decodeRow(row)
		if err != nil {
			log.Warnf("claim row is unreadable: %v", err)
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
	if now.Before(rec.deadline().Add(l.options.AnswerTime)) {
		return nil
	}
	events := []chart.Event{eventAge}
	if now.After(rec.deadline().Add(l.options.KeyTime)) {
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

// apply carries out an aging transition on the row's present version.
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
			return l.rows.submit(row.Key, row.Version, nil)
		}
	}
	value, err := rec.encode()
	if err != nil {
		return nil
	}
	return l.rows.submit(row.Key, row.Version, value)
}
