package admit

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/route"
)

// baseline grants at once with one of the algorithms that serve for comparison.
// They have no queue, no health and no suspicion. done is false for the
// default algorithm and for prompts that need several engines.
func (s *Scheduler) baseline(p *pool, r *Request, now time.Time) (g *Grant, refusal *result.Error, done bool) {
	var picker route.Picker
	switch s.policy.Algorithm {
	case AlgorithmRoundRobin:
		p.turn++
		picker = route.RoundRobin{Turn: p.turn}
	case AlgorithmLeastRequests:
		picker = route.Best{}
	default:
		return nil, nil, false
	}
	if s.needsGang(p, r) {
		return nil, nil, false
	}
	d := route.Demand{PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Plain: r.Service, Avoid: r.Avoid, Size: s.sizeOf(r)}
	c := picker.Pick(p.view, &d, route.Untried, route.LeastRequests, s.random)
	if c == nil {
		return nil, s.noUpstream(r), true
	}
	g = s.newGrant(p, r, s.byID[c.ID], &d, now)
	g.priority = 0
	return g, nil, true
}
