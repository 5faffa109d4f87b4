package admit

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/route"
)

// grantBaseline grants immediately with one of the baseline algorithms, which
// exist for comparison and use no queue, no health states and no poison
// tracking. done is false for the default algorithm and for prompts that need
// several engines.
func (s *Scheduler) grantBaseline(p *pool, r *Request, now time.Time) (g *Grant, refusal *result.Error, done bool) {
	var picker route.Picker
	switch s.policy.Algorithm {
	case AlgorithmRoundRobin:
		p.roundRobinCount++
		picker = route.RoundRobin{Turn: p.roundRobinCount}
	case AlgorithmLeastRequests:
		picker = route.Best{}
	default:
		return nil, nil, false
	}
	if s.needsGang(p, r) {
		return nil, nil, false
	}
	d := route.Demand{PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Plain: r.Service, Avoid: r.Avoid, Size: s.sizeOf(r)}
	c := picker.Pick(p.view, &d, route.NotTried, route.LeastRequests, s.random)
	if c == nil {
		return nil, s.noUpstream(r), true
	}
	g = s.newGrant(p, r, s.byID[c.ID], &d, now)
	g.priority = 0
	return g, nil, true
}
