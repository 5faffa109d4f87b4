package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanroute/banyanroute/internal/enginemodel"
)

// Limits and weights of the placement of generations.
const (
	// longPromptTokens is the prompt size from which on a prompt counts as long and
	// gangs of engines are considered.
	longPromptTokens = 12_000
	// predictionHorizon is the minimum time for which the effects of a job are
	// predicted: some passes beyond the objective of a short prompt.
	predictionHorizon = 500 * time.Millisecond
	// costMaxAge is how long the predicted cost of an unchanged engine is cached; a
	// pass takes longer.
	costMaxAge = 20 * time.Millisecond
	// maxShortlist bounds the engines that are predicted for one job, maxGangShortlist
	// those for a gang; each prediction costs the home processor time.
	maxShortlist     = 10
	maxGangShortlist = 48
	// minPartTokens is the minimum size of a helper's part of a prompt; smaller parts
	// save less time than an engine's pass takes.
	minPartTokens = 2500
	// errorRateCost is the fraction of a job's value that an error rate of 1 costs;
	// most failed attempts succeed elsewhere, but late.
	errorRateCost = 0.8
	// remoteCost is the fraction of a job's value that an engine in another data
	// centre costs.
	remoteCost = 0.002
	// lastAttemptCost is the cost, as a multiple of its value, of a job larger than an
	// engine's memory that cannot be deferred again and would be ready only after its
	// caller has left. It bounds what the job may cost other jobs in order to be ready
	// earlier; without this bound short prompts lost more than that.
	lastAttemptCost = 2
	// maxReturnsInTime is the number by which callers divide the time that they have left for
	// the longest pause before they return. Engines that cannot answer in time stay full
	// for as long as a burst lasts, and a caller that returns into it is refused again.
	maxReturnsInTime = 3
	// reserveSlackTokens is added to a reservation for memory blocks that are not full.
	reserveSlackTokens = 64
)

// gangSizes are the gang sizes considered for one prompt; an engine accepts at
// most 16 helpers.
var gangSizes = []int{2, 3, 5, 8, 12, 16}

// option is one candidate engine for a job or a part of it.
type option struct {
	member *member
	// cost is the value lost at this engine because of the work.
	cost float64
	// ready is when the work is predicted to be ready.
	ready time.Time
	// free is the engine's free memory in tokens.
	free int
}

// placeGeneration chooses the engine or the gang on which the job and those in
// flight together lose the least value by lateness.
func (p *Planner) placeGeneration(pl *pool, candidates []*member, j *Job, now time.Time) Decision {
	model := pl.service.Engine
	if j.MayWait {
		candidates = filter(candidates, func(m *member) bool { return m.engine.Requests() < model.Slots })
		if len(candidates) == 0 {
			return Decision{Reason: Full, RetryAfter: refusalPause}
		}
	}
	s := p.search(pl, candidates, j, now)
	best, found := s.propose()
	if !found && len(s.candidates) < len(candidates) {
		// The memory behind the front does not suffice.
		s.candidates = candidates
		best, found = s.propose()
	}
	if !found {
		if j.MayDefer && j.tokens() > model.MemoryTokens {
			return Decision{Reason: Deferred, RetryAfter: refusalPause}
		}
		return Decision{Reason: TooLarge, RetryAfter: refusalPause}
	}
	if j.MayDefer && j.Prompt >= longPromptTokens && best.shouldDefer(j, now) {
		return Decision{Reason: Deferred, RetryAfter: refusalPause}
	}
	expect := best.ready.Sub(now)
	if expect > j.Remaining || j.Prompt >= longPromptTokens && best.isHarmful(j, now) {
		return Decision{Reason: TooLate, RetryAfter: max(expect-j.Remaining+firstPause, j.Lifetime/maxReturnsInTime)}
	}
	best.decision.Expect = expect
	return best.decision
}

