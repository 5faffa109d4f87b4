package placement

import "time"

// UpstreamState is a planner's view of one upstream.
type UpstreamState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Jobs    int    `json:"jobs"`
	// UsedTokens, SpeedFactor and PendingPrefill are predictions; they are set for
	// engines only.
	UsedTokens     int     `json:"used_tokens,omitempty"`
	SpeedFactor    float64 `json:"pace,omitempty"`
	PendingPrefill float64 `json:"pending_prefill_seconds,omitempty"`
	ErrorRate      float64 `json:"error_rate"`
	// Down reports whether the upstream was lost; it then gets no work until a
	// probe succeeds or its pause ends.
	Down bool `json:"down"`
}

// Dump returns the state of all upstreams.
func (p *Planner) Dump(now time.Time) []UpstreamState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []UpstreamState
	for _, pl := range p.pools {
		for _, m := range pl.order {
			s := UpstreamState{ID: m.upstream.ID, Service: m.upstream.Service, Jobs: m.jobs, ErrorRate: m.health.errorRate(now), Down: m.health.down}
			if m.engine != nil {
				m.engine.Advance(now)
				s.UsedTokens, s.SpeedFactor, s.PendingPrefill = m.engine.UsedTokens(), m.engine.SpeedFactor(), m.engine.PendingPrefill().Seconds()
			}
			list = append(list, s)
		}
	}
	return list
}
