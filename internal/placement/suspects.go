package placement

import (
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/poison"
)

// unexplainedLoss is an upstream on which an attempt was lost, with the time of the
// last loss.
type unexplainedLoss struct {
	run
	at time.Time
	// abandoned reports whether all those attempts were given up by their callers, dark whether
	// a probe since then got no answer.
	abandoned, dark bool
}

// run is one run of an upstream's process. An upstream that crashes and restarts at the same
// address remains listed as the same incarnation until the store has its new entry, which takes
// long while the store is away. Its crashes in the meantime are counted apart.
type run struct {
	upstream deployment.Upstream
	// restarts is how often the upstream crashed and ran again as this incarnation.
	restarts int
}

// key identifies the run in the tables of crashes, on all instances.
func (r run) key() string {
	if r.restarts == 0 {
		return incarnationOf(r.upstream)
	}
	return incarnationOf(r.upstream) + "#" + strconv.Itoa(r.restarts)
}

// minRestartTime is the minimum time that an upstream needs to restart; one that
// answers a probe sooner after a loss did not crash.
const minRestartTime = 500 * time.Millisecond

// incarnationOf names one start of an upstream, which may keep its ID when it restarts.
func incarnationOf(up deployment.Upstream) string {
	return up.ID + "/" + strconv.FormatInt(up.Born, 10) + "/" + up.Address
}

// current returns the listed member that is the same incarnation, or nil.
func (p *Planner) current(up deployment.Upstream) *member {
	pl := p.pools[up.Service]
	if pl == nil {
		return nil
	}
	m := pl.members[up.ID]
	if m == nil || !m.upstream.SameIncarnation(up) {
		return nil
	}
	return m
}

// known returns the member that is the same incarnation, listed or not; nil if there is none.
func (p *Planner) known(up deployment.Upstream) *member {
	if pl := p.pools[up.Service]; pl != nil {
		if m := pl.member(up.ID); m != nil && m.upstream.SameIncarnation(up) {
			return m
		}
	}
	return nil
}

// isReplaced reports whether a later incarnation of the upstream is listed.
func (p *Planner) isReplaced(up deployment.Upstream) bool {
	pl := p.pools[up.Service]
	if pl == nil || p.current(up) != nil {
		return false
	}
	m := pl.members[up.ID]
	return m != nil && m.upstream.Born >= up.Born
}

// DueForProbe returns the upstreams that are due for a probe: those that are down and
// whose pause ends soon, and those on which a loss is unexplained.
// An upstream that wants no requests gets no probes either.
func (p *Planner) DueForProbe(now time.Time) []deployment.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubtSilentUpstreams(now)
	var list []deployment.Upstream
	for incarnation, l := range p.unexplained {
		if now.Sub(l.at) > poison.PendingTimeout {
			delete(p.unexplained, incarnation)
			lossLog(l.upstream).Info("lost attempts unexplained; it is not known whether the upstream crashed")
			continue
		}
		if p.limits.Paused(limitKey(l.upstream), now) == 0 {
			list = append(list, l.upstream)
		}
	}
	for _, pl := range p.pools {
		for _, m := range pl.order {
			if !m.health.down || !m.health.usable(now.Add(firstPause)) || p.limits.Paused(limitKey(m.upstream), now) > 0 {
				continue
			}
			if _, listed := p.unexplained[incarnationOf(m.upstream)]; !listed {
				list = append(list, m.upstream)
			}
		}
	}
	return list
}

// Probed records the result of a probe that began at the given time.
func (p *Planner) Probed(up deployment.Upstream, result deployment.ProbeResult, began, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.current(up)
	l, unexplained := p.unexplained[incarnationOf(up)]
	// A probe after callers have left only explains: it may wait for a slot as long as they did,
	// and an answer doesn't end a pause after refusals.
	explains := unexplained && l.abandoned
	if m != nil && (m.health.down || result != deployment.Alive && !explains) {
		m.health.probed(result == deployment.Healthy, now)
	}
	// An instance that is cut off from an upstream gets no answer either. Only if the
	// upstream is not listed any more does that show that it ended.
	if result == deployment.Ended || result == deployment.Unreachable && m == nil {
		p.crashed(p.currentRun(up), now)
		return
	}
	if result == deployment.Unreachable {
		if unexplained && began.After(l.at) {
			l.dark = true
			p.unexplained[incarnationOf(up)] = l
		}
		return
	}
	p.dismissLosses(up, began.Add(-minRestartTime))
}