// search is the search for the best engines for one job.
type search struct {
	model *enginemodel.Model
	// candidates are the engines that the job may use, in the order of the decision.
	candidates []*member
	job        *Job
	// front is the part of the order that is kept for prompts that are not very long.
	front float64
	// dataCentre is the data centre preferred among equal engines.
	dataCentre string
	now        time.Time
}

// search returns the search for a job among the candidates of a pool.
func (p *Planner) search(pl *pool, candidates []*member, j *Job, now time.Time) *search {
	s := &search{model: pl.service.Engine, candidates: candidates, job: j, front: pl.front(), dataCentre: p.dataCentre, now: now}
	if j.isVeryLong() {
		s.candidates = behindFront(candidates, s.front, len(pl.order))
	}
	return s
}

// propose finds the best engine or the best gang.
func (s *search) propose() (best proposal, found bool) {
	j := s.job
	w := j.work(j.Prompt, s.now)
	list := s.shortlist(w.Memory)
	best, found = s.single(list, w, urgencyOf(j))
	if found && best.ready.After(s.now.Add(j.FirstAnswer-j.Waited)) {
		// The job will be late anyway: it yields to jobs that can still be in time.
		if yielding, ok := s.single(list, w, urgencyLate); ok && yielding.cost <= best.cost {
			best = yielding
		}
	}
	if s.model.Joint && j.Prompt >= longPromptTokens {
		if gang, ok := s.gang(); ok && (!found || gang.cost < best.cost) {
			best, found = gang, true
		}
	}
	return best, found
}

// Urgencies of jobs; engines admit lower ones first.
const (
	urgencyShort = 3
	urgencyLong  = 5
	urgencyLate  = 8
)

// urgencyOf returns the urgency of a job: short prompts go before long ones.
func urgencyOf(j *Job) int {
	if j.Prompt < longPromptTokens {
		return urgencyShort
	}
	return urgencyLong
}

