// Package ledger makes non-idempotent requests run at most once. A conditional
// write of one row claims a request's idempotency key before anything is sent
// to an upstream, and a claim is never taken over: after a send whose outcome
// is unknown, no instance sends again. The row stores the outcome, so that a
// repeat, a later request with the same key, gets the stored answer from any
// instance.
//
// The batcher combines the writes of rows into few transactions; in a large fleet
// the relay sends them to the few instances that write the rows of all. The settler
// retries outcomes that the store did not accept, and the sweep drops old answers
// and deletes old rows.
//
// charts/claim.yaml is the state chart of a row;
// docs/design/0021-at-most-once.md compares the alternatives.
package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/banyanroute/banyanroute/charts"
	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/result"
)

var log = logging.For("ledger")

// Defaults of Options; sizes are in bytes, the rate in transactions per second.
const (
	defaultTableTimeout          = 2 * time.Second
	defaultAnswerRetention       = 24 * time.Hour
	defaultKeyRetention          = 30 * 24 * time.Hour
	defaultInlineBytes           = 4 << 10
	defaultMaxPendingAnswerBytes = 8 << 20
	defaultCommitRate            = 240
)

// Mean Retry-After times: while the table is unavailable, while an earlier attempt
// runs, and when a stored answer cannot be read.
const (
	retryAfterStoreDown    = 2 * time.Second
	retryAfterStillRunning = 1 * time.Second
	retryAfterAnswer       = 2 * time.Second
)

// outcomeGrace is how long after a claim's deadline its holder may still store
// the outcome before repeats get the result "outcome unknown".
const outcomeGrace = 2 * time.Second

// Options configures a Ledger. Zero values take the defaults.
type Options struct {
	// Instance and Incarnation name the holder in claim rows.
	Instance    string
	Incarnation uint64
	// TableTimeout bounds the wait for the table; the default is 2 s.
	TableTimeout time.Duration
	// AnswerRetention is how long answers are kept; the default is 24 hours.
	AnswerRetention time.Duration
	// KeyRetention is how long the row of a used key is kept; the default is 30
	// days.
	KeyRetention time.Duration
	// InlineBytes is the largest answer body kept in the row itself; larger
	// ones go to the object store. The default is 4 KiB.
	InlineBytes int
	// MaxPendingAnswerBytes bounds the answers that wait in memory until the store is
	// available again; the default is 8 MiB. Answers over it are dropped.
	MaxPendingAnswerBytes int
	// Bus, if set, lets the instances of a large fleet share transactions. It
	// must not be started yet.
	Bus peer.Bus
	// Batchers is the number of instances that write claim rows; the default
	// is 8.
	Batchers int
	// CommitRate is the number of transactions per second with claim rows of
	// the whole fleet; the default is 240.
	CommitRate float64
	// HasEnded, if set, reports whether an incarnation of an instance has ended
	// for certain; repeats of its claims then get the result "outcome
	// unknown" immediately.
	HasEnded func(instance string, incarnation uint64) bool
	// ShouldSweep, if set, reports whether this instance ages old rows now. It is
	// harmless if two instances do so concurrently.
	ShouldSweep func() bool
}

func (o Options) withDefaults() Options {
	if o.TableTimeout == 0 {
		o.TableTimeout = defaultTableTimeout
	}
	if o.AnswerRetention == 0 {
		o.AnswerRetention = defaultAnswerRetention
	}
	if o.KeyRetention == 0 {
		o.KeyRetention = defaultKeyRetention
	}
	if o.InlineBytes == 0 {
		o.InlineBytes = defaultInlineBytes
	}
	if o.MaxPendingAnswerBytes == 0 {
		o.MaxPendingAnswerBytes = defaultMaxPendingAnswerBytes
	}
	if o.Batchers == 0 {
		o.Batchers = defaultBatchers
	}
	if o.CommitRate == 0 {
		o.CommitRate = defaultCommitRate
	}
	if o.HasEnded == nil {
		o.HasEnded = func(string, uint64) bool { return false }
	}
	if o.ShouldSweep == nil {
		o.ShouldSweep = func() bool { return false }
	}
	return o
}

// Request is a non-idempotent request to claim.
type Request struct {
	Workspace string
	// Key is the caller's idempotency key, unique within the workspace.
	Key string
	// Fingerprint is a hash of the route and body.
	Fingerprint [32]byte
	// Deadline is the end of the request; nothing is sent after it.
	Deadline time.Time
}

// Answer is the complete answer of an upstream.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// Ledger claims idempotency keys for one instance. It is safe for concurrent
// use.
type Ledger struct {
	table   platform.Table
	objects platform.Objects
	options Options
	chart   *chart.Chart
	breaker breaker
	batcher *batcher
	// rows writes claim rows: the batcher, or a relay in front of it.
	rows    submitter
	settler *settler
	counts  counters
	// sweepAfter is the last row that Sweep has read; only one goroutine of
	// Run uses it.
	sweepAfter string
}

