package placement

import (
	"math"
	"time"
)

// Judgement of upstreams by the outcomes of attempts.
const (
	// errorGain is the weight of one outcome in the error rate.
	errorGain = 0.25
	// errorHalfLife is how fast an error rate fades without new outcomes, so
	// that an upstream that is better again gets work again.
	errorHalfLife = 4 * time.Second
	// firstPause and maxPause bound how long an upstream that could not be
	// reached gets no work; probes end it sooner.
	firstPause = 500 * time.Millisecond
	maxPause   = 8 * time.Second
	// refusalPause is how long one that is full gets no work.
	refusalPause = 150 * time.Millisecond
)

// condition is what outcomes say of one upstream.
type condition struct {
	errors   float64
	errorsAt time.Time
	// pausedUntil keeps work away; pause is the length of the last one.
	pausedUntil time.Time
	pause       time.Duration
	// down says that the pause is due to a lost upstream, which probes can end.
	down bool
}

// errorRate returns the faded share of failed attempts.
func (c *condition) errorRate(now time.Time) float64 {
	if c.errors == 0 {
		return 0
	}
	return c.errors * math.Exp2(-float64(now.Sub(c.errorsAt))/float64(errorHalfLife))
}

// usable states whether the upstream may get work.
func (c *condition) usable(now time.Time) bool { return !now.Before(c.pausedUntil) }

// note takes the outcome of an attempt. It returns whether the upstream has just
// become unusable as lost.
func (c *condition) note(o Outcome, now time.Time) bool {
	rate := c.errorRate(now)
	c.errorsAt = now
	switch o {
	case Completed:
		c.errors = rate * (1 - errorGain)
		c.pause, c.down = 0, false
		return false
	case Refused:
		c.errors = rate
		c.pausedUntil = maxTime(c.pausedUntil, now.Add(refusalPause))
		return false
	case Failed, Stalled:
		c.errors = rate + errorGain*(1-rate)
		return false
	case Unreached, Lost:
		c.errors = rate + errorGain*(1-rate)
		if !c.usable(now) && c.down {
			return false
		}
		c.pause = min(max(2*c.pause, firstPause), maxPause)
		c.pausedUntil = now.Add(c.pause)
		c.down = true
		return true
	}
	c.errors = rate
	return false
}

// probed takes the result of a probe.
func (c *condition) probed(ok bool, now time.Time) {
	if ok {
		c.pausedUntil, c.down = now, false
		return
	}
	c.pause = min(max(2*c.pause, firstPause), maxPause)
	c.pausedUntil = now.Add(c.pause)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