// dismissLosses records that a run of an upstream that was alive at the time seen is alive: what
// was lost there before that was no crash.
func (p *Planner) dismissLosses(up deployment.Upstream, seen time.Time) {
	l, unexplained := p.unexplained[incarnationOf(up)]
	if !unexplained || !seen.After(l.at) {
		return
	}
	p.poison.Dismiss(l.key(), seen, l.dark)
	p.parts.Dismiss(l.key(), seen)
	delete(p.unexplained, incarnationOf(up))
	lossLog(up).Info("lost attempts explained: the upstream did not crash")
}

// isUnexplained reports whether an attempt was lost on the incarnation, perhaps in a crash.
func (p *Planner) isUnexplained(up deployment.Upstream) bool {
	_, lost := p.unexplained[incarnationOf(up)]
	return lost
}

// currentRun returns the run of an incarnation that is known or on which an attempt was lost.
func (p *Planner) currentRun(up deployment.Upstream) run {
	if m := p.known(up); m != nil {
		return m.run
	}
	if l, unexplained := p.unexplained[incarnationOf(up)]; unexplained {
		return l.run
	}
	return run{upstream: up}
}

// recordPoison updates the poison table with the outcome of an attempt.
func (p *Planner) recordPoison(pj *placed, e End, now time.Time) {
	o := e.Outcome
	if o == Completed {
		p.seenAlive(pj, now)
		p.clearParts(pj)
		if l, unexplained := p.unexplained[incarnationOf(pj.upstream)]; unexplained && pj.answered && pj.answeredAt.Before(l.at) {
			// An answer that began before the loss has ended whole.
			p.dismissLosses(pj.upstream, now.Add(-minRestartTime))
		}
	}
	switch {
	case o == Completed && pj.job.Fingerprint != 0:
		q, quarantined := p.poison.Record(pj.job.Fingerprint)
		if quarantined {
			p.changeQuarantine(QuarantineChange{Record: q, Released: true})
		}
		if notice, suspected := p.poison.Completed(pj.job.Fingerprint); suspected {
			log.WithField("request", pj.job.ID).WithField("fingerprint", pj.job.Fingerprint).Info("request completed and is no suspect any more")
			p.notify([]poison.Notice{notice})
		}
	case pj.upstream.ID == "" || pj.leaving:
	case e.mayBeCrash():
		p.recordLoss(pj, e, now)
	case e.leftEarly():
		p.recordEarlyLeave(pj, now)
	}
}

// mayBeCrash reports whether the end of an attempt may be due to a crash of its upstream, which
// can leave connections open without a sign.
func (e End) mayBeCrash() bool {
	return e.Outcome == Lost || e.Outcome == Stalled || e.Outcome == Abandoned && e.Silence >= poison.MinSilence
}

// recordLoss records an attempt that was lost or got no answer, perhaps because its
// upstream crashed.
func (p *Planner) recordLoss(pj *placed, e End, now time.Time) {
	up, fingerprint := pj.upstream, pj.job.Fingerprint
	m := p.known(up)
	if m != nil && e.Outcome == Lost && !m.crashedAt.IsZero() && pj.at.After(m.crashedAt) {
		// The job was sent after the crash, so the upstream had restarted.
		m.restarts, m.crashedAt = m.restarts+1, time.Time{}
		pj.run = m.run
	}
	metrics.GetOrCreateCounter(`banyanroute_poison_losses_total`).Inc()
	lossLog(up).WithField("request", pj.job.ID).WithField("fingerprint", fingerprint).WithField("parts", pj.job.Parts).
		WithField("answered", pj.answered).WithField("outcome", e.Outcome.String()).WithField("silence_ms", e.Silence.Milliseconds()).
		Info("attempt lost; its request is a suspect if the upstream crashed")
	abandoned := e.Outcome == Abandoned
	switch {
	case fingerprint != 0 && abandoned:
		p.poison.Abandoned(pj.key(), "", fingerprint, pj.decision.Apart, now)
	case fingerprint != 0:
		p.poison.Lost(pj.key(), "", fingerprint, pj.decision.Apart, now)
	}
	p.recordLostParts(pj, p.current(up), e, now)
	before, unexplained := p.unexplained[incarnationOf(up)]
	p.unexplained[incarnationOf(up)] = unexplainedLoss{run: pj.run, at: now, abandoned: abandoned && (!unexplained || before.abandoned), dark: before.dark}
	if p.hasRestarted(pj) {
		p.crashed(pj.run, now)
	}
}

