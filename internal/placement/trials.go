package placement

import (
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/poison"
)

// trialRetryAfter is the time after which a trial's result is known.
const trialRetryAfter = time.Second

// assess returns how a job must be treated, given the parts of its prompt.
func (p *Planner) assess(j *Job, now time.Time) poison.Assessment {
	unrecorded := 0
	if j.Stalled {
		unrecorded = 1 // the stalled attempt will be recorded as a loss only when it ends
	}
	return p.parts.Assess(j.Parts, unrecorded, now)
}

// trialOf returns the suspect parts of which the job must be a trial; none if it can be
// placed like any other. It refuses the job if a part crashes upstreams, or if another
// trial of a suspect part is in flight or lost with an unknown cause.
func (p *Planner) trialOf(j *Job, now time.Time) (trial []uint64, d Decision, refused bool) {
	a := p.assess(j, now)
	if a.Verdict >= poison.Pending {
		return nil, p.refuseParts(j, a), true
	}
	return a.Suspects, Decision{}, false
}

// unstableTime is how long after a crash an upstream gets no trials if others can take
// them: one that crashes by itself would make sound parts look like the cause.
const unstableTime = 10 * time.Second

// recordUnstable records that an upstream crashed. Its next incarnation has the same
// address, but mostly another ID.
func (p *Planner) recordUnstable(up deployment.Upstream, now time.Time) {
	maps.DeleteFunc(p.crashedAt, func(_ string, at time.Time) bool { return now.Sub(at) > unstableTime })
	p.crashedAt[up.Address] = now
}

// trialCandidates returns the candidates on which a trial can run: those without another
// one, and if possible those that did not crash recently.
func (p *Planner) trialCandidates(candidates []*member, now time.Time) []*member {
	list := filter(candidates, func(m *member) bool { return m.trials == 0 })
	stable := filter(list, func(m *member) bool {
		at, crashed := p.crashedAt[m.upstream.Address]
		return !crashed || now.Sub(at) > unstableTime
	})
	if len(stable) > 0 {
		return stable
	}
	return list
}

// refuseParts refuses a job because of its prompt's parts.
func (p *Planner) refuseParts(j *Job, a poison.Assessment) Decision {
	d := Decision{Reason: PartSuspected, RetryAfter: trialRetryAfter}
	if a.Verdict == poison.Quarantined {
		d = Decision{Reason: PartPoisoned, RetryAfter: a.Remaining}
	}
	log.WithField("request", j.ID).WithField("parts", j.Parts).WithField("suspects", a.Suspects).
		WithField("reason", d.Reason.String()).Debug("request refused because of a part of its prompt")
	countPlacement(j.Service, d)
	return d
}

// TrialPassed records that a trial has been answered for poison.TrialTime.
func (p *Planner) TrialPassed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pj := p.jobs[id]; pj != nil {
		p.clearParts(pj)
	}
}

// clearParts clears the parts of a job that was answered without a crash.
func (p *Planner) clearParts(pj *placed) {
	if len(pj.job.Parts) == 0 || !pj.answered {
		return
	}
	e := p.parts.Served(pj.job.Parts, pj.answeredAt)
	for _, n := range e.Notices {
		if n.Cleared {
			log.WithField("request", pj.job.ID).WithField("prompt_part", n.Fingerprint).
				Info("prompt part is no suspect any more: a request with it is answered")
		}
	}
	p.apply(e)
}

// apply passes the effects of a change of the table of parts to the other instances, the
// store and the table of requests.
func (p *Planner) apply(e poison.Effects) {
	p.notify(e.Notices)
	for _, r := range e.Saved {
		metrics.GetOrCreateCounter(`banyanroute_poison_parts_total`).Inc()
		log.WithField("parts", r.Parts).WithField("crashes", len(r.Crashes)).
			Warn("prompt parts quarantined: requests with all of them are refused everywhere")
		p.changeQuarantine(QuarantineChange{Record: r})
	}
	for _, r := range e.Released {
		log.WithField("parts", r.Parts).Info("quarantine of prompt parts replaced: one of them is no suspect any more")
		p.changeQuarantine(QuarantineChange{Record: r, Released: true})
	}
	for _, r := range p.poison.Explain(e.Explained) {
		p.changeQuarantine(QuarantineChange{Record: r, Released: true})
	}
}

// changeQuarantine has a change of a quarantine stored.
func (p *Planner) changeQuarantine(c QuarantineChange) {
	if p.onQuarantine != nil {
		p.onQuarantine(c)
	}
}
