package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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
	// WorkPace is the pace of a slow plain upstream, as a multiple of the usual work time.
	WorkPace float64 `json:"work_pace,omitempty"`
	// Limit is the number of requests a second that the upstream names, Allowance how many
	// may be sent now as far as this instance knows.
	Limit     *float64 `json:"limit_per_second,omitempty"`
	Allowance *float64 `json:"limit_allowance,omitempty"`
	// Pause is for how many seconds the upstream wants no requests, as far as this instance
	// knows.
	Pause float64 `json:"pause_seconds,omitempty"`
	// Cold is for how many seconds the upstream still counts as cold, ColdAllowance how many
	// requests this instance may place there now.
	Cold          float64 `json:"cold_seconds,omitempty"`
	ColdAllowance float64 `json:"cold_allowance,omitempty"`
	// Down reports whether the upstream was lost; it then gets no work until a
	// probe succeeds or its pause ends.
	Down bool `json:"down"`
}

// JobsIn returns the number of known jobs, placed here or reported by other instances, whose
// upstream or helpers are in a data centre.
func (p *Planner) JobsIn(dataCentre string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pj := range p.jobs {
		pl := p.pools[pj.job.Service]
		if pl != nil && slices.ContainsFunc(pj.decision.upstreams(), func(id string) bool {
			m := pl.member(id)
			return m != nil && m.upstream.DataCentre == dataCentre
		}) {
			n++
		}
	}
	return n
}

// Dump returns the state of all upstreams.
func (p *Planner) Dump(now time.Time) []UpstreamState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []UpstreamState
	for _, pl := range p.pools {
		for _, m := range slices.SortedFunc(maps.Values(pl.members), func(a, b *member) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) }) {
			s := UpstreamState{ID: m.upstream.ID, Service: m.upstream.Service, Jobs: m.jobs, ErrorRate: m.health.errorRate(now), Down: m.health.down}
			if m.engine != nil {
				m.engine.Advance(now)
				s.UsedTokens, s.SpeedFactor, s.PendingPrefill = m.engine.UsedTokens(), m.engine.SpeedFactor(), m.engine.PendingPrefill().Seconds()
			}
			if pace := m.pace.Factor(now); pace > 1 {
				s.WorkPace = pace
			}
			if perSecond, tokens, named := p.limits.State(limitKey(m.upstream)); named {
				s.Limit, s.Allowance = &perSecond, &tokens
			}
			s.Pause = p.limits.Paused(limitKey(m.upstream), now).Seconds()
			s.Cold, s.ColdAllowance = p.cold.Left(limitKey(m.upstream), now).Seconds(), p.cold.Allowance(limitKey(m.upstream))
			list = append(list, s)
		}
	}
	return list
}
