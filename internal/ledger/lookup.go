package ledger

import (
	"context"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/result"
)

// Lookup reads the request's key without claiming it. It returns the stored
// answer or the error of a repeat, or nil for both if the key can be claimed.
// A call looks its key up before it waits for an upstream, so that a repeat gets
// its answer even if no upstream is free, and claims the key right before the
// send, so that an instance that crashes while the call waits leaves no claim.
func (l *Ledger) Lookup(ctx context.Context, req Request) (*Answer, *result.Error) {
	if err := l.checkKey(req, time.Now()); err != nil {
		return nil, err
	}
	claim := l.newClaim(req)
	row, err := l.readRow(ctx, claim.key)
	if err != nil {
		if ctx.Err() != nil {
			return nil, callEnded(ctx)
		}
		l.counts.storeDown.Inc()
		return nil, storeUnavailable(err)
	}
	if row.Version == 0 {
		return nil, nil
	}
	next, answer, rerr := l.decide(ctx, claim, row)
	if next != reportRow {
		return nil, nil
	}
	return answer, rerr
}

// readRow reads one row, unless the breaker for the table is open.
func (l *Ledger) readRow(ctx context.Context, key string) (platform.Row, error) {
	if !l.breaker.allow(time.Now()) {
		return platform.Row{}, platform.ErrUnavailable
	}
	bounded, cancel := context.WithTimeout(ctx, l.options.TableTimeout)
	defer cancel()
	rows, err := l.table.Read(bounded, key)
	if ctx.Err() == nil {
		l.breaker.report(err == nil, time.Now())
	}
	if err != nil {
		return platform.Row{}, err
	}
	return rows[0], nil
}
