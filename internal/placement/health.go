package placement

import (
	"math"
	"time"
)

// Health tracking of upstreams by the outcomes of attempts.
const (
	// errorGain is the weight of one outcome in the moving error rate.
	errorGain = 0.25
	// errorHalfLife is how fast an error rate decays without new outcomes, so that
	// an upstream that has recovered gets work again.
	errorHalfLife = 4 * time.Second
	// firstPause and maxPause bound the exponential pause during which an upstream
	// that could not be reached gets no work; a successful probe ends it sooner.
	firstPause = 500 * time.Millisecond
	maxPause   = 8 * time.Second
	// refusalPause is how long an upstream that refused a request gets no work.
	refusalPause = 150 * time.Millisecond
)

// health is the state of one upstream as judged by the outcomes of attempts.
type health struct {
	// errors is the moving error rate as of errorsAt.
	errors   float64
	errorsAt time.Time
	// pausedUntil is when the upstream may get work again; pause is the length of
	// the last pause.
	pausedUntil time.Time
	pause       time.Duration
	// down reports whether the pause is due to a lost upstream; a successful probe
	// can then end it.
	down bool
}

// errorRate returns the decayed share of failed attempts.
func (h *health) errorRate(now time.Time) float64 {
	if h.errors == 0 {
		return 0
	}
	return h.errors * math.Exp2(-float64(now.Sub(h.errorsAt))/float64(errorHalfLife))
}

// usable reports whether the upstream may get work.
func (h *health) usable(now time.Time) bool { return !now.Before(h.pausedUntil) }

// record updates the state with the outcome of an attempt and reports whether the
// outcome marked the upstream as down.
func (h *health) record(o Outcome, now time.Time) bool {
	rate := h.errorRate(now)
	h.errorsAt = now
	switch o {
	case Completed:
		h.errors = rate * (1 - errorGain)
		h.pause, h.down = 0, false
		return false
	case Refused:
		h.errors = rate
		h.pausedUntil = latest(h.pausedUntil, now.Add(refusalPause))
		return false
	case Failed, Stalled:
		h.errors = rate + errorGain*(1-rate)
		return false
	case Unreached, Lost:
		h.errors = rate + errorGain*(1-rate)
		if !h.usable(now) && h.down {
			return false
		}
		h.pause = min(max(2*h.pause, firstPause), maxPause)
		h.pausedUntil = now.Add(h.pause)
		h.down = true
		return true
	}
	h.errors = rate
	return false
}

// probed updates the state with the result of a probe.
func (h *health) probed(ok bool, now time.Time) {
	if ok {
		h.pausedUntil, h.down = now, false
		return
	}
	h.pause = min(max(2*h.pause, firstPause), maxPause)
	h.pausedUntil, h.down = now.Add(h.pause), true
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