// filter returns the candidates for which keep is true.
func filter(candidates []*member, keep func(*member) bool) []*member {
	out := make([]*member, 0, len(candidates))
	for _, m := range candidates {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// proposal is a possible decision with its cost and the predicted time of the
// first token.
type proposal struct {
	decision Decision
	cost     float64
	ready    time.Time
}

// deferMinCost is the cost to other jobs, as a fraction of a long job's value, that is
// accepted even without a gain, so that jobs that are already late are still placed.
const deferMinCost = 0.05

// shouldDefer reports whether the job, placed now, would cost other jobs more than it
// gains. A job that is late anyway gains nothing by being placed now.
func (b *proposal) shouldDefer(j *Job, now time.Time) bool {
	own := j.latenessCost(b.ready, now)
	gain := 0.0
	if j.lateness(b.ready, now) <= 1 {
		gain = j.value() - own
	}
	return b.cost-own > gain+deferMinCost*j.value()
}

// lateShare is what an answer that is late is worth to the users, as a fraction of its value.
const lateShare = 0.25

// isHarmful reports whether the job will be late although it is placed now, and costs other
// jobs more than its late answer is worth.
func (b *proposal) isHarmful(j *Job, now time.Time) bool {
	return j.lateness(b.ready, now) > 1 && b.cost-j.latenessCost(b.ready, now) > lateShare*j.value()
}

// single finds the best engine for w, the work of the whole job.
func (s *search) single(candidates []*member, w enginemodel.Work, urgency int) (proposal, bool) {
	w.Urgency = urgency
	var best proposal
	found := false
	for _, o := range s.options(candidates, w) {
		if !found || o.cost < best.cost {
			best = proposal{decision: Decision{Upstream: o.member.upstream.ID, Urgency: urgency}, cost: o.cost, ready: o.ready}
			found = true
		}
	}
	return best, found
}

// options predicts the cost of w on each candidate.
func (s *search) options(candidates []*member, w enginemodel.Work) []option {
	value := s.job.value()
	list := make([]option, 0, len(candidates))
	for _, m := range candidates {
		with, ready := m.engine.Predict(&w, s.now, s.now.Add(predictionHorizon))
		o := option{
			member: m,
			cost:   with - m.cost(s.now) + errorRateCost*value*m.health.errorRate(s.now),
			ready:  ready,
			free:   m.engine.FreeTokens(),
		}
		if !w.Part {
			o.cost += s.job.abandonmentCost(s.model, ready, s.now)
		}
		if m.upstream.DataCentre != s.dataCentre {
			o.cost += remoteCost * value
		}
		if !s.job.isVeryLong() && m.position >= s.front {
			o.cost += behindFrontCost * value
		}
		list = append(list, o)
	}
	return list
}

// lateness returns the time to the first token, as a multiple of the objective, if
// the job is ready at the given time.
func (j *Job) lateness(ready, now time.Time) float64 {
	return float64(ready.Sub(now)+j.Waited) / float64(max(j.FirstAnswer, time.Millisecond))
}

// latenessCost returns the value that the job is expected to lose by lateness if it
// is ready at the given time.
func (j *Job) latenessCost(ready, now time.Time) float64 {
	return j.value() * enginemodel.LatenessCost(j.lateness(ready, now))
}

// abandonmentCost returns the additional cost of a job larger than an engine's
// memory if it is ready only after its caller will have left: its whole value, and
// more if the job cannot be deferred again, so that the largest prompts are served
// too. Smaller jobs have no such cost: refusing them early is better than serving
// them at the expense of many others.
func (j *Job) abandonmentCost(model *enginemodel.Model, ready, now time.Time) float64 {
	switch {
	case j.tokens() <= model.MemoryTokens || !ready.After(now.Add(j.Remaining)):
		return 0
	case j.MayDefer:
		return j.value()
	}
	return lastAttemptCost * j.value()
}

// cost returns the value that the engine's current requests are expected to lose by
// lateness. It is predicted again only if the engine's work has changed or the
// cached prediction is older than costMaxAge.
func (m *member) cost(now time.Time) float64 {
	version := m.engine.Version()
	if m.costVersion != version || now.Sub(m.costAt) > costMaxAge {
		m.cachedCost, _ = m.engine.Predict(nil, now, now.Add(predictionHorizon))
		m.costVersion, m.costAt = version, now
	}
	return m.cachedCost
}

// shortlist returns the most promising candidates for the job on one engine, those
// with enough free memory and the least work, so that the time of a decision does
// not grow with the pool.
func (s *search) shortlist(memory int) []*member {
	fitting := filter(s.candidates, func(m *member) bool { return m.engine.FreeTokens() >= memory })
	if s.job.isVeryLong() {
		return s.leastWork(fitting, maxShortlist)
	}
	front := filter(fitting, func(m *member) bool { return m.position < s.front })
	behind := filter(fitting, func(m *member) bool { return m.position >= s.front })
	list := s.leastWork(front, max(maxShortlist/2, maxShortlist-len(behind)))
	return append(slices.Clip(list), s.leastWork(behind, maxShortlist-min(maxShortlist/2, len(list)))...)
}

// leastWork returns the n candidates with the fewest requests, the least pending
// prefill and the fewest errors.
func (s *search) leastWork(candidates []*member, n int) []*member {
	if len(candidates) <= n {
		return candidates
	}
	type rated struct {
		member *member
		rating float64
	}
	list := make([]rated, len(candidates))
	for i, m := range candidates {
		m.engine.Advance(s.now)
		rating := float64(m.engine.Requests())/float64(max(s.model.Slots, 1)) + m.engine.PendingPrefill().Seconds()
		list[i] = rated{m, rating + m.health.errorRate(s.now)}
	}
	slices.SortStableFunc(list, func(a, b rated) int { return cmp.Compare(a.rating, b.rating) })
	out := make([]*member, n)
	for i := range out {
		out[i] = list[i].member
	}
	return out
}