// New returns a ledger on the table and object store.
func New(table platform.Table, objects platform.Objects, options Options) *Ledger {
	c, err := chart.Load(charts.FS, "claim")
	if err != nil {
		panic(err) // unreachable: the chart is embedded in the program
	}
	l := &Ledger{table: table, objects: objects, options: options.withDefaults(), chart: c, counts: newCounters()}
	l.batcher = &batcher{table: table, breaker: &l.breaker, timeout: l.options.TableTimeout, takerSem: make(chan struct{}, 1)}
	l.batcher.limit = rate.NewLimiter(rate.Limit(l.options.CommitRate), commitBurst)
	l.rows = l.batcher
	if l.options.Bus != nil {
		l.rows = newRelay(l.options.Bus, l.batcher, l.options)
	}
	l.settler = newSettler(l)
	l.addGauges()
	return l
}

// submitter writes single rows conditionally. A result without an error is final;
// the claim ID in the row identifies the writer.
type submitter interface {
	submit(key string, expect platform.Version, value []byte) <-chan opResult
}

// Begin claims the request's key. Exactly one of its results is not nil: the
// claim that permits the send, the stored answer of an earlier attempt, or an
// error. An error with result.NotRun applies to this call and, unless the code is
// result.StoreUnavailable or result.ClaimLost, to the key as well.
func (l *Ledger) Begin(ctx context.Context, req Request) (*Claim, *Answer, *result.Error) {
	if err := l.checkKey(req, time.Now()); err != nil {
		return nil, nil, err
	}
	claim := l.newClaim(req)
	value, err := claim.record.encode()
	if err != nil {
		return nil, nil, result.From(err)
	}
	expect := platform.Version(0)
	for {
		res, waitErr := l.write(ctx, claim, expect, value)
		if waitErr != nil {
			return nil, nil, waitErr
		}
		if res.err != nil {
			l.fence(claim, expect, res.err)
			l.counts.storeDown.Inc()
			return nil, nil, storeUnavailable(res.err)
		}
		if res.wrote {
			claim.version = res.row.Version
			l.counts.claimed.Inc()
			return claim, nil, nil
		}
		next, answer, rerr := l.decide(ctx, claim, res.row)
		if next != claimRow {
			return l.endBegin(next, claim, res.row, answer, rerr)
		}
		expect = res.row.Version
	}
}

// endBegin maps a decision that ends Begin to the results of Begin.
func (l *Ledger) endBegin(d decision, claim *Claim, row platform.Row, answer *Answer, err *result.Error) (*Claim, *Answer, *result.Error) {
	if d == ownRow {
		claim.version = row.Version
		l.counts.claimed.Inc()
		return claim, nil, nil
	}
	return nil, answer, err
}

// write submits the claim row and waits for its result. If ctx ends first, the
// claim is released once the result of its write is known.
func (l *Ledger) write(ctx context.Context, claim *Claim, expect platform.Version, value []byte) (opResult, *result.Error) {
	done := l.rows.submit(claim.key, expect, value)
	select {
	case res := <-done:
		return res, nil
	case <-ctx.Done():
		go panics.Run(log, func() {
			res := <-done
			if res.err != nil {
				l.fence(claim, expect, res.err)
				return
			}
			if res.wrote {
				l.settler.push(&outcome{claim: claim, from: stateClaimed, version: res.row.Version, event: eventRefuse, record: claim.record})
			}
		})
		return opResult{}, callEnded(ctx)
	}
}

// fence abandons a claim whose write failed with err. A write that may still
// take effect is fenced off in the background by a later one to the same row.
func (l *Ledger) fence(claim *Claim, expect platform.Version, err error) {
	if errors.Is(err, platform.ErrUnavailable) {
		return
	}
	from := stateAbsent
	if expect != 0 {
		from = stateNotRun
	}
	l.settler.push(&outcome{claim: claim, from: from, version: expect, event: eventRefuse, record: claim.record})
}

func (l *Ledger) newClaim(req Request) *Claim {
	return &Claim{
		ledger:   l,
		key:      rowKey(req.Workspace, req.Key),
		deadline: req.Deadline,
		record: record{
			State:          stateClaimed,
			ClaimID:        uuid.NewString(),
			Owner:          l.options.Instance,
			Incarnation:    l.options.Incarnation,
			Fingerprint:    req.Fingerprint,
			BegunUnixMs:    time.Now().UnixMilli(),
			DeadlineUnixMs: req.Deadline.UnixMilli(),
		},
	}
}

func storeUnavailable(cause error) *result.Error {
	return result.Wrap(cause, result.StoreUnavailable, "the table service did not take the claim; nothing was sent").
		WithRetryAfter(jitter(retryAfterStoreDown))
}

// callEnded is the error of a call whose ctx ended before the result of its claim
// was known.
func callEnded(ctx context.Context) *result.Error {
	const detail = "the call ended before its key was claimed"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, detail).WithExecution(result.NotRun).WithRetryAfter(jitter(retryAfterStoreDown))
	}
	return result.New(result.CallerGone, detail).WithExecution(result.NotRun)
}

// Run writes outcomes that the store has not accepted yet and ages old rows, until
// ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { panics.Restart(ctx, log, l.settler.run) })
	wg.Go(func() { panics.Restart(ctx, log, l.runSweeps) })
	wg.Wait()
	return nil
}