// hasRestarted reports whether the upstream of a job is known to have restarted since it was placed.
func (p *Planner) hasRestarted(pj *placed) bool {
	m := p.known(pj.upstream)
	return p.isReplaced(pj.upstream) || m != nil && m.restarts > pj.restarts
}

// recordLostParts records the parts of the prompt of an attempt that was lost or got no answer.
// m is its upstream, nil if it is not listed any more.
func (p *Planner) recordLostParts(pj *placed, m *member, e End, now time.Time) {
	silentSince := now.Add(-e.Silence)
	if !pj.answered {
		silentSince = pj.at
	}
	switch trial := pj.trial(); {
	case e.Outcome == Abandoned && trial == poison.NoTrial:
		if !pj.answered || silentSince.Sub(pj.answeredAt) < poison.TrialTime {
			p.parts.Stalled(pj.key(), "", pj.job.Parts, now)
		}
	case e.Outcome == Stalled && trial == poison.NoTrial && m != nil && m.answeredAt.After(silentSince):
		p.parts.Stalled(pj.key(), "", pj.job.Parts, now)
	case e.Outcome == Stalled || !pj.answered || silentSince.Sub(pj.answeredAt) < poison.TrialTime:
		p.parts.Lost(pj.key(), "", pj.job.Parts, trial, now)
	}
}

// trial returns whether the job is a trial of suspect parts, and what this planner knew when it
// placed it.
func (pj *placed) trial() poison.Trial {
	switch {
	case len(pj.decision.Trial) == 0 || !pj.planned:
		return poison.NoTrial
	case pj.alone:
		return poison.PartialTrial
	}
	return poison.FullTrial
}

// markLeaving records that an upstream leaves as planned: jobs that are lost there from
// now on did not crash it.
func (p *Planner) markLeaving(up deployment.Upstream) {
	for _, pj := range p.jobs {
		if pj.upstream.SameIncarnation(up) {
			pj.leaving = true
		}
	}
}

// crashed records that a run of an upstream crashed: the requests lost there may have
// crashed it.
func (p *Planner) crashed(r run, now time.Time) {
	up := r.upstream
	if m := p.known(up); m != nil && m.restarts == r.restarts && p.isUnexplained(up) {
		m.crashedAt = now
	}
	delete(p.unexplained, incarnationOf(up))
	p.recordUnstable(up, now)
	effects, explained := p.parts.Confirm(r.key(), now)
	p.apply(effects)
	if explained {
		p.poison.DropLosses(r.key())
		lossLog(up).Warn("upstream crashed with a quarantined prompt part in flight")
		return
	}
	notices := p.poison.Confirm(r.key(), now)
	p.notify(notices)
	for _, notice := range notices {
		metrics.GetOrCreateCounter(`banyanroute_poison_crashes_total`).Inc()
		lossLog(up).WithField("fingerprint", notice.Fingerprint).WithField("crashes", len(notice.Crashes)).
			Warn("upstream crashed with a request in flight that may be the cause")
		p.storeQuarantine(notice.Fingerprint, now)
	}
}

// QuarantineChange is a change of the record of a request.
type QuarantineChange struct {
	poison.Record
	// Released reports whether the request completed, so that the record is void.
	Released bool
}

// OnQuarantine sets the function that stores quarantines. It must not block.
func (p *Planner) OnQuarantine(f func(QuarantineChange)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onQuarantine = f
}

// Quarantines returns all records, except those that have expired.
func (p *Planner) Quarantines(now time.Time) []poison.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := slices.Concat(p.poison.Records(), p.parts.Records())
	return slices.DeleteFunc(all, func(q poison.Record) bool { return q.Expired(now) })
}

// RestoreQuarantines adds records that were stored before.
func (p *Planner) RestoreQuarantines(list []poison.Record, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range list {
		if len(q.Parts) > 0 {
			p.parts.Restore(q, now)
		} else {
			p.poison.Restore(q, now)
		}
	}
}

