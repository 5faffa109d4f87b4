package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/banyanroute/banyanroute/internal/sleep"
)

// Pauses between tries to settle a write whose outcome is unknown. Each is cut by
// up to a half at random, so that the end of an outage brings no burst.
const (
	settleFirstPause = 20 * time.Millisecond
	settleMaxPause   = 1 * time.Second
)

// CommitSettled commits txn and settles an unknown outcome by committing the
// same transaction again: its conditions let it take effect at most once, and
// its ID in a present row shows that it did. The transaction must have at
// least one condition on a row that it also writes.
//
// It returns ErrUnknownOutcome only when ctx ends first, and ErrUnavailable
// only when no try can have taken effect. If another writer has overwritten
// the rows, Committed is false although the write may have taken effect
// before; a caller for whom this matters writes a row that nobody overwrites.
func CommitSettled(ctx context.Context, table Table, txn Txn) (TxnResult, error) {
	unknown := false
	pause := settleFirstPause
	for {
		res, err := table.Commit(ctx, txn)
		switch {
		case err == nil && res.Committed:
			return res, nil
		case err == nil:
			return ownWrite(txn, res), nil
		case errors.Is(err, ErrUnavailable) && !unknown:
			return TxnResult{}, ErrUnavailable
		}
		unknown = true
		if !sleep.For(ctx, pause/2+rand.N(pause/2)) {
			return TxnResult{}, ErrUnknownOutcome
		}
		pause = min(2*pause, settleMaxPause)
	}
}

// ownWrite turns a conflict with the transaction's own earlier effect into a
// committed result.
func ownWrite(txn Txn, res TxnResult) TxnResult {
	for _, row := range res.Rows {
		if row.WriteID == txn.ID {
			return TxnResult{Committed: true, Rows: res.Rows}
		}
	}
	return res
}
