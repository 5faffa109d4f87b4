package placement

import (
	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

// limitKey returns the key of an upstream's limit.
func limitKey(up deployment.Upstream) upstreamlimit.Key {
	return upstreamlimit.Key{ID: up.ID, Born: up.Born}
}

// ObserveLimit records what an answer of an upstream says of its limit.
func (p *Planner) ObserveLimit(up deployment.Upstream, l upstreamlimit.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Observe(limitKey(up), l)
}
