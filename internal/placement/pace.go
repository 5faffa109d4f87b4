package placement

import "time"

// Learning of an engine's pace.
const (
	// paceGain is the weight of one first token.
	paceGain = 0.3
	// minPaceSample is the shortest prediction that says something about pace.
	minPaceSample = 60 * time.Millisecond
	// newsDelay is the usual delay of the news of a first token: the way to the
	// caller's instance, its work, and the way to the home.
	newsDelay = 25 * time.Millisecond
	// slowRatio is the ratio of seen and predicted time from which an engine
	// counts as slow; below it the prediction is merely inexact.
	slowRatio = 1.6
	// maxPace bounds what is believed.
	maxPace = 12.0
)

// learnPace compares when the first token came with when it was predicted, work
// that came later included.
func (m *member) learnPace(pj *placed, predicted, now time.Time) {
	pace := m.engine.Pace()
	ratio := 1 / pace
	if !predicted.IsZero() {
		span := predicted.Sub(pj.at)
		if span < minPaceSample || len(pj.decision.Helpers) > 0 {
			return
		}
		ratio = float64(now.Sub(pj.at)-newsDelay) / float64(span)
	}
	// pace*ratio is what the pace would have to be for the prediction to hold.
	target := pace * ratio
	if target < slowRatio {
		target = 1
	}
	m.engine.SetPace(min(max(pace+paceGain*(target-pace), 1), maxPace))
}
