package placement

import (
	"time"

	"github.com/banyanroute/banyanroute/internal/poison"
)

// leftEarly reports whether the caller of an attempt that was sent left before the silence of its
// upstream could mean anything.
func (e End) leftEarly() bool {
	return e.Outcome == Abandoned && e.Silence > 0 && e.Silence < poison.MinSilence
}

// recordEarlyLeave remembers an attempt whose caller left early, until its upstream is seen alive or is
// found to have crashed. By itself it causes no probe while the upstream is listed.
func (p *Planner) recordEarlyLeave(pj *placed, now time.Time) {
	if pj.job.Fingerprint == 0 || pj.answered {
		return
	}
	p.poison.LeftEarly(pj.key(), "", pj.job.Fingerprint, pj.decision.Apart, now)
	switch {
	case p.hasRestarted(pj):
		p.crashed(pj.run, now)
	case p.current(pj.upstream) == nil:
		p.explainEarlyLeaves(pj.run, now)
	}
}

// explainEarlyLeaves handles the removal of an upstream on which callers left early. If a probe since
// then got no answer, it has ended; else a probe shows whether it has, or serves on.
func (p *Planner) explainEarlyLeaves(r run, now time.Time) {
	since, early := p.poison.EarlySince(r.key(), now)
	if !early {
		return
	}
	l, unexplained := p.unexplained[incarnationOf(r.upstream)]
	switch {
	case unexplained && l.dark:
		p.crashed(r, now)
	case !unexplained:
		p.unexplained[incarnationOf(r.upstream)] = unexplainedLoss{run: r, at: since, abandoned: true}
	}
}

// unansweredTime is how long another job must have had no answer for an upstream to be probed on which
// a caller has left early. Callers that leave early are no reason for a probe by themselves.
const unansweredTime = time.Second

// doubtSilentUpstreams has the upstreams probed on which a caller has left early and another job has had
// no answer for unansweredTime.
func (p *Planner) doubtSilentUpstreams(now time.Time) {
	if !p.poison.HasEarly() {
		return
	}
	for _, pj := range p.jobs {
		if pj.answered || pj.leaving || now.Sub(pj.at) < unansweredTime {
			continue
		}
		since, early := p.poison.EarlySince(pj.key(), now)
		if _, unexplained := p.unexplained[incarnationOf(pj.upstream)]; early && !unexplained && now.Sub(since) >= unansweredTime {
			p.unexplained[incarnationOf(pj.upstream)] = unexplainedLoss{run: pj.run, at: since, abandoned: true}
		}
	}
}

// seenAlive records that the upstream of a job that has been answered was alive when the job was placed
// and, since a restart takes longer, minRestartTime ago.
func (p *Planner) seenAlive(pj *placed, now time.Time) {
	seen := now.Add(-minRestartTime)
	if pj.at.After(seen) {
		seen = pj.at
	}
	p.poison.Alive(pj.key(), seen)
}
