package placement

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/fairshare"
)

// Adopt records a job that another instance placed.
func (p *Planner) Adopt(a Adoption, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[a.Job.Service]
	if pl == nil || a.Decision.Upstream == "" {
		return
	}
	p.adopt(pl, a.Job, a.Decision, a.Since < adoptedSpendTime, now)
	pl.chargeEarlier(p.jobs[a.Job.ID], now.Add(-a.Since), now)
	if a.Answered {
		p.firstAnswer(a.Job.ID, now)
	}
}

// adopt records a placed job. spend reports whether it counts against its upstream's limit. adopt
// reports whether it was counted against the rate of a cold upstream.
func (p *Planner) adopt(pl *pool, j Job, d Decision, spend bool, now time.Time) (cold bool) {
	if _, known := p.jobs[j.ID]; known {
		return false
	}
	if j.expect == 0 {
		p.estimate(pl, &j, now)
	}
	pj := &placed{job: j, decision: d, at: now, deadline: now.Add(j.Lifetime)}
	p.jobs[j.ID] = pj
	p.parts.BeginTrial(d.Trial)
	first := pl.member(d.Upstream)
	if first == nil {
		return false
	}
	pj.run, pj.pool = first.run, pl
	pl.charge(pj, now)
	if spend {
		p.limits.Sent(limitKey(first.upstream))
		cold = p.cold.Sent(limitKey(first.upstream), now)
	}
	first.jobs++
	if !j.isVeryLong() {
		pl.frontJobs++
	}
	if d.Suspect {
		first.suspects++
	}
	if len(d.Trial) > 0 {
		first.trials++
	}
	if first.engine == nil {
		pj.work = p.workOf(&j, now)
		first.enter(pl, pj, now)
		return cold
	}
	for _, w := range pl.works(&j, d, now) {
		if m := pl.member(w.upstream); m != nil {
			m.engine.Add(w.work, now)
		}
	}
	return cold
}

// FirstAnswer records that the job's first token or answer arrived at the instance
// of its caller.
func (p *Planner) FirstAnswer(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstAnswer(id, now)
}

func (p *Planner) firstAnswer(id string, now time.Time) {
	pj := p.jobs[id]
	if pj == nil {
		return
	}
	if !pj.answered {
		pj.answered, pj.answeredAt = true, now
		p.parts.Answered(pj.job.Parts)
		p.seenAlive(pj, now)
	}
	if m := p.known(pj.upstream); m != nil {
		m.answeredAt = now
	}
	pl := p.pools[pj.job.Service]
	if pl == nil {
		return
	}
	for _, up := range pj.decision.upstreams() {
		if m := pl.member(up); m != nil && m.engine != nil {
			predicted := m.engine.FirstToken(id, now)
			if up == pj.decision.Upstream {
				m.updateSpeedFactor(pj, predicted, now)
			}
		}
	}
}

// Ended records the end of a job.
func (p *Planner) Ended(id string, e End, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pj := p.jobs[id]
	if pj == nil {
		return
	}
	p.learn(pj, e, now)
	if pj.pool != nil {
		pj.pool.settle(pj, e, now)
	}
	p.drop(pj, now)
	p.recordPoison(pj, e, now)
	if e.AtFault != "" {
		p.helperFailed(pj, e.AtFault, now)
		return
	}
	m := p.known(pj.upstream)
	if m == nil {
		return
	}
	if e.Outcome == Completed {
		m.answeredAt = now
	}
	if e.Outcome == Unreached && m.answeredAt.After(pj.at) {
		// It has answered another instance meanwhile, so the path has failed.
		metrics.GetOrCreateCounter(`banyanroute_path_failures_total`).Inc()
		return
	}
	if m.health.record(e.Outcome, now) {
		log.WithField("upstream", m.upstream.ID).WithField("outcome", e.Outcome.String()).WithField("request", id).
			WithField("pause", m.health.pause).Warn("upstream marked as down and paused; a successful probe ends the pause early")
	}
}

