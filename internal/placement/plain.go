package placement

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/costmodel"
)

// errorRateJobs is the number of queued jobs that an error rate of 1 counts as.
const errorRateJobs = 20

// placePlain chooses a process of a plain service: the one with the least load per slot, see
// plainLoad, counting recent errors as jobs. Ties are broken round robin.
func (p *Planner) placePlain(pl *pool, candidates []*member, j *Job, now time.Time) Decision {
	pl.nextStart++
	var best *member
	var lowest float64
	work := p.workOf(j, now)
	for i := range candidates {
		m := candidates[(pl.nextStart+i)%len(candidates)]
		cost := p.plainCost(pl, m, work, now)
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return Decision{Upstream: best.upstream.ID}
}

// remoteJobs is the load, in jobs per slot, added for an upstream in another data
// centre, so that it loses ties: traffic between data centres is priced.
const remoteJobs = 0.05

// plainCost returns what a further job costs on a plain upstream: its load, and more if it is in
// another data centre.
func (p *Planner) plainCost(pl *pool, m *member, work *costmodel.Work, now time.Time) float64 {
	cost := p.plainLoad(pl, m, work, now)
	if m.upstream.DataCentre != p.dataCentre {
		cost += remoteJobs
	}
	return cost
}
