// Package lease implements named leases with fencing tokens on the platform's
// table. At most one contender at a time, the holder, has a valid lease of a given
// name; its fencing token is a number that increases with each acquisition, but not
// with a renewal.
//
// A lease is valid for a duration that counts from before its holder sent the
// request that acquired or renewed it. A contender takes a lease over only after it
// has itself observed the row unchanged for that duration and a margin, so the
// clocks of two instances must run at the same rate, within the margin, but need
// not show the same time. For a holder that was paused, Valid reports that its
// lease has expired; requests that it sent before are rejected by their fencing
// token.
package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/wire"
)

var log = logging.For("lease")

// rowPrefix starts the key of each lease's row.
const rowPrefix = "lease/"

// Defaults of Options.
const (
	defaultDuration = 15 * time.Second
	// driftDivisor divides the duration; the quotient is the margin for
	// clocks that run at different rates.
	driftDivisor = 20
)

// renewalsPerDuration is the number of times that a holder tries to renew its lease
// within the duration.
const renewalsPerDuration = 3

// Options configures a Lease.
type Options struct {
	// Name is the lease's name; all contenders use the same.
	Name string
	// Holder is the contender's name, for operators.
	Holder string
	// Duration is how long a lease is valid without renewal; all contenders use
	// the same. The default is 15 s.
	Duration time.Duration
}

// row is the value of a lease's row, encoded as CBOR. The row is never deleted, so
// that Fence never decreases.
type row struct {
	// ID is unique per Lease; it is empty after a release.
	ID     string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
	Fence  uint64 `cbor:"3,keyasint"`
	// Renewals counts the writes of the row, so that each one changes its value.
	Renewals uint64 `cbor:"4,keyasint"`
}

// Lease is one contender for a named lease. It is safe for concurrent use.
type Lease struct {
	table   platform.Table
	options Options
	id      string

	mu sync.Mutex
	// seenVersion is the last known version of the row, first seen at seenAt.
	seenVersion platform.Version
	seenAt      time.Time
	row         row
	// validUntil is when the lease of this contender expires; zero if it does
	// not hold the lease.
	validUntil time.Time
}

// New returns a contender that does not hold the lease yet.
func New(table platform.Table, options Options) *Lease {
	if options.Duration == 0 {
		options.Duration = defaultDuration
	}
	return &Lease{table: table, options: options, id: uuid.NewString()}
}

// margin is the margin for clock drift over one duration.
func (l *Lease) margin() time.Duration { return l.options.Duration / driftDivisor }

// Valid reports whether this contender holds the lease at now, which must come
// from time.Now on this instance.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.validUntil)
}

// Held returns the fencing token under which this contender holds the lease at
// now, and false if it does not. Tokens increase with each acquisition.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence, now.Before(l.validUntil)
}

// Fence returns the last seen fencing token, for operators; it may be that of
// another holder.
func (l *Lease) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence
}

// Holder returns the last seen holder; empty if there is none.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Holder
}

// Acquire renews the lease if this contender holds it, tries to take it if it is
// free or has expired, and reports whether this contender holds it. It must not be
// called concurrently with itself or Release.
func (l *Lease) Acquire(ctx context.Context) (bool, error) {
	if err := l.refresh(ctx); err != nil {
		return l.Valid(time.Now()), err
	}
	next, ok := l.claimable(time.Now())
	if !ok {
		return false, nil
	}
	return l.write(ctx, next)
}

// refresh reads the row and records its current version.
func (l *Lease) refresh(ctx context.Context) error {
	rows, err := l.table.Read(ctx, rowPrefix+l.options.Name)
	if err != nil {
		return trace.Wrap(err)
	}
	return l.observe(rows[0])
}

// observe records the current version of the row. seenAt is taken after the read,
// so that it is never before the write.
func (l *Lease) observe(current platform.Row) error {
	var r row
	if current.Version != 0 {
		if err := wire.Unmarshal(current.Value, &r, wire.Store); err != nil {
			return trace.Wrap(err, "decoding lease row %q", current.Key)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if current.Version != l.seenVersion || l.seenAt.IsZero() {
		l.seenVersion, l.seenAt, l.row = current.Version, time.Now(), r
	}
	if r.ID != l.id {
		l.validUntil = time.Time{}
	}
	return nil
}

// claimable returns the row to write, and false if another holder's lease may
// still be valid.
func (l *Lease) claimable(now time.Time) (row, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := row{ID: l.id, Holder: l.options.Holder, Fence: l.row.Fence, Renewals: l.row.Renewals + 1}
	if l.row.ID == l.id {
		if now.Before(l.validUntil) {
			return next, true
		}
	} else if l.row.ID != "" && now.Sub(l.seenAt) < l.options.Duration+l.margin() {
		return row{}, false
	}
	// A holder that acquires its own expired lease again gets a new token, so
	// that requests with the old token stay fenced off.
	next.Fence++
	return next, true
}

// write commits the row on condition of the last seen version.
func (l *Lease) write(ctx context.Context, next row) (bool, error) {
	value, err := cbor.Marshal(next)
	if err != nil {
		return false, trace.Wrap(err)
	}
	key := rowPrefix + l.options.Name
	l.mu.Lock()
	txn := platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: key, Version: l.seenVersion}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
	l.mu.Unlock()
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.options.Duration/renewalsPerDuration)
	defer cancel()
	res, err := platform.CommitResolved(ctx, l.table, txn)
	if err != nil {
		return l.Valid(time.Now()), trace.Wrap(err)
	}
	if len(res.Rows) != 1 {
		return false, trace.BadParameter("writing lease row: table returned %d rows, want 1", len(res.Rows))
	}
	if err := l.observe(res.Rows[0]); err != nil || !res.Committed {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = start.Add(l.options.Duration - l.margin())
	return time.Now().Before(l.validUntil), nil
}

// Release releases the lease, so that another contender can acquire it immediately.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held := l.row.ID == l.id
	l.validUntil = time.Time{}
	next := row{Fence: l.row.Fence, Renewals: l.row.Renewals + 1}
	l.mu.Unlock()
	if !held {
		return nil
	}
	_, err := l.write(ctx, next)
	l.mu.Lock()
	l.validUntil = time.Time{}
	l.mu.Unlock()
	return err
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (l *Lease) Run(ctx context.Context) error {
	held := false
	for {
		ok, err := l.Acquire(ctx)
		if err != nil && ctx.Err() == nil {
			log.Debugf("renewal or acquisition of lease %q failed: %v", l.options.Name, err)
		}
		if ok != held {
			held = ok
			log.Infof("lease %q changed: held %v, fencing token %d", l.options.Name, held, l.Fence())
		}
		interval := l.options.Duration / renewalsPerDuration
		select {
		case <-time.After(interval*3/4 + rand.N(interval/4)):
		case <-ctx.Done():
			return l.releaseAtEnd(ctx)
		}
	}
}

// releaseAtEnd releases the lease although ctx has ended.
func (l *Lease) releaseAtEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.options.Duration/renewalsPerDuration)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		log.Infof("release of lease %q failed, it will expire: %v", l.options.Name, err)
	}
	return nil
}
