package placement

import (
	"math"
	"slices"
	"time"
)

// An engine is slow for some seconds after its start. How slow is not known, so the prediction starts
// with a moderate speed factor that fades, and follows answers faster than it does later.
const (
	// startSpeedFactor is the speed factor of an engine that has just started, over 1 so that one
	// that has run for longer is preferred, and low so that the new one gets work that shows its
	// speed.
	startSpeedFactor = 1.5
	// startTime is how long after the start the factor fades, startHalfLife the time in which
	// what exceeds 1 halves.
	startTime     = 10 * time.Second
	startHalfLife = 2 * time.Second
	// startSpeedGain is the weight of one first token in that time: three correct the factor to
	// within a tenth of the difference.
	startSpeedGain = 0.6
	// minStartSample is the shortest predicted time from which the speed is estimated in that time.
	// Short prompts say enough about an engine that is several times slower than predicted.
	minStartSample = 15 * time.Millisecond
)

// start is the slow start of an engine; zero if there is none.
type start struct {
	// until is when the slow start ends, at when the speed factor last faded.
	until, at time.Time
}

// beginStart predicts the slow start of an engine that has just started.
func (pl *pool) beginStart(m *member, now time.Time) {
	if m.engine == nil || pl.service.ColdStart <= 0 {
		return
	}
	m.engine.SetSpeedFactor(startSpeedFactor)
	m.start = start{until: now.Add(startTime), at: now}
	pl.starting = append(pl.starting, m)
}

// fadeStarts has the speed factors of engines that have just started fade.
func (pl *pool) fadeStarts(now time.Time) {
	if len(pl.starting) == 0 {
		return
	}
	for _, m := range pl.starting {
		factor := m.engine.SpeedFactor()
		halvings := float64(max(now.Sub(m.start.at), 0)) / float64(startHalfLife)
		m.engine.SetSpeedFactor(1 + (factor-1)*math.Exp2(-halvings))
		m.start.at = now
	}
	pl.starting = slices.DeleteFunc(pl.starting, func(m *member) bool { return !m.starting(now) })
}

// starting reports whether the member's engine is in its slow start.
func (m *member) starting(now time.Time) bool { return now.Before(m.start.until) }

// earlyRatio returns the observed time of the first token over that predicted when the job was
// placed, for one that arrives earlier; 0 if none was predicted. A token that arrives a little early
// does not show that the engine is as fast as the others.
func (pj *placed) earlyRatio(now time.Time) float64 {
	expect := pj.decision.Expect
	if expect <= 0 {
		return 0
	}
	return min(float64(now.Sub(pj.at)-reportDelay)/float64(expect), 1)
}
