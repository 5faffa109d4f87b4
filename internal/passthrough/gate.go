package passthrough

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
)

// Gate decides which requests of another interface begin during a graceful shutdown. It is safe
// for concurrent use.
type Gate struct {
	// Stop returns the graceful shutdown that has begun, or nil.
	Stop      func() *Stop
	durations durations
}

// MayBegin returns an error if a shutdown would cut off a request of a route with that deadline.
func (g *Gate) MayBegin(route string, deadline, now time.Time) *result.Error {
	if stop := g.Stop(); stop != nil && !stop.leavesTime(deadline, now, g.durations.expected(route)) {
		return noTimeLeft()
	}
	return nil
}

// Observe records how long a request of a route that was answered has taken.
func (g *Gate) Observe(route string, took time.Duration) { g.durations.observe(route, took) }

// leavesTime reports whether a request may begin now. One whose own time limit ends before the
// shutdown does is always begun. Until callers can reach other instances with certainty, so is one
// that probably ends in time.
func (s *Stop) leavesTime(deadline, now time.Time, expected time.Duration) bool {
	return !deadline.After(s.End) || now.Before(s.NewUntil) && !now.Add(expected).After(s.End)
}
