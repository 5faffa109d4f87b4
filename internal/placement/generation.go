package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/enginemodel"
)

// Limits of a decision about a generation.
const (
	// sharedFrom is the prompt size from which on several engines are considered.
	sharedFrom = 12_000
	// lookAhead is how far the effects of a job are looked at, at least: some
	// passes beyond the objective of a short question.
	lookAhead = 500 * time.Millisecond
	// lossAge is how long a prediction of an unchanged engine holds; a pass takes
	// longer.
	lossAge = 20 * time.Millisecond
	// maxShortlist bounds the engines that are predicted for one job, teamShortlist
	// those for a team; a decision costs the home processor time.
	maxShortlist  = 10
	teamShortlist = 24
	// minPart is the fewest tokens of a prompt's part; smaller ones save less time
	// than an engine's pass takes.
	minPart = 2500
	// shortlistLean turns the lean, a part of a job's value, into a part of an
	// engine's slots.
	shortlistLean = 4
	// errorLoss is the part of a job's value that an error rate of 1 costs;
	// most failed attempts succeed elsewhere, late.
	errorLoss = 0.8
	// remoteLoss is the cost of an engine in another data centre per unit of
	// value.
	remoteLoss = 0.002
	// shortLean is the part of a short question's value that the far end of the
	// engines' order costs. Short questions fill engines from the front, so that
	// long prefill meets few streams whose pauses must be short.
	shortLean = 0.3
	// leanUntil is the part of all slots in use from which on there is no lean.
	leanUntil = 0.6
	// lastChance is the harm to others, over its value, that the largest prompts may
	// do when they cannot be put off again; without a bound short questions lost more
	// than that.
	lastChance = 2
	// reserveSlack is the part of a reservation added for blocks that are not
	// full.
	reserveSlack = 64
)

// teamSizes are the numbers of engines considered for one prompt; an engine takes
// at most 16 helpers.
var teamSizes = []int{2, 3, 5, 8, 12, 16}

// option is one engine's part of a job and what it costs.
type option struct {
	member *member
	// cost is the loss of value that the work causes there.
	cost  float64
	ready time.Time
	free  int
}

// placeGeneration chooses the engine, or the engines, on which the job and those
// under way lose the least value by lateness.
func (p *Planner) placeGeneration(pl *pool, candidates []*member, j *Job, now time.Time) Decision {
	model := pl.service.Engine
	if j.MayWait {
		candidates = only(candidates, func(m *member) bool { return m.engine.Requests() < model.Slots })
		if len(candidates) == 0 {
			return Decision{Reason: Full, RetryAfter: refusalPause}
		}
	}
	best, found := p.propose(model, candidates, j, now)
	if !found {
		if j.MayDefer && j.tokens() > model.MemoryTokens {
			return Decision{Reason: Deferred, RetryAfter: refusalPause}
		}
		return Decision{Reason: TooLarge, RetryAfter: refusalPause}
	}
	if j.MayDefer && j.Prompt >= sharedFrom && best.isPremature(j, now) {
		return Decision{Reason: Deferred, RetryAfter: refusalPause}
	}
	expect := best.ready.Sub(now)
	if expect > j.Remaining {
		return Decision{Reason: TooLate, RetryAfter: min(expect-j.Remaining+firstPause, j.Remaining/3)}
	}
	best.decision.Expect = expect
	return best.decision
}

// propose finds the best engine, or the best engines together.
func (p *Planner) propose(model *enginemodel.Model, candidates []*member, j *Job, now time.Time) (best proposal, found bool) {
	w := j.work(j.Prompt, now)
	list := shortlist(model, candidates, j, w.Memory, now)
	best, found = p.solo(model, list, j, w, urgencyOf(j), now)
	if found && best.ready.After(now.Add(j.FirstAnswer-j.Waited)) {
		// It will be late anyway: let it wait for those that need not be.
		if deferred, ok := p.solo(model, list, j, w, urgencyLate, now); ok && deferred.cost <= best.cost {
			best = deferred
		}
	}
	if model.Joint && j.Prompt >= sharedFrom {
		if team, ok := p.team(model, candidates, j, now); ok && (!found || team.cost < best.cost) {
			best, found = team, true
		}
	}
	return best, found
}

// Urgencies; engines give slots to lower ones first.
const (
	urgencyShort = 3
	urgencyLong  = 5
	urgencyLate  = 8
)

// urgencyOf lets short questions go before long prompts.
func urgencyOf(j *Job) int {
	if j.Prompt < sharedFrom {
		return urgencyShort
	}
	return urgencyLong
}

// only returns the candidates that pass a test.
func only(candidates []*member, passes func(*member) bool) []*member {
	out := make([]*member, 0, len(candidates))
	for _, m := range candidates {
		if passes(m) {
			out = append(out, m)
		}
	}
	return out
}

// proposal is a decision with its cost.
type proposal struct {
	decision Decision
	cost     float64
	ready    time.Time
}

// Weights of putting a long job off. On the simulated day all between 0.15 and
// 0.5 for deferWeight earn about the same.
const (
	// deferWeight is the part of what a job gains by being placed now that others
	// may lose for it.
	deferWeight = 0.3
	// deferSlack is the part of a job's value that others may lose for it even if
	// it gains nothing, so that jobs that are late already are still placed.
	deferSlack = 0.05
)

