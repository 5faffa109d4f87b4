package ledger

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/chart"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/platform"
)

// settleInterval is the pause between two batches from the queue.
const settleInterval = 250 * time.Millisecond

// maxSettleBatch bounds the outcomes of one batch, so that no burst of writes
// follows a long outage.
const maxSettleBatch = 128

// outcome is the end of a claim that the table has not confirmed as written.
type outcome struct {
	claim *Claim
	// from and version are the row's last known state and version.
	from    chart.State
	version platform.Version
	event   chart.Event
	// record is the row to write.
	record record
}

// size returns the size in bytes of the answer that the outcome holds in memory.
func (o *outcome) size() int {
	if o.record.Answer == nil {
		return 0
	}
	return len(o.record.Answer.Body)
}

// settler writes the outcomes of claims and retries those that the store does not
// accept until it does.
type settler struct {
	ledger *Ledger
	mu     sync.Mutex
	queue  []*outcome
	bytes  int
	// inProgress counts outcomes that are being written.
	inProgress atomic.Int64
	// wake signals run that the queue is not empty.
	wake chan struct{}
}

func newSettler(l *Ledger) *settler {
	return &settler{ledger: l, wake: make(chan struct{}, 1)}
}

// push queues an outcome. An answer over the memory bound is dropped: the row
// then records that the request ran and that its answer was not kept.
func (s *settler) push(o *outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes+o.size() > s.ledger.options.MaxPendingAnswerBytes {
		s.ledger.counts.answersDropped.Inc()
		o.record.Answer = nil
	}
	s.bytes += o.size()
	s.queue = append(s.queue, o)
	s.signal()
}

// signal wakes run.
func (s *settler) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take removes up to maxSettleBatch outcomes.
func (s *settler) take() []*outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxSettleBatch)
	batch := append([]*outcome(nil), s.queue[:n]...)
	s.queue = append([]*outcome(nil), s.queue[n:]...)
	for _, o := range batch {
		s.bytes -= o.size()
	}
	s.inProgress.Add(int64(n))
	return batch
}

// pending returns the number of outcomes that are not stored yet.
func (s *settler) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) + int(s.inProgress.Load())
}

// run settles queued outcomes until ctx ends.
func (s *settler) run(ctx context.Context) {
	for {
		select {
		case <-s.wake:
			s.settleBatch(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// settleBatch waits for settleInterval and tries to write a batch of queued
// outcomes once; the outcomes of a batch share few transactions.
func (s *settler) settleBatch(ctx context.Context) {
	select {
	case <-time.After(settleInterval):
	case <-ctx.Done():
		return
	}
	var wg sync.WaitGroup
	for _, o := range s.take() {
		wg.Go(panics.Guard(log.WithField("claim", o.record.ClaimID), func() {
			defer s.inProgress.Add(-1)
			s.settle(ctx, o)
		}))
	}
	wg.Wait()
	if s.pending() > 0 {
		s.signal()
	}
}

// settle tries to write an outcome and queues it if that fails. After a panic, which would
// repeat, it is not queued; the claim ends as unknown.
func (s *settler) settle(ctx context.Context, o *outcome) {
	if !s.try(ctx, o) {
		s.push(o)
	}
}

// try writes an outcome and reports whether it is settled: it was written, or this
// claim may no longer write the row.
func (s *settler) try(ctx context.Context, o *outcome) bool {
	if err := s.ledger.store(ctx, &o.record); err != nil {
		return false
	}
	for {
		t, err := s.ledger.chart.Next(o.from, o.event)
		if err != nil || !slices.Contains(t.Do, actionWrite) {
			log.WithField("claim", o.record.ClaimID).WithField("row", o.from).WithField("event", o.event).
				Info("outcome of a claim dropped: the row is in a state that it may not change")
			return true
		}
		o.record.State = finalState(t.To, &o.record)
		value, err := o.record.encode()
		if err != nil {
			return true
		}
		res := <-s.ledger.rows.submit(o.claim.key, o.version, value)
		if res.err != nil {
			return false
		}
		if res.wrote {
			return true
		}
		current, err := decodeRow(res.row)
		if err != nil || current.ClaimID != o.record.ClaimID || current.State == o.record.State {
			return true
		}
		o.from = current.State
		o.version = res.row.Version
	}
}

// finalState replaces "finished" by "spent" if the answer was not kept.
func finalState(to chart.State, rec *record) chart.State {
	if to == stateFinished && rec.Answer == nil && rec.ObjectKey == "" {
		return stateSpent
	}
	return to
}
