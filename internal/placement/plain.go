package placement

import (
	"time"
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
		cost := p.plainLoad(pl, m, work, now)
		if m.upstream.DataCentre != p.dataCentre {
			cost += remoteJobs
		}
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return Decision{Upstream: best.upstream.ID}
}

// remoteJobs is the load, in jobs per slot, added for an upstream in another data
// centre, so that it loses ties: traffic between data centres is priced.
const remoteJobs = 0.05
