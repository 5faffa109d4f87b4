package placement

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/enginemodel"
)

// Estimation of an engine's speed factor from the ends of answers. An answer consists of many
// passes, so its length in time says more than that of the first token.
const (
	// endGain is the weight of one answer in the moving average.
	endGain = 0.3
	// minPaceEvents is the number of events from which on an answer is used; each is a pass.
	minPaceEvents = 6
	// endSlowRatio is the ratio of observed to predicted time from which on an engine counts as
	// slow by its answers; reports take some milliseconds.
	endSlowRatio = 1.15
	// maxEndRatio bounds the ratio of one answer, which may be long because its caller read it
	// slowly.
	maxEndRatio = 4.0
	// endMemory is how long the last answer is preferred to first tokens that show no slowness.
	endMemory = 10 * time.Second
)

// learnEnginePace compares the output of a completed job, in events, with what the engine was
// predicted to have sent of it until now.
func (p *Planner) learnEnginePace(pj *placed, events int, now time.Time) {
	m := p.known(pj.upstream)
	// A planner that does not know the jobs of other instances predicts faster passes.
	if m == nil || m.engine == nil || !pj.planned || pj.alone || len(pj.decision.Helpers) > 0 || events < minPaceEvents {
		return
	}
	m.engine.Advance(now)
	predicted := 0.0
	m.engine.Each(func(s enginemodel.Progress) {
		if s.ID == pj.job.ID {
			predicted = float64(max(pj.job.expectedOutput(), 1)) - s.OutputLeft
		}
	})
	if predicted <= 0 {
		return
	}
	stride := float64(max(pj.pool.service.Engine.Stride, 1))
	ratio := min(predicted/stride/float64(events), maxEndRatio)
	factor := m.engine.SpeedFactor()
	target := factor * ratio
	if target < endSlowRatio {
		target = 1
	}
	m.endAt = now
	m.engine.SetSpeedFactor(min(max(factor+endGain*(target-factor), 1), maxSpeedFactor))
}

// knowsPace reports whether answers of the engine have ended of late. First tokens that are
// merely inexact do not count then.
func (m *member) knowsPace(now time.Time) bool {
	return !m.endAt.IsZero() && now.Sub(m.endAt) < endMemory
}
