package placement

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// scaledHints names a route by class and one of ten workspaces for each request, and multiplies
// the hints.
func scaledHints(factor float64) func([]*simJob, time.Time) {
	return func(jobs []*simJob, _ time.Time) {
		for i, j := range jobs {
			j.job.Route, j.job.Workspace = fmt.Sprint(j.class), fmt.Sprint(i%10)
			j.job.Output = max(int(factor*float64(j.job.Output)), 1)
		}
	}
}

// misleadingHints does the same with a factor for each workspace, between 1/5 and 5.
func misleadingHints(jobs []*simJob, _ time.Time) {
	factors := []float64{0.2, 0.2, 0.4, 0.5, 1, 1, 2, 3, 5, 5}
	for i, j := range jobs {
		h := fnv.New32a()
		fmt.Fprint(h, i)
		w := int(h.Sum32() % 10)
		j.job.Route, j.job.Workspace = fmt.Sprint(j.class), fmt.Sprint(w)
		j.job.Output = max(int(factors[w]*float64(j.job.Output)), 1)
	}
}

// longAnswers makes all answers of twelve seconds four times as long, of which the hints know
// nothing.
func longAnswers(jobs []*simJob, start time.Time) {
	scaledHints(1)(jobs, start)
	for _, j := range jobs {
		if at := j.at.Sub(start); at > 8*time.Second && at < 20*time.Second {
			j.output *= 4
		}
	}
}

// costOutcome is the mean result of several days: what they are worth, the share of answers in
// time, and the placements on engines whose memory does not hold the answers.
type costOutcome struct{ worth, inTime, overfull float64 }

// costDays replays days with altered requests.
func costDays(d day, seeds int, learn bool, alter func([]*simJob, time.Time)) costOutcome {
	var sum costOutcome
	n := float64(seeds)
	for seed := range seeds {
		d.learn, d.alter = learn, alter
		o := d.run(uint64(seed))
		sum.worth += o.worth.total() / n
		sum.overfull += float64(o.overfull) / n
		inTime, all := 0, 0
		for c := range o.all {
			inTime, all = inTime+o.onTime[c], all+o.all[c]
		}
		sum.inTime += float64(inTime) / float64(all) / n
	}
	return sum
}

// TestLearnedOutputs replays days whose hints are off, on engines with little memory that refuse
// what it does not hold. With hints that are five times too high engines stayed empty, with ones
// that are too low the largest prompts were refused time and again, and a burst of long answers was
// planned as if it were one of usual ones. Good hints must not lose by what is learned beside them.
func TestLearnedOutputs(t *testing.T) {
	t.Parallel()
	const seeds, noise = 12, 0.02
	scarce := trinacriaDay(1)
	scarce.model.MemoryTokens, scarce.refuse = 120_000, true
	// Engines that refused long answers would be asked again for ever.
	patient := scarce
	patient.refuse = false
	slow := trinacriaDay(0.85)
	slow.slowEngines, slow.slowBy = slow.engines, 1.3
	for name, c := range map[string]struct {
		day   day
		alter func([]*simJob, time.Time)
		// worth and inTime are the least gains, refused is the largest part of the placements on
		// engines without the memory.
		worth, inTime, refused float64
	}{
		"good hints":   {scarce, scaledHints(1), -noise, -1, 0.9},
		"high hints":   {scarce, scaledHints(5), 0.05, 0.03, 3},
		"low hints":    {scarce, scaledHints(0.2), 0.01, -1, 0.75},
		"misleading":   {scarce, misleadingHints, -noise, -1, 0.9},
		"long answers": {patient, longAnswers, -noise, 0.01, 0.9},
		"slow engines": {slow, scaledHints(1), -noise, 0.01, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, after := costDays(c.day, seeds, false, c.alter), costDays(c.day, seeds, true, c.alter)
			t.Logf("%s: by hint %.4f, learned %.4f", name, before, after)
			if after.worth < before.worth+c.worth {
				t.Errorf("the days are worth %.4f, want a gain of %.2f over %.4f", after.worth, c.worth, before.worth)
			}
			if after.inTime < before.inTime+c.inTime {
				t.Errorf("%.4f are in time, want a gain of %.2f over %.4f", after.inTime, c.inTime, before.inTime)
			}
			if after.overfull > c.refused*before.overfull {
				t.Errorf("%.1f placements exceed an engine's memory, want at most %.2f times %.1f", after.overfull, c.refused, before.overfull)
			}
		})
	}
}

