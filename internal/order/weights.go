package order

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// loadRateKey is the key of the row that holds the weight store's shared rate
// limit.
const loadRateKey = "weights/rate"

// loadRateRow is the row's value. ArrivalUnixMs is the theoretical arrival time
// of the generic cell rate algorithm: when the next load may start if the whole
// burst has been used, in milliseconds since the Unix epoch.
type loadRateRow struct {
	ArrivalUnixMs int64 `cbor:"1,keyasint"`
}

// WeightLoadLimiter limits the rate of loads from the weight store for all groups
// together, through one row of the table: loads are rare, so one read and one
// write for each are cheap.
type WeightLoadLimiter struct {
	Table platform.Table
	// Interval is the mean time between two loads of the whole fleet.
	Interval time.Duration
	// Burst is the number of loads that may start together.
	Burst int
}

// Take takes one load from the rate. It returns zero if the load may start, or
// the time after which to retry. If the table cannot be read or written, it
// returns the table's error and the load must not start.
func (w WeightLoadLimiter) Take(ctx context.Context) (time.Duration, error) {
	rows, err := w.Table.Read(ctx, loadRateKey)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var r loadRateRow
	if rows[0].Version != 0 {
		if err := wire.Unmarshal(rows[0].Value, &r, wire.Store); err != nil {
			return 0, trace.Wrap(err)
		}
	}
	now := time.Now()
	arrival := time.UnixMilli(r.ArrivalUnixMs)
	if arrival.Before(now) {
		arrival = now
	}
	arrival = arrival.Add(w.Interval)
	if wait := arrival.Sub(now) - time.Duration(w.Burst)*w.Interval; wait > 0 {
		return wait, nil
	}
	value, err := cbor.Marshal(loadRateRow{ArrivalUnixMs: arrival.UnixMilli()})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	res, err := platform.CommitResolved(ctx, w.Table, platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: loadRateKey, Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: loadRateKey, Value: value}},
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if !res.Committed {
		return w.Interval, nil
	}
	return 0, nil
}
