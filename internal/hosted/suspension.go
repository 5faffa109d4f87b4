package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// A process that was stopped for a time, as by SIGSTOP or a paused machine, goes on with what it
// knew before, and would send requests to data centres that have been evacuated meanwhile. So
// the instance notes that it runs, and after a gap reads the evacuations again before it sends.
const (
	// runningInterval is the interval at which the instance notes that it runs.
	runningInterval = 200 * time.Millisecond
	// suspensionShare is the gap that counts as a suspension, as a fraction of the time within
	// which an evacuation must be in force. The rest covers a change that is on its way.
	suspensionShare = 0.3
	// confirmPatienceShare is how long sends wait while calls to the store fail, as a fraction of
	// that time. An instance that cannot reach the store goes on with what it knows.
	confirmPatienceShare = 0.2
)

// suspension detects that the process was stopped, and holds sends until the state is current
// again.
type suspension struct {
	// bound returns the time within which an evacuation must be in force; 0 disables the
	// detection.
	bound func() time.Duration
	// confirm waits until the state is as new as the store, or until the store's calls have
	// failed for patience.
	confirm func(ctx context.Context, patience time.Duration) error

	mu sync.Mutex
	// seenAt is when the process was last known to run.
	seenAt time.Time
	// resumedAt is when the last suspension was noticed, pending is closed when the state is
	// current again after it; nil if it is.
	resumedAt time.Time
	pending   chan struct{}
}

// observe notes that the process runs. It returns a channel that is closed when the state is
// current; nil if it is.
func (s *suspension) observe(now time.Time) chan struct{} {
	bound := s.bound()
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := now.Sub(s.seenAt)
	suspended := bound > 0 && !s.seenAt.IsZero() && float64(gap) > suspensionShare*float64(bound)
	if now.After(s.seenAt) {
		s.seenAt = now
	}
	if !suspended {
		return s.pending
	}
	s.resumedAt = now
	metrics.GetOrCreateCounter(`banyanroute_suspensions_total`).Inc()
	log.WithField("gap_ms", gap.Milliseconds()).Warn("process was stopped for a time; nothing is sent until the evacuations are read again")
	if s.pending == nil {
		s.pending = make(chan struct{})
		go panics.Run(log, func() { s.recover(now) })
	}
	return s.pending
}

// recover waits until the state is current. A further suspension meanwhile starts it anew.
func (s *suspension) recover(since time.Time) {
	for {
		patience := time.Duration(confirmPatienceShare * float64(s.bound()))
		if err := s.confirm(context.Background(), patience); err != nil {
			log.WithError(err).Error("reading the evacuations again failed")
		}
		s.mu.Lock()
		if s.resumedAt.Equal(since) {
			close(s.pending)
			s.pending = nil
			s.mu.Unlock()
			return
		}
		since = s.resumedAt
		s.mu.Unlock()
	}
}

// awaitCurrent waits until the state is current, if the process may have been suspended. It
// reports whether it is before ctx ends.
func (s *suspension) awaitCurrent(ctx context.Context) bool {
	pending := s.observe(time.Now())
	if pending == nil {
		return true
	}
	select {
	case <-pending:
		return true
	case <-ctx.Done():
		return false
	}
}

// run notes that the process runs until ctx ends.
func (s *suspension) run(ctx context.Context) error {
	return sleep.Every(ctx, runningInterval, panics.Guard(log, func() { s.observe(time.Now()) }))
}
