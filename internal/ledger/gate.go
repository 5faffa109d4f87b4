package ledger

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Pauses of the gate after failures of the table.
const (
	gateFirstPause = 100 * time.Millisecond
	gateMaxPause   = 1 * time.Second // At least; see probeShare.
)

// gate is a circuit breaker before the table: while the table fails, calls are
// refused at once but for one probe per pause. It is safe for concurrent use.
type gate struct {
	mu       sync.Mutex
	pause    time.Duration
	maxPause time.Duration
	shutTill time.Time
}

// enter states whether a call may go to the table now.
func (g *gate) enter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		return true
	}
	if now.Before(g.shutTill) {
		return false
	}
	g.shutTill = now.Add(g.pause)
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
	if g.pause > 0 && now.Before(g.shutTill) {
		return
	}
	g.pause = min(max(2*g.pause, gateFirstPause), max(g.maxPause, gateMaxPause))
	g.shutTill = now.Add(jitter(g.pause))
}

// setMaxPause lengthens the longest pause.
func (g *gate) setMaxPause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxPause = d
}

// isOpen states whether calls pass freely.
func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pause == 0
}

// jitter returns a random duration from d/2 to 3d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
