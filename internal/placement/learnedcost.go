package placement

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/costmodel"
)

// costs predicts what jobs cost from the ends of earlier jobs.
type costs struct {
	outputs *costmodel.Learner
	times   *costmodel.Times
}

// LearnCosts makes the planner predict what jobs cost from the ends of earlier jobs. It must be
// called before the first job. A planner for which it is not called, or that has seen no end,
// uses the callers' estimates of outputs, and counts the jobs on plain upstreams.
func (p *Planner) LearnCosts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.costs = &costs{outputs: costmodel.NewLearner(), times: costmodel.NewTimes()}
}

// expectedOutput returns the output tokens that a planner expects of the job: the mean of what was
// seen, since an engine holds sums of outputs, or else the caller's estimate. Replays that set aside
// memory for a high quantile were worth less.
func (j *Job) expectedOutput() int {
	if j.expect > 0 {
		return j.expect
	}
	return j.Output
}

// learnedTail is the part of the output sent so far that is expected to follow once an answer is
// longer than was learned. Outputs have a long tail: the longer one is, the more is left of it.
const learnedTail = 0.5

// query returns the job as package costmodel describes it.
func (j *Job) query() costmodel.Query {
	q := costmodel.Query{Service: j.Service, Route: j.Route, Workspace: j.Workspace, Prompt: j.Prompt, Hint: j.Output, Most: j.MaxOutput}
	if j.Output == j.MaxOutput {
		q.Hint = 0
	}
	return q
}

// estimate sets the output that is expected of a job of a pool.
func (p *Planner) estimate(pl *pool, j *Job, now time.Time) {
	if p.costs == nil || pl.service.Engine == nil {
		return
	}
	if e := p.costs.outputs.Predict(j.query(), now); e.Samples > 0 {
		j.expect = max(e.Mean, 1)
	}
}

// learn records what a job has cost. It is called before the job is dropped.
func (p *Planner) learn(pj *placed, e End, now time.Time) {
	pl := pj.pool
	if p.costs == nil || pl == nil {
		return
	}
	if m := p.known(pj.upstream); m != nil && e.Duration > 0 {
		// The next job in the line began when this one ended, not when its end was reported.
		ended := pj.at.Add(e.Duration)
		if ended.After(now) {
			ended = now
		}
		m.leave(pj, ended)
	}
	if e.Outcome != Completed {
		return
	}
	if pl.service.Engine == nil {
		p.learnTime(pj, e, now)
		return
	}
	actual := e.Events * max(pl.service.Engine.Stride, 1)
	if actual <= 0 {
		return
	}
	if pj.job.Output > 0 {
		metrics.GetOrCreateHistogram(`banyanroute_output_estimate_ratio{from="caller"}`).Update(float64(actual) / float64(pj.job.Output))
	}
	if expected := pj.job.expect; expected > 0 {
		metrics.GetOrCreateHistogram(`banyanroute_output_estimate_ratio{from="learned"}`).Update(float64(actual) / float64(expected))
	}
	p.learnEnginePace(pj, e.Events, now)
	p.costs.outputs.Observe(costmodel.Sample{Query: pj.job.query(), Actual: actual}, now)
}

// learnTime records the work time of a job on a plain upstream, without the time for which it
// waited for a slot.
func (p *Planner) learnTime(pj *placed, e End, now time.Time) {
	if pj.begunAt.IsZero() {
		return // its slot was never free as far as is known
	}
	took := now.Sub(pj.begunAt)
	if e.Duration > 0 {
		took = e.Duration - pj.begunAt.Sub(pj.at)
	}
	if took <= 0 {
		return
	}
	if m := p.known(pj.upstream); m != nil {
		if work := p.costs.times.Predict(pj.job.Service, pj.job.Route, now); work != nil {
			m.pace.Observe(took, work, now)
			metrics.GetOrCreateHistogram(`banyanroute_work_estimate_ratio`).Update(float64(took) / float64(work.Mean))
		}
	}
	p.costs.times.Observe(pj.job.Service, pj.job.Route, took, now)
}

// enter adds a job to the line of a plain upstream, in which the first ones have the slots.
func (m *member) enter(pl *pool, pj *placed, now time.Time) {
	m.placedAt, m.placedTurn = now, pl.nextStart
	m.waitAt = time.Time{}
	m.line = append(m.line, pj)
	m.begin(now)
}

// leave removes a job from the line.
func (m *member) leave(pj *placed, now time.Time) {
	if i := slices.Index(m.line, pj); i >= 0 {
		m.line = slices.Delete(m.line, i, i+1)
		m.waitAt = time.Time{}
		m.begin(now)
	}
}

