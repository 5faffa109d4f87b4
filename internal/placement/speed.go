package placement

import "time"

// Estimation of an engine's speed factor, the observed time over the predicted time.
const (
	// speedFactorGain is the weight of one first token in the moving average.
	speedFactorGain = 0.3
	// minSpeedSample is the shortest predicted time from which a speed is estimated;
	// shorter ones say little about it.
	minSpeedSample = 60 * time.Millisecond
	// reportDelay is the usual delay until a first token is reported: the transfer to
	// the caller's instance, the processing there, and the transfer to the home.
	reportDelay = 25 * time.Millisecond
	// slowRatio is the ratio of observed to predicted time from which on an engine
	// counts as slow; below it the prediction is merely inexact.
	slowRatio = 1.6
	// maxSpeedFactor bounds the speed factor against outliers.
	maxSpeedFactor = 12.0
)

// updateSpeedFactor compares the time of the first token with its prediction, which
// takes work that was placed later into account. If the token arrives before the
// prediction has reached it (predicted is zero), the factor moves towards 1.
func (m *member) updateSpeedFactor(pj *placed, predicted, now time.Time) {
	gain, least := speedFactorGain, minSpeedSample
	if m.starting(now) {
		gain, least = startSpeedGain, minStartSample
	}
	factor := m.engine.SpeedFactor()
	ratio := 1 / factor
	if predicted.IsZero() && m.starting(now) {
		ratio = max(ratio, pj.earlyRatio(now))
	}
	if !predicted.IsZero() {
		span := predicted.Sub(pj.at)
		if span < least || len(pj.decision.Helpers) > 0 {
			return
		}
		ratio = float64(now.Sub(pj.at)-reportDelay) / float64(span)
	}
	// With this factor the prediction would have been exact.
	target := factor * ratio
	if target < slowRatio && m.knowsPace(now) {
		return
	}
	if target < slowRatio && !m.starting(now) {
		target = 1
	}
	m.engine.SetSpeedFactor(min(max(factor+gain*(target-factor), 1), maxSpeedFactor))
}
