package placement

import (
	"time"
)

// errorCost is the number of jobs in the queue that an error rate of 1 counts as.
const errorCost = 20

// placeCall chooses a process of a plain service: the one with the least jobs
// per slot, counting recent errors as jobs. Equals take turns.
func (p *Planner) placeCall(pl *pool, candidates []*member, now time.Time) Decision {
	pl.turn++
	var best *member
	var lowest float64
	for i := range candidates {
		m := candidates[(pl.turn+i)%len(candidates)]
		cost := (float64(m.jobs) + errorCost*m.condition.errorRate(now)) / float64(max(m.upstream.Slots, 1))
		if m.upstream.DataCentre != p.dataCentre {
			cost += remoteCost
		}
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return Decision{Upstream: best.upstream.ID}
}

// remoteCost makes an upstream in another data centre lose among equals; bytes
// between data centres are priced.
const remoteCost = 0.05