// begin records which jobs in the line have slots.
func (m *member) begin(now time.Time) {
	for _, pj := range m.line[:min(len(m.line), max(m.upstream.Slots, 1))] {
		if pj.begunAt.IsZero() {
			pj.begunAt = latest(pj.at, now)
		}
	}
}

// wait returns the expected time until a further job gets a slot of a plain upstream: until the
// first of the running jobs ends, and one slot has done its part of those that wait. work stands
// for jobs that were placed when nothing was known of theirs. The result is kept for a short time,
// because a decision needs it of all upstreams.
func (m *member) wait(work *costmodel.Work, pace float64, now time.Time) time.Duration {
	slots := max(m.upstream.Slots, 1)
	if len(m.line) < slots {
		return 0
	}
	if !m.waitAt.IsZero() && now.Sub(m.waitAt) < waitMaxAge {
		return m.waitKnown
	}
	endings, queued := 0.0, 0.0
	for i, pj := range m.line {
		w := pj.work
		if w == nil {
			w = work
		}
		if i < slots {
			endings += 1 / max(w.Remaining(now.Sub(pj.begunAt), pace).Seconds(), minRemaining.Seconds())
		} else {
			queued += w.Remaining(0, pace).Seconds()
		}
	}
	// Of several jobs with a constant rate of ending, the first ends after the inverse of the sum
	// of their rates.
	seconds := queued/float64(slots) + 1/endings
	m.waitAt, m.waitKnown = now, time.Duration(seconds*float64(time.Second))
	return m.waitKnown
}

const (
	// waitMaxAge is how long the expected wait at an upstream is kept while its jobs are the same;
	// work takes some times as long.
	waitMaxAge = 10 * time.Millisecond
	// minRemaining is the shortest remaining time that is expected of a job whose end has not
	// been reported.
	minRemaining = time.Millisecond
	// tieWeight is the weight of the number of jobs per slot where work times are known. It
	// spreads the jobs among upstreams with free slots, and is small beside waiting.
	tieWeight = 0.1
	// slowWeight is the weight of a job's own delay on a slow upstream beside its wait. A slow
	// upstream relieves the others: with a weight of 1, replays with little capacity to spare
	// had a smaller share of answers in time than with no regard to pace.
	slowWeight = 0.25
)

// plainLoad returns the load of a plain upstream for a further job, in mean work times: how long
// the job is expected to wait there, and to work longer than usual. Until work times are known it
// is the number of jobs per slot.
func (p *Planner) plainLoad(pl *pool, m *member, work *costmodel.Work, now time.Time) float64 {
	count := (float64(m.jobs) + errorRateJobs*m.health.errorRate(now)) / float64(max(m.upstream.Slots, 1))
	if work == nil {
		return count
	}
	pace := m.pace.Factor(now)
	load := m.wait(work, pace, now).Seconds()/work.Mean.Seconds() + tieWeight*count
	if !pl.isTrialDue(m, now) {
		load += slowWeight * (pace - 1)
	}
	return load
}

const (
	// slowTrialInterval and slowTrialJobs are the time, and the number of jobs for each upstream
	// of the pool, after which a slow upstream is tried with one job.
	slowTrialInterval = 500 * time.Millisecond
	slowTrialJobs     = 8
)

// isTrialDue reports whether a slow upstream, which gets few jobs, has got none for so long that
// its pace must be measured again.
func (pl *pool) isTrialDue(m *member, now time.Time) bool {
	return len(m.line) == 0 && now.Sub(m.placedAt) >= slowTrialInterval && pl.nextStart-m.placedTurn >= slowTrialJobs*len(pl.order)
}

// workOf returns the distribution of the work time of a job on a plain service; nil if it is
// not known.
func (p *Planner) workOf(j *Job, now time.Time) *costmodel.Work {
	if p.costs == nil {
		return nil
	}
	return p.costs.times.Predict(j.Service, j.Route, now)
}

// CostState is what a planner has learned of the costs of jobs.
type CostState struct {
	// Groups is the number of groups of jobs whose outputs are remembered.
	Groups  int               `json:"groups"`
	Outputs []costmodel.Ratio `json:"outputs,omitempty"`
	Times   []costmodel.Time  `json:"times,omitempty"`
}

// maxDumpedCosts bounds the routes in a state dump.
const maxDumpedCosts = 64

// Costs returns what the planner has learned; nil if it does not learn.
func (p *Planner) Costs(now time.Time) *CostState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.costs == nil {
		return nil
	}
	o := p.costs.outputs
	return &CostState{Groups: o.Groups(), Outputs: o.Ratios(maxDumpedCosts, now), Times: p.costs.times.Known(maxDumpedCosts, now)}
}