// storeQuarantine has the record of a request stored, if there is one.
func (p *Planner) storeQuarantine(fingerprint uint64, now time.Time) {
	q, recorded := p.poison.Record(fingerprint)
	if !recorded {
		return
	}
	if verdict, _ := p.poison.Verdict(fingerprint, now); verdict == poison.Quarantined {
		log.WithField("fingerprint", fingerprint).WithField("crashes", len(q.Crashes)).
			Warn("request quarantined: it is refused everywhere")
	}
	p.changeQuarantine(QuarantineChange{Record: q})
}

// knownSuspects returns notices of all requests and prompt parts that are quarantined or
// nearly so.
func (p *Planner) knownSuspects() []poison.Notice {
	notices := append(p.parts.Notices(), p.poison.Notices()...)
	return notices[:min(len(notices), poison.MaxNotices)]
}

// setNoticeHandler sets the function that passes poison notices to the other instances.
func (p *Planner) setNoticeHandler(f func([]poison.Notice)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onNotices = f
}

func (p *Planner) notify(notices []poison.Notice) {
	if p.onNotices != nil && len(notices) > 0 {
		p.onNotices(notices)
	}
}

// observeNotices applies poison notices of another instance.
func (p *Planner) observeNotices(from string, notices []poison.Notice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range notices {
		if n.AboutParts() {
			p.apply(p.parts.Observe(n, now))
			continue
		}
		if p.poison.Observe(n, now) {
			p.storeQuarantine(n.Fingerprint, now)
		}
		log.WithField("instance", from).WithField("fingerprint", n.Fingerprint).WithField("crashes", len(n.Crashes)).
			WithField("cleared", n.Cleared).Debug("notice of another instance about a suspect applied")
	}
}

// lossLog returns a log entry about an incarnation of an upstream.
func lossLog(up deployment.Upstream) *logrus.Entry {
	return log.WithField("upstream", up.ID).WithField("incarnation", up.Born)
}

// Refuse refuses a job whose request is quarantined, without placing it.
func (p *Planner) Refuse(j Job, now time.Time) (Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if verdict := p.verdict(&j, now); verdict == poison.Quarantined {
		return p.refuseSuspect(&j, verdict, now)
	}
	if a := p.assess(&j, now); a.Verdict == poison.Quarantined {
		return p.refuseParts(&j, a), true
	}
	return Decision{}, false
}

// verdict returns how the job's request must be treated.
func (p *Planner) verdict(j *Job, now time.Time) poison.Verdict {
	if j.Fingerprint == 0 {
		return poison.Clear
	}
	verdict, _ := p.poison.Verdict(j.Fingerprint, now)
	if !j.Stalled {
		return verdict
	}
	// The stalled attempt will be recorded as a loss only when it ends.
	switch verdict {
	case poison.Clear:
		return poison.Suspect
	case poison.Suspect:
		return poison.Pending
	}
	return verdict
}

// suspectRetryAfter is the time after which it is known whether an upstream crashed.
const suspectRetryAfter = time.Second

// refuseSuspect refuses a job whose request must not be sent now.
func (p *Planner) refuseSuspect(j *Job, verdict poison.Verdict, now time.Time) (Decision, bool) {
	entry := log.WithField("request", j.ID).WithField("fingerprint", j.Fingerprint)
	var d Decision
	switch verdict {
	case poison.Quarantined:
		_, left := p.poison.Verdict(j.Fingerprint, now)
		d = Decision{Reason: Poisoned, RetryAfter: left}
		entry.Debug("request refused: it was in flight on several upstreams that crashed")
	case poison.Pending:
		d = Decision{Reason: Suspected, RetryAfter: suspectRetryAfter}
		entry.Debug("request refused: it was lost on several upstreams that may have crashed")
	default:
		return Decision{}, false
	}
	countPlacement(j.Service, d)
	return d, true
}

// withoutSuspects returns the candidates on which no suspect runs, so that a second crash
// shows which of the requests in flight in the first one is the cause. If there are none,
// it returns all candidates and false.
func withoutSuspects(candidates []*member) (list []*member, apart bool) {
	list = filter(candidates, func(m *member) bool { return m.suspects == 0 })
	if len(list) == 0 {
		return candidates, false
	}
	return list, true
}
