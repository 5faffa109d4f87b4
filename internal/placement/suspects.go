package placement

import (
	"strconv"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// Suspects returns the upstreams that are due for a probe: those that are down and
// whose pause ends soon.
func (p *Planner) Suspects(now time.Time) []deployment.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []deployment.Upstream
	for _, pl := range p.pools {
		for _, m := range pl.order {
			if m.health.down && m.health.usable(now.Add(firstPause)) {
				list = append(list, m.upstream)
			}
		}
	}
	return list
}

// Probed records the result of a probe of a suspect.
func (p *Planner) Probed(service, id string, ok bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.pools[service]; pl != nil && pl.members[id] != nil {
		pl.members[id].health.probed(ok, now)
	}
	if !ok {
		p.crashed(id, now)
	}
}

// recordPoison updates the poison table with the outcome of an attempt.
func (p *Planner) recordPoison(m *member, fingerprint uint64, o Outcome, now time.Time) {
	switch o {
	case Lost:
		p.poison.Lost(m.upstream.ID, strconv.FormatInt(m.upstream.Born, 10), fingerprint, m.jobs == 0, now)
	case Completed:
		p.poison.Completed(fingerprint)
	}
}

// crashed records that an upstream ended: the requests lost there may have crashed
// it.
func (p *Planner) crashed(id string, now time.Time) {
	for _, notice := range p.poison.Confirm(id, now) {
		log.WithField("upstream", id).WithField("fingerprint", notice.Fingerprint).WithField("crashes", len(notice.Crashes)).
			Warn("upstream ended with a request in flight that may have crashed it")
	}
}