// helperFailed records that an engine has refused a job because of a helper. The helper gets no work
// until a probe shows that it runs; the engine that refused is sound.
func (p *Planner) helperFailed(pj *placed, id string, now time.Time) {
	pl := p.pools[pj.job.Service]
	if pl == nil {
		return
	}
	m := pl.member(id)
	if m == nil || !m.health.record(Unreached, now) {
		return
	}
	log.WithField("upstream", id).WithField("request", pj.job.ID).WithField("pause", m.health.pause).
		Warn("helper named as the cause of a refusal; it is paused until a probe succeeds")
}

// drop removes a job from its upstreams.
func (p *Planner) drop(pj *placed, now time.Time) {
	delete(p.jobs, pj.job.ID)
	p.parts.EndTrial(pj.decision.Trial)
	pl := p.pools[pj.job.Service]
	if pl == nil {
		return
	}
	if pj.pool == pl && !pj.job.isVeryLong() {
		pl.frontJobs--
	}
	for i, up := range pj.decision.upstreams() {
		m := pl.member(up)
		if m == nil {
			continue
		}
		if i == 0 && m == p.known(pj.upstream) {
			m.jobs = max(m.jobs-1, 0)
			m.leave(pj, now)
			if pj.decision.Suspect {
				m.suspects = max(m.suspects-1, 0)
			}
			if len(pj.decision.Trial) > 0 {
				m.trials = max(m.trials-1, 0)
			}
		}
		if m.engine != nil {
			m.engine.Remove(pj.job.ID, now)
		}
	}
}

// applyEvent applies an event from another instance.
func (p *Planner) applyEvent(e event, now time.Time) {
	switch e.Kind {
	case eventAdopt:
		if e.Adopted != nil {
			p.Adopt(*e.Adopted, now)
		}
	case eventFirst:
		p.FirstAnswer(e.ID, now)
	case eventEnd:
		p.Ended(e.ID, e.End, now)
	case eventTrialPassed:
		p.TrialPassed(e.ID)
	case eventLimits:
		p.ObserveLimits(e.Limits, now)
	case eventCold:
		p.observeColdNotices(e.Cold, now)
	case eventSuspects:
		p.observeNotices(e.Owner, e.Notices, now)
	case eventReset:
		p.reset(e.Owner, e.Service, now)
	}
}

// reset drops an owner's jobs of a service.
func (p *Planner) reset(owner, service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Retell(service) // the owner may have started anew
	for _, pj := range p.jobs {
		if pj.job.Owner == owner && pj.job.Service == service {
			if pj.pool != nil {
				pj.pool.recharge(pj, fairshare.Work{}, now) // it is charged again if it is reported again
			}
			p.drop(pj, now)
		}
	}
}

// dropDeadOwners drops the jobs of all owners that are not live.
func (p *Planner) dropDeadOwners(live map[string]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pj := range p.jobs {
		if !live[pj.job.Owner] {
			p.drop(pj, now)
		}
	}
}

// resetEvents returns the events that bring a new home of the service up to date
// with all jobs of an owner, and with the suspects and the limits of upstreams, of which the
// home may not have heard while it was cut off.
func (p *Planner) resetEvents(service, owner string, now time.Time) []event {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []event{{Kind: eventReset, Owner: owner, Service: service}}
	if notices := p.knownSuspects(); len(notices) > 0 {
		list = append(list, event{Kind: eventSuspects, Owner: owner, Notices: notices})
	}
	if limits := p.limits.Known(service, now); len(limits) > 0 {
		list = append(list, event{Kind: eventLimits, Service: service, Limits: limits})
	}
	if cold := p.cold.Known(service, now); len(cold) > 0 {
		list = append(list, event{Kind: eventCold, Service: service, Cold: coldNotices(cold)})
	}
	for _, pj := range p.jobs {
		if pj.job.Owner != owner || pj.job.Service != service {
			continue
		}
		a := &Adoption{Job: pj.job, Decision: pj.decision, Since: now.Sub(pj.at), Answered: pj.answered}
		a.Job.Waited += a.Since
		a.Job.Lifetime -= a.Since
		list = append(list, event{Kind: eventAdopt, ID: pj.job.ID, Adopted: a})
	}
	return list
}
