package placement

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/poison"
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
func (p *Planner) recordPoison(m *member, pj *placed, o Outcome, now time.Time) {
	fingerprint := pj.job.Fingerprint
	switch o {
	case Lost:
		born := strconv.FormatInt(m.upstream.Born, 10)
		p.poison.Lost(m.upstream.ID, born, fingerprint, m.jobs == 0, now)
		metrics.GetOrCreateCounter(`banyanroute_poison_losses_total`).Inc()
		log.WithField("request", pj.job.ID).WithField("fingerprint", fingerprint).WithField("upstream", m.upstream.ID).
			WithField("incarnation", born).Info("attempt lost; its request is a suspect if the upstream crashed")
	case Completed:
		p.poison.Completed(fingerprint)
	}
}

// crashed records that an upstream ended: the requests lost there may have crashed
// it.
func (p *Planner) crashed(id string, now time.Time) {
	for _, notice := range p.poison.Confirm(id, now) {
		metrics.GetOrCreateCounter(`banyanroute_poison_crashes_total`).Inc()
		log.WithField("upstream", id).WithField("fingerprint", notice.Fingerprint).WithField("crashes", len(notice.Crashes)).
			Warn("upstream ended with a request in flight that may have crashed it")
	}
}

// refusePoisoned refuses a job whose request is quarantined.
func (p *Planner) refusePoisoned(j *Job, now time.Time) (Decision, bool) {
	if j.Fingerprint == 0 {
		return Decision{}, false
	}
	verdict, wait := p.poison.Verdict(j.Fingerprint, now)
	if verdict != poison.Quarantined {
		return Decision{}, false
	}
	log.WithField("request", j.ID).WithField("fingerprint", j.Fingerprint).
		Info("request refused: it was in flight on several upstreams that crashed")
	return Decision{Reason: Poisoned, RetryAfter: wait}, true
}
