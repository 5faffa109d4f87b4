package order

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/platform"
)

// rateKey is the row of the weight store's shared rate.
const rateKey = "weights/rate"

// rateRow is the row's value: when the next load may start if the whole burst
// has been used, in milliseconds since the Unix epoch.
type rateRow struct {
	FullUnixMs int64 `cbor:"1,keyasint"`
}

// WeightRate shares the weight store's rate among all groups through one row of
// the table: loads are rare, so one read and one write for each are cheap.
type WeightRate struct {
	Table platform.Table
	// Interval is the mean time between two loads of the fleet.
	Interval time.Duration
	// Burst is the number of loads that may start together.
	Burst int
}

// Take takes one load from the rate. It returns zero if the load may start, or
// the time after which to retry. If the table cannot be read or written, it
// returns the table's error and the load must not start.
func (w WeightRate) Take(ctx context.Context) (time.Duration, error) {
	rows, err := w.Table.Read(ctx, rateKey)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var r rateRow
	if rows[0].Version != 0 {
		if err := cbor.Unmarshal(rows[0].Value, &r); err != nil {
			return 0, trace.Wrap(err)
		}
	}
	now := time.Now()
	full := time.UnixMilli(r.FullUnixMs)
	if full.Before(now) {
		full = now
	}
	full = full.Add(w.Interval)
	if wait := full.Sub(now) - time.Duration(w.Burst)*w.Interval; wait > 0 {
		return wait, nil
	}
	value, err := cbor.Marshal(rateRow{FullUnixMs: full.UnixMilli()})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	res, err := platform.CommitSettled(ctx, w.Table, platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: rateKey, Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: rateKey, Value: value}},
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if !res.Committed {
		return w.Interval, nil
	}
	return 0, nil
}
