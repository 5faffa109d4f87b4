package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/platform"
)

// Bounds of the transactions that carry claims.
const (
	// maxBatchRows is the number of rows that one transaction writes.
	maxBatchRows = 128
	// maxWorkers is the number of workers, and so of concurrent transactions.
	maxWorkers = 4
)

// op is a conditional write of one row; an empty value deletes it.
type op struct {
	key    string
	expect platform.Version
	value  []byte
	done   chan opResult
}

// opResult is the outcome of an op. Without err, row is the current row and
// wrote reports whether the op wrote it.
type opResult struct {
	row   platform.Row
	wrote bool
	err   error
}

// batcher combines concurrent single-row writes into few transactions: a write is
// sent immediately while fewer than maxWorkers workers run, and the writes that
// arrive meanwhile share the next transaction.
type batcher struct {
	table   platform.Table
	breaker *breaker
	timeout time.Duration
	// limit is the rate limiter of the transactions.
	limit *rate.Limiter
	// takerSem is a semaphore of size one, held by the worker that waits for
	// limit and takes the next batch.
	takerSem chan struct{}

	mu      sync.Mutex
	queue   []*op
	workers int
	// commits and rows count what was sent to the table.
	commits, rows int64
}

// submit queues a write. Its result arrives on the returned channel, after the
// batcher's timeout at the latest.
func (b *batcher) submit(key string, expect platform.Version, value []byte) <-chan opResult {
	o := &op{key: key, expect: expect, value: value, done: make(chan opResult, 1)}
	if !b.breaker.allow(time.Now()) {
		o.done <- opResult{err: platform.ErrUnavailable}
		return o.done
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, o)
	if b.workers < maxWorkers {
		b.workers++
		go panics.Run(log, b.work)
	}
	return o.done
}

// work sends batches until the queue is empty.
func (b *batcher) work() {
	for batch := b.next(); len(batch) > 0; batch = b.next() {
		b.sendContained(batch)
	}
}

// next waits for the rate limiter and returns the next batch; an empty one ends
// the worker. Only one worker at a time waits here, so that the writes that
// arrive meanwhile form one batch.
func (b *batcher) next() []*op {
	b.takerSem <- struct{}{}
	defer func() { <-b.takerSem }()
	if b.endIfIdle() {
		return nil
	}
	_ = b.limit.Wait(context.Background())
	return b.take()
}

// endIfIdle removes the calling worker if the queue is empty, and reports whether
// it did.
func (b *batcher) endIfIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) > 0 {
		return false
	}
	b.workers--
	return true
}

// take removes the next batch from the queue. A key occurs only once in a batch,
// because two writes of one row in the same transaction would both see their
// condition hold.
func (b *batcher) take() []*op {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*op
	keys := map[string]bool{}
	for _, o := range b.queue {
		if keys[o.key] || len(batch) == maxBatchRows {
			rest = append(rest, o)
			continue
		}
		keys[o.key] = true
		batch = append(batch, o)
	}
	b.queue = rest
	return batch
}

// sendContained sends a batch; a panic fails its writes, which may have taken effect.
func (b *batcher) sendContained(batch []*op) {
	defer panics.Recover(log, func() { fail(batch, platform.ErrUnknownOutcome) })
	b.send(batch)
}

// send commits a batch. Writes whose condition failed are answered with the
// current row, and the others go into a new transaction.
func (b *batcher) send(batch []*op) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	for len(batch) > 0 {
		id := uuid.NewString()
		res, err := b.commit(ctx, id, batch)
		if err != nil {
			fail(batch, err)
			return
		}
		rows := make(map[string]platform.Row, len(res.Rows))
		for _, row := range res.Rows {
			rows[row.Key] = row
		}
		rest := answer(batch, rows, id)
		if len(rest) == len(batch) {
			fail(batch, errNoProgress)
			return
		}
		batch = rest
	}
}

// errNoProgress means that the table refused a transaction without naming a
// failed condition.
var errNoProgress = errors.New("transaction refused without a failed condition")

func (b *batcher) commit(ctx context.Context, id string, batch []*op) (platform.TxnResult, error) {
	txn := platform.Txn{ID: id}
	for _, o := range batch {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: o.key, Version: o.expect})
		txn.Writes = append(txn.Writes, platform.Write{Key: o.key, Value: o.value, Delete: len(o.value) == 0})
	}
	b.mu.Lock()
	b.commits++
	b.rows += int64(len(batch))
	b.mu.Unlock()
	res, err := platform.CommitResolved(ctx, b.table, txn)
	b.breaker.report(err == nil, time.Now())
	return res, err
}

// answer delivers the results of the ops whose current row is in rows and returns
// the other ops. A row counts as written by the op only if it carries the
// transaction's ID.
func answer(batch []*op, rows map[string]platform.Row, id string) []*op {
	var rest []*op
	for _, o := range batch {
		row, ok := rows[o.key]
		if !ok {
			rest = append(rest, o)
			continue
		}
		o.done <- opResult{row: row, wrote: row.WriteID == id}
	}
	return rest
}

// fail delivers an error to the ops of a batch that have no result yet.
func fail(batch []*op, err error) {
	for _, o := range batch {
		select {
		case o.done <- opResult{err: err}:
		default:
		}
	}
}