// TestEnginesPaceIsLearnedFromEnds guards against engines that are somewhat slower than the model
// says, less than first tokens can tell, and get as much work as the others, and against usual
// ones that are taken to be slow.
func TestEnginesPaceIsLearnedFromEnds(t *testing.T) {
	t.Parallel()
	const slow, by = 3, 1.3
	d := trinacriaDay(0.85)
	d.learn, d.slowEngines, d.slowBy, d.alter = true, slow, by, scaledHints(1)
	d.inspect = func(s *simulation) {
		for i, m := range s.planner.pools["llm"].order {
			factor := m.engine.SpeedFactor()
			if want := i < slow; want && (factor < 1.15 || factor > 1.5) || !want && factor > 1.15 {
				t.Errorf("%s: the speed factor is %.2f, slow by %.1f: %t", m.upstream.ID, factor, by, want)
			}
		}
	}
	for seed := range uint64(3) {
		d.run(seed)
	}
}

// TestNoEndsNoChange guards against placements of generations that change before any answer has
// ended, and against outputs that are learned from answers whose length is unknown.
func TestNoEndsNoChange(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var decisions [2][]Decision
	for i, learn := range []bool{false, true} {
		d := trinacriaDay(1)
		d.learn = learn
		s := newSimulation(d, now)
		jobs := d.arrivals(1, now)
		scaledHints(1)(jobs, now)
		for n, j := range jobs[:300] {
			decisions[i] = append(decisions[i], s.planner.Place(j.job, 1, j.at))
			if n%2 == 0 {
				s.planner.FirstAnswer(j.job.ID, j.at.Add(time.Millisecond))
				s.planner.Ended(j.job.ID, []End{{Outcome: Completed}, {Outcome: Abandoned, Events: 3}, {Outcome: Failed, Events: 2}}[n/2%3], j.at.Add(time.Millisecond))
			}
		}
		if costs := s.planner.Costs(now); costs != nil && costs.Groups > 0 {
			t.Errorf("learned %+v", costs)
		}
	}
	same := func(a, b Decision) bool {
		return a.Upstream == b.Upstream && a.Reason == b.Reason && a.Expect == b.Expect
	}
	if !slices.EqualFunc(decisions[0], decisions[1], same) {
		t.Error("the decisions differ though nothing was learned")
	}
}

// TestLearnsAloneAndAsHome guards against instances that learn only from what they place as a
// home: one whose home has gone plans alone and knows the ends of its own jobs.
func TestLearnsAloneAndAsHome(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	job := func(id string) Job {
		return Job{ID: id, Service: "llm", Route: "ask", Workspace: "w", Prompt: 3000, Output: 480, MaxOutput: 9000, Remaining: time.Minute, Lifetime: time.Minute}
	}
	for name, place := range map[string]func(p *Planner, j Job, now time.Time){
		"home":  func(p *Planner, j Job, now time.Time) { p.Place(j, 1, now) },
		"alone": func(p *Planner, j Job, now time.Time) { p.PlaceAlone(j, 1, now) },
		"adopts": func(p *Planner, j Job, now time.Time) {
			p.Adopt(Adoption{Job: j, Decision: Decision{Upstream: "e"}}, now)
		},
	} {
		p := NewPlanner("")
		p.LearnCosts()
		model := usersModel()
		model.Stride = 48
		state := deployment.NewState()
		state.Subscribe(p.SetView)
		state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"llm": {Name: "llm", Engine: &model}}}, now)
		state.ReplaceUpstreams([]deployment.Upstream{{ID: "e", Service: "llm", Address: "e", Slots: 16}}, deployment.Revision{Number: 1}, now)
		for n := range 50 {
			place(p, job(fmt.Sprint(n)), now)
			p.Ended(fmt.Sprint(n), End{Outcome: Completed, Events: 50}, now)
		}
		place(p, job("next"), now.Add(time.Second))
		used := p.Dump(now.Add(time.Second))[0].UsedTokens - 3000
		if want := 50 * 48; used < want*8/10 || used > want*12/10 {
			t.Errorf("%s: memory for %d output tokens is set aside, want %d", name, used, want)
		}
	}
}

// BenchmarkCostDay reports what days of the larger deployments are worth, by hint and learned.
func BenchmarkCostDay(b *testing.B) {
	for name, d := range map[string]day{"large": largeDay(0), "grown": grownDay(1)} {
		for hints, alter := range map[string]func([]*simJob, time.Time){"good": scaledHints(1), "misleading": misleadingHints} {
			for _, learn := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/%s/learn=%t", name, hints, learn), func(b *testing.B) {
					b.ReportMetric(costDays(d, b.N, learn, alter).worth, "worth")
				})
			}
		}
	}
}
