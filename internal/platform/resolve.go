package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Retry intervals of a commit whose outcome is unknown. Each is reduced by up to a
// half at random, so that clients do not retry in a burst when an outage ends.
const (
	minRetryInterval = 20 * time.Millisecond
	maxRetryInterval = 1 * time.Second
)

// CommitResolved commits txn and resolves an unknown outcome by committing the
// same transaction again: its conditions let it take effect at most once, and
// its ID in a current row shows that it did. The transaction must have at
// least one condition on a row that it also writes.
//
// It returns ErrUnknownOutcome only when ctx ends first, and ErrUnavailable
// only when no attempt can have taken effect. If another writer has since
// overwritten the rows, Committed is false although the write may have taken
// effect; a caller for whom this matters uses a row that only it writes.
func CommitResolved(ctx context.Context, table Table, txn Txn) (TxnResult, error) {
	outcomeUnknown := false
	interval := minRetryInterval
	for {
		res, err := table.Commit(ctx, txn)
		switch {
		case err == nil && res.Committed:
			return res, nil
		case err == nil:
			return recogniseOwnWrite(txn, res), nil
		case errors.Is(err, ErrUnavailable) && !outcomeUnknown:
			return TxnResult{}, ErrUnavailable
		}
		outcomeUnknown = true
		if !sleep.For(ctx, interval/2+rand.N(interval/2)) {
			return TxnResult{}, ErrUnknownOutcome
		}
		interval = min(2*interval, maxRetryInterval)
	}
}

// recogniseOwnWrite turns a conflict with an earlier attempt of the same
// transaction into a committed result.
func recogniseOwnWrite(txn Txn, res TxnResult) TxnResult {
	for _, row := range res.Rows {
		if row.WriteID == txn.ID {
			return TxnResult{Committed: true, Rows: res.Rows}
		}
	}
	return res
}