// isPremature states whether the job would cost others more, placed now, than it
// gains. One that is late anyway gains nothing by being placed now.
func (b *proposal) isPremature(j *Job, now time.Time) bool {
	own := j.lossByLateness(b.ready, now)
	gain := 0.0
	if j.lateness(b.ready, now) <= 1 {
		gain = j.value() - own
	}
	return b.cost-own > deferWeight*gain+deferSlack*j.value()
}

// solo finds the best single engine for w, the whole job.
func (p *Planner) solo(model *enginemodel.Model, candidates []*member, j *Job, w enginemodel.Work, urgency int, now time.Time) (proposal, bool) {
	w.Urgency = urgency
	options := p.options(model, candidates, j, w, now)
	var best proposal
	found := false
	for _, o := range options {
		if !found || o.cost < best.cost {
			best = proposal{decision: Decision{Upstream: o.member.upstream.ID, Urgency: urgency}, cost: o.cost, ready: o.ready}
			found = true
		}
	}
	return best, found
}

// options returns what w costs on each candidate.
func (p *Planner) options(model *enginemodel.Model, candidates []*member, j *Job, w enginemodel.Work, now time.Time) []option {
	value := j.value()
	lean := leanOf(model, candidates, j)
	list := make([]option, 0, len(candidates))
	for _, m := range candidates {
		with, ready := m.engine.Outlook(&w, now, now.Add(lookAhead))
		o := option{
			member: m,
			cost:   with - m.loss(now) + errorLoss*value*m.condition.errorRate(now),
			ready:  ready,
			free:   m.engine.FreeTokens(),
		}
		if !w.Part {
			o.cost += j.lossByLeaving(model, ready, now)
		}
		if m.upstream.DataCentre != p.dataCentre {
			o.cost += remoteLoss * value
		}
		o.cost += lean * value * m.position
		list = append(list, o)
	}
	return list
}

// lateness returns the time to the first answer over the objective, if the job is
// ready at a time.
func (j *Job) lateness(ready, now time.Time) float64 {
	return float64(ready.Sub(now)+j.Waited) / float64(max(j.FirstAnswer, time.Millisecond))
}

// lossByLateness returns what the job is expected to lose by it.
func (j *Job) lossByLateness(ready, now time.Time) float64 {
	return j.value() * enginemodel.Lateness(j.lateness(ready, now))
}

// lossByLeaving returns what is lost if a job that is larger than an engine's memory
// is ready at a time: all of it if the caller will have left, and more if the job
// cannot be put off again, so that the largest prompts are served too. Others are
// rather refused soon than served at the cost of many.
func (j *Job) lossByLeaving(model *enginemodel.Model, ready, now time.Time) float64 {
	switch {
	case j.tokens() <= model.MemoryTokens || !ready.After(now.Add(j.Remaining)):
		return 0
	case j.MayDefer:
		return j.value()
	}
	return lastChance * j.value()
}

// loss returns what the engine's present requests are expected to lose. It is
// predicted again only if the engine's work has changed or time has passed.
func (m *member) loss(now time.Time) float64 {
	version := m.engine.Version()
	if m.lossVersion != version || now.Sub(m.lossAt) > lossAge {
		m.lossNow, _ = m.engine.Outlook(nil, now, now.Add(lookAhead))
		m.lossVersion, m.lossAt = version, now
	}
	return m.lossNow
}

// shortlist returns the candidates that look best for a job on one engine, so
// that a decision costs about the same in a large pool: those with memory for it
// and the least work before it.
func shortlist(model *enginemodel.Model, candidates []*member, j *Job, memory int, now time.Time) []*member {
	candidates = only(candidates, func(m *member) bool { return m.engine.FreeTokens() >= memory })
	return leastWork(model, candidates, maxShortlist, leanOf(model, candidates, j), now)
}

// leastWork returns the n candidates with the fewest requests, the least pending
// prefill and the fewest errors. The lean lets the order of engines count.
func leastWork(model *enginemodel.Model, candidates []*member, n int, lean float64, now time.Time) []*member {
	if len(candidates) <= n {
		return candidates
	}
	type rated struct {
		member *member
		rating float64
	}
	list := make([]rated, len(candidates))
	for i, m := range candidates {
		m.engine.Advance(now)
		rating := float64(m.engine.Requests())/float64(max(model.Slots, 1)) + m.engine.PendingPrefill().Seconds()
		list[i] = rated{m, rating + (lean*m.position*shortlistLean + m.condition.errorRate(now))}
	}
	slices.SortStableFunc(list, func(a, b rated) int { return cmp.Compare(a.rating, b.rating) })
	out := make([]*member, n)
	for i := range out {
		out[i] = list[i].member
	}
	return out
}

// leanOf returns the part of the job's value that the far end of the engines' order
// costs: less as slots fill, since streams last longer on engines that are packed,
// nothing from leanUntil on, and nothing for long prompts.
func leanOf(model *enginemodel.Model, candidates []*member, j *Job) float64 {
	if j.Prompt >= sharedFrom {
		return 0
	}
	jobs := 0
	for _, m := range candidates {
		jobs += m.jobs
	}
	used := float64(jobs) / float64(max(len(candidates)*model.Slots, 1))
	return max(0, 1-used/leanUntil) * shortLean
}
