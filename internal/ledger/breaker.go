package ledger

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the time for which the breaker stays open after a failure of the table.
const (
	minBreakerPause = 100 * time.Millisecond
	// maxBreakerPause applies in a small fleet; setMaxPause raises it in a
	// large one, see probePausePerInstance.
	maxBreakerPause = 1 * time.Second
)

// breaker is a circuit breaker in front of the table: while the table fails, calls
// are refused immediately except for one probe per pause. It is safe for concurrent
// use.
type breaker struct {
	mu sync.Mutex
	// pause is the current pause; zero while the breaker is closed.
	pause     time.Duration
	maxPause  time.Duration
	openUntil time.Time
}

// allow reports whether a call may be sent to the table now.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pause == 0 {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openUntil = now.Add(b.pause)
	return true
}

// report records the outcome of an allowed call.
func (b *breaker) report(ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.pause = 0
		return
	}
	if b.pause > 0 && now.Before(b.openUntil) {
		return
	}
	b.pause = min(max(2*b.pause, minBreakerPause), max(b.maxPause, maxBreakerPause))
	b.openUntil = now.Add(jitter(b.pause))
}

// setMaxPause sets the maximum pause; a value below maxBreakerPause has no effect.
func (b *breaker) setMaxPause(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxPause = d
}

// isClosed reports whether the breaker is closed, that is, refuses no call.
func (b *breaker) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pause == 0
}

// jitter returns a random duration from d/2 to 3d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
