package admit

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/route"
)

// Dump is the scheduler's state as operators see it.
type Dump struct {
	Algorithm   string         `json:"algorithm"`
	ShortWeight float64        `json:"short_weight"`
	Upstreams   []UpstreamDump `json:"upstreams"`
	Pools       []PoolDump     `json:"pools"`
	// Suspects is the number of fingerprints recorded as poison suspects,
	// quarantined ones included.
	Suspects int `json:"suspects"`
}

// UpstreamDump is the state of one upstream on which decisions are based.
type UpstreamDump struct {
	ID           string  `json:"id"`
	State        string  `json:"state"`
	Share        float64 `json:"share"`
	Queued       float64 `json:"queued_prompt_tokens"`
	Short        float64 `json:"short_prompt_tokens"`
	Streams      int     `json:"streams"`
	FreeTokens   int     `json:"free_tokens"`
	TokensPerS   float64 `json:"prefill_tokens_per_second"`
	ShortOnly    bool    `json:"short_only"`
	Exclusive    bool    `json:"exclusive"`
	InFlight     int     `json:"in_flight_here"`
	LatencyRatio float64 `json:"latency_ratio"`
}

// PoolDump is the state of the pool of one model or service and of its queue.
type PoolDump struct {
	Target    string  `json:"target"`
	Service   bool    `json:"service"`
	Upstreams int     `json:"upstreams"`
	Waiting   int     `json:"waiting"`
	Work      float64 `json:"waiting_tokens"`
	Panicking bool    `json:"panicking"`
	DrainRate float64 `json:"drain_tokens_per_second"`
}

// Dump returns the state for operators; its type is Dump.
func (s *Scheduler) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	d := Dump{Algorithm: s.policy.Algorithm, ShortWeight: s.policy.ShortWeight}
	if d.Algorithm == "" {
		d.Algorithm = AlgorithmBanyan
	}
	d.Suspects, _ = s.poison.Size()
	for _, st := range s.byID {
		s.refresh(st, now)
		d.Upstreams = append(d.Upstreams, st.dump())
	}
	slices.SortFunc(d.Upstreams, func(a, b UpstreamDump) int { return strings.Compare(a.ID, b.ID) })
	for _, p := range s.pools {
		d.Pools = append(d.Pools, PoolDump{
			Target: p.key.target, Service: p.key.service, Upstreams: len(p.states),
			Waiting: p.queue.count, Work: p.queue.work, Panicking: p.panicking, DrainRate: p.throughput.rate,
		})
	}
	slices.SortFunc(d.Pools, func(a, b PoolDump) int { return strings.Compare(a.Target, b.Target) })
	return d
}

func (st *state) dump() UpstreamDump {
	ratio, _ := st.health.LatencySample()
	return UpstreamDump{
		ID: st.upstream.ID, State: string(st.health.State()), Share: st.candidate.Share,
		Queued: st.candidate.Queued, Short: st.candidate.Work[route.SizeShort], Streams: st.candidate.Streams,
		FreeTokens: st.candidate.FreeTokens, TokensPerS: st.candidate.Rate,
		ShortOnly: st.candidate.ShortOnly, Exclusive: st.candidate.Exclusive,
		InFlight: st.load.InFlight(), LatencyRatio: ratio,
	}
}
