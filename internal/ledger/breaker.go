package ledger

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Pauses of the gate after failures of the table.
const (
	gateFirstPause = 100 * time.Millisecond
	// gateMaxPause is the longest pause in a small fleet; setMaxPause
	// lengthens it in a large one, see probeShare.
	gateMaxPause = 1 * time.Second
)

// gate is a circuit breaker before the table: while the table fails, calls are
// refused at once but for one probe per pause. It is safe for concurrent use.
type gate struct {
	mu sync.Mutex
	// pause is the present pause; zero while the breaker is closed.
	pause     time.Duration
	maxPause  time.Duration
	openUntil time.Time
}

// enter states whether a call may be sent to the table now.
func (g *gate) enter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		return true
	}
	if now.Before(g.openUntil) {
		return false
	}
	g.openUntil = now.Add(g.pause)
	return true
}

// report takes the outcome of a call that had entered.
func (g *gate) report(ok bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.pause = 0
		return
	}
	if g.pause > 0 && now.Before(g.openUntil) {
		return
	}
	g.pause = min(max(2*g.pause, gateFirstPause), max(g.maxPause, gateMaxPause))
	g.openUntil = now.Add(jitter(g.pause))
}

// setMaxPause sets the longest pause, if it is longer than gateMaxPause.
func (g *gate) setMaxPause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxPause = d
}

// isClosed states whether the breaker is closed: no call is refused.
func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pause == 0
}

// jitter returns a random duration from d/2 to 3d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
