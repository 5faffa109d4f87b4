package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/enginemodel"
)

// class is a class of requests of a simulated day.
type class struct {
	name             string
	perSecond        float64
	prompt, promptSD float64
	promptMax        float64
	output, outputSD float64
	first, pause     time.Duration
	deadline         time.Duration
	// value is that of an answer in time, late that of a late one.
	value, late float64
}

// burst multiplies the rates of the classes for some time.
type burst struct {
	from, until time.Duration
	factors     []float64
}

// day is a simulated run of one service under the users' load, which they call a day;
// it is much shorter than one.
type day struct {
	engines int
	model   enginemodel.Model
	classes []class
	bursts  []burst
	length  time.Duration
	rate    float64
	// maxReturn, if set, is when callers return at the latest after a refusal, whatever they
	// were told.
	maxReturn time.Duration
	// learn reports whether the planner learns what jobs cost; alter, if set, changes the
	// requests that were drawn.
	learn bool
	alter func(jobs []*simJob, start time.Time)
	// slowEngines is how many engines take slowBy times as long as the model says.
	slowEngines int
	slowBy      float64
	// refuse reports whether engines refuse work that their memory doesn't hold.
	refuse bool
	// inspect, if set, is called at the end.
	inspect func(*simulation)
}

func usersModel() enginemodel.Model {
	return enginemodel.Model{
		Slots: 16, MemoryTokens: 232_000,
		Step: 1020 * time.Microsecond, StepPerSequence: 2260 * time.Nanosecond, StepPerContext: 4310 * time.Nanosecond,
		PrefillRate: 206_000, PairTime: 138 * time.Microsecond, Chunk: 2048, Stride: 43,
		Joint: true,
	}
}

// usersClasses returns the classes of generations in both users' specifications, with
// the given requests per second.
func usersClasses(short, mid, long float64) []class {
	return []class{
		{"short", short, 4960, 0.9, 23_800, 31.6 * 43, 0.7, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
		{"medium", mid, 45_000, 0.5, 110_000, 19 * 43, 0.6, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 3.9, 0.98},
		{"long", long, 133_000, 0.55, 600_000, 15.8 * 43, 0.5, 2700 * time.Millisecond, time.Second, 15 * time.Second, 15, 3.7},
	}
}

// tenfoldBursts returns bursts that change the mix up to tenfold, as on the users'
// days.
func tenfoldBursts() []burst {
	s := time.Second
	return []burst{
		{0, 10 * s, []float64{0.33, 1.3, 2.7}},
		{10 * s, 20 * s, []float64{2.4, 0.5, 0.05}},
		{20 * s, 30 * s, []float64{0.31, 1.3, 2.6}},
	}
}

// trinacriaDay and pinakidaDay return days of two deployments of the users; rate
// multiplies the requests per second.
func trinacriaDay(rate float64) day {
	return day{engines: 14, model: usersModel(), classes: usersClasses(29.8, 1.62, 1.37), bursts: tenfoldBursts(), length: 30 * time.Second, rate: rate}
}

func pinakidaDay(rate float64) day {
	return day{engines: 23, model: usersModel(), classes: usersClasses(48.9, 2.67, 2.24), bursts: tenfoldBursts(), length: 30 * time.Second, rate: rate}
}

// simJob is a request of the simulation.
type simJob struct {
	job   Job
	class int
	at    time.Time
	// due is when the job is placed next, sent when the caller sent it last.
	due, sent time.Time
	// returned reports whether the caller has come back after a refusal.
	returned bool
	// impatient reports whether the caller returns at once after each refusal.
	impatient bool
	output    int
	// parts is the number of helpers' parts that are not computed yet.
	parts int
	first time.Time
	// worst is the longest pause as a multiple of the objective.
	worst float64
	ended bool
	// left reports whether the caller gave up.
	left  bool
	value float64
}

// impatientReturn is when impatient callers return.
const impatientReturn = 50 * time.Millisecond

// gap is the time without data after which the caller leaves.
func (j *simJob) gap() time.Duration {
	return max(2*time.Second, 4*j.job.FirstAnswer, 8*j.job.MaxPause)
}

// lognormal draws a value with a mean and a relative standard deviation, up to limit.
func lognormal(r *rand.Rand, mean, spread, limit float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2), limit)
}

// earned returns the value of the answer that the caller got.
func (j *simJob) earned(k class) float64 {
	switch {
	case !j.ended || j.left:
		return 0
	case j.first.Sub(j.at) <= k.first && j.worst <= 1:
		return j.value
	}
	return j.value * k.late / k.value
}

// arrivals draws the requests of a day.
func (d day) arrivals(seed uint64, start time.Time) []*simJob {
	r := rand.New(rand.NewPCG(seed, 7))
	var jobs []*simJob
	for c, k := range d.classes {
		t := time.Duration(0)
		for {
			rate := k.perSecond * d.rate
			for _, b := range d.bursts {
				if t >= b.from && t < b.until {
					rate *= b.factors[c]
				}
			}
			t += time.Duration(r.ExpFloat64() / max(rate, 0.01) * float64(time.Second))
			if t > d.length {
				break
			}
			prompt := int(max(lognormal(r, k.prompt, k.promptSD, k.promptMax), 100))
			output := int(max(lognormal(r, k.output, k.outputSD, 2.5*k.output), 43))
			hint := int(lognormal(r, float64(output), 0.5, 4*k.output))
			jobs = append(jobs, &simJob{
				job: Job{
					ID: fmt.Sprintf("%s-%d", k.name, len(jobs)), Service: "llm", Prompt: prompt, Output: max(hint, 43),
					FirstAnswer: k.first, MaxPause: k.pause, Remaining: k.deadline, Lifetime: k.deadline,
				},
				class: c, at: start.Add(t), due: start.Add(t), sent: start.Add(t), output: output,
				value: k.value * min(4, 0.3+0.7*(float64(prompt)+10*float64(output))/(k.prompt+10*k.output)),
			})
		}
	}
	slices.SortFunc(jobs, func(a, b *simJob) int { return a.at.Compare(b.at) })
	return jobs
}

// outcomeOfDay is the result of a simulated day.
type outcomeOfDay struct {
	earned, owed float64
	onTime, all  []int
	refused      int
	// overfull counts placements on engines whose memory does not hold the answers.
	overfull int
	// pauseLate, firstLate and bothLate count late answers by cause.
	pauseLate, firstLate, bothLate [3]int
	decisions                      time.Duration
	placed                         int
	worth                          worth
}

// earnedShare is the earned fraction of the owed value.
func (o outcomeOfDay) earnedShare() float64 { return o.earned / o.owed }

func (o outcomeOfDay) String() string {
	text := fmt.Sprintf("earned %.3f of the value, refused %d, %.0f µs a decision, in time:", o.earnedShare(), o.refused, float64(o.decisions.Microseconds())/float64(max(o.placed, 1)))
	for c := range o.all {
		text += fmt.Sprintf(" %d/%d", o.onTime[c], o.all[c])
	}
	return text
}

// simulation simulates a day on engines that follow the model exactly; only the
// lengths of answers are unknown to the planner.
type simulation struct {
	day     day
	planner *Planner
	engines map[string]*enginemodel.Engine
	jobs    map[string]*simJob
	// overfull counts placements on engines whose memory does not hold the answers.
	overfull int
}

func newSimulation(d day, now time.Time) *simulation {
	s := &simulation{day: d, planner: NewPlanner(""), engines: map[string]*enginemodel.Engine{}, jobs: map[string]*simJob{}}
	if d.learn {
		s.planner.LearnCosts()
	}
	state := deployment.NewState()
	state.Subscribe(s.planner.SetView)
	state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"llm": {Name: "llm", Engine: &s.day.model}}}, now)
	var ups []deployment.Upstream
	for i := range d.engines {
		id := fmt.Sprintf("e%02d", i)
		ups = append(ups, deployment.Upstream{ID: id, Service: "llm", Address: id, Slots: d.model.Slots})
		s.engines[id] = enginemodel.NewEngine(&s.day.model)
		if i < d.slowEngines {
			s.engines[id].SetSpeedFactor(d.slowBy)
		}
	}
	state.ReplaceUpstreams(ups, deployment.Revision{Number: 1}, now)
	return s
}

// never is the ready time of parts that are not computed yet.
var never = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// start places a job. retry reports whether it waits for a slot or was deferred, and
// is placed again soon; otherwise a refused job may return after a time.
func (s *simulation) start(j *simJob, now time.Time) (placed, retry bool, after time.Duration) {
	j.job.Waited = now.Sub(j.sent)
	j.job.Remaining = min(j.job.Lifetime-now.Sub(j.at), j.gap()-j.job.Waited)
	j.job.MayWait = j.job.Waited+40*time.Millisecond < j.job.FirstAnswer/2
	j.job.MayDefer = float64(j.job.Waited) < 0.4*float64(j.gap())
	d := s.planner.Place(j.job, 1, now)
	if d.Upstream == "" {
		return false, d.Reason == Full || d.Reason == Deferred, d.RetryAfter
	}
	pl := s.planner.pools["llm"]
	actual := j.job
	actual.Output = j.output
	works := pl.works(&actual, d, now)
	for _, w := range works {
		if e := s.engines[w.upstream]; s.day.refuse && e.FreeTokens() < w.work.Memory {
			s.overfull++
			s.planner.Ended(j.job.ID, End{Outcome: Refused}, now)
			return false, true, 0
		}
	}
	s.jobs[j.job.ID] = j
	for _, w := range works {
		if w.work.Part {
			j.parts++
		} else if len(d.Helpers) > 0 {
			w.work.NotBefore = never
		}
		e := s.engines[w.upstream]
		e.Add(w.work, now)
		if e.FreeTokens() < 0 {
			s.overfull++
		}
	}
	return true, false, 0
}

// next returns the engine whose pass ends first, and when.
func (s *simulation) next() (*enginemodel.Engine, time.Time) {
	var best *enginemodel.Engine
	var at time.Time
	for i := range s.day.engines {
		e := s.engines[fmt.Sprintf("e%02d", i)]
		if end, ok := e.PassEnd(); ok && (best == nil || end.Before(at)) {
			best, at = e, end
		}
	}
	return best, at
}

// pass ends a pass of an engine and reports to the planner what callers would see.
func (s *simulation) pass(e *enginemodel.Engine, now time.Time) {
	e.Advance(now)
	var done []string
	e.Each(func(p enginemodel.Progress) {
		j := s.jobs[p.ID]
		switch {
		case j == nil:
		case p.Part && !p.First.IsZero() && j.parts > 0:
			done = append(done, p.ID)
		case !p.Part && !p.First.IsZero():
			if j.first.IsZero() {
				j.first = p.First
				s.planner.FirstAnswer(p.ID, now)
			}
			j.worst = max(j.worst, p.WorstPause)
			j.left = j.worst*float64(j.job.MaxPause) > float64(j.gap()) || j.first.Sub(j.at) > j.gap()
			if p.OutputLeft <= 0 || j.left {
				j.ended = true
				done = append(done, p.ID)
			}
		}
	})
	for _, id := range done {
		s.finish(e, id, now)
	}
}

// finish ends a request, or a helper's part of it, on an engine.
func (s *simulation) finish(e *enginemodel.Engine, id string, now time.Time) {
	j := s.jobs[id]
	if j.ended {
		for _, other := range s.engines {
			other.Remove(id, now)
		}
		s.planner.Ended(id, End{Outcome: Completed, Events: (j.output + s.day.model.Stride - 1) / s.day.model.Stride}, now)
		delete(s.jobs, id)
		return
	}
	e.Remove(id, now)
	if j.parts--; j.parts == 0 {
		for _, other := range s.engines {
			other.PartsReady(id, now)
		}
	}
}

// run simulates the day and returns its result.
func (d day) run(seed uint64) outcomeOfDay {
	now := time.Unix(1_000_000, 0)
	jobs := d.arrivals(seed, now)
	if d.alter != nil {
		d.alter(jobs, now)
	}
	return newSimulation(d, now).play(jobs, now)
}

// play simulates the day with the given requests.
func (s *simulation) play(jobs []*simJob, now time.Time) outcomeOfDay {
	d := s.day
	o := outcomeOfDay{onTime: make([]int, len(d.classes)), all: make([]int, len(d.classes))}
	var waiting []*simJob // by due time
	for i := 0; ; {
		e, at := s.next()
		var j *simJob
		if i < len(jobs) {
			j = jobs[i]
		}
		if len(waiting) > 0 && (j == nil || waiting[0].due.Before(j.due)) {
			j = waiting[0]
		}
		if j != nil && (e == nil || !j.due.After(at)) {
			if len(waiting) > 0 && j == waiting[0] {
				waiting = waiting[1:]
			} else {
				i++
			}
			began := time.Now()
			placed, retry, after := s.start(j, j.due)
			o.decisions += time.Since(began)
			o.placed++
			left := j.job.Lifetime - j.due.Sub(j.at)
			switch {
			case !placed && !retry && j.impatient && left > impatientReturn:
				j.job.ID += "'"
				j.due = j.due.Add(impatientReturn)
				j.sent = j.due
				waiting = append(waiting, j)
				slices.SortStableFunc(waiting, func(a, b *simJob) int { return a.due.Compare(b.due) })
			case !placed && !retry && !j.returned:
				// Callers come back once, after a third of the time that they have left at most.
				j.returned = true
				j.job.ID += "-again"
				if d.maxReturn > 0 {
					after = min(after, d.maxReturn)
				}
				j.due = j.due.Add(min(after, left/3))
				j.sent = j.due
				waiting = append(waiting, j)
				slices.SortStableFunc(waiting, func(a, b *simJob) int { return a.due.Compare(b.due) })
			case retry:
				pause := 40 * time.Millisecond
				if j.job.Prompt >= longPromptTokens {
					pause = 100 * time.Millisecond
				}
				j.due = j.due.Add(pause)
				waiting = append(waiting, j)
				slices.SortStableFunc(waiting, func(a, b *simJob) int { return a.due.Compare(b.due) })
			case !placed:
				o.refused++
			}
			continue
		}
		if e == nil {
			break
		}
		s.pass(e, at)
	}
	if d.inspect != nil {
		d.inspect(s)
	}
	for _, j := range jobs {
		k := d.classes[j.class]
		o.owed += j.value
		o.earned += j.earned(k)
		o.all[j.class]++
		late, paused := j.first.Sub(j.at) > k.first, j.worst > 1
		switch {
		case !j.ended || j.left:
		case late && paused:
			o.bothLate[j.class]++
		case late:
			o.firstLate[j.class]++
		case paused:
			o.pauseLate[j.class]++
		default:
			o.onTime[j.class]++
		}
	}
	o.worth, o.overfull = d.worth(jobs, now), s.overfull
	return o
}

// BenchmarkDay reports the fraction of the value that the policy earns on simulated
// days.
func BenchmarkDay(b *testing.B) {
	for _, rate := range []float64{0.85, 1, 1.4} {
		for name, build := range map[string]func(float64) day{"trinacria": trinacriaDay, "pinakida": pinakidaDay} {
			b.Run(fmt.Sprintf("%s/%.2f", name, rate), func(b *testing.B) {
				sum := 0.0
				for i := range b.N {
					sum += build(rate).run(uint64(i)).earnedShare()
				}
				b.ReportMetric(sum/float64(b.N), "worth")
			})
		}
	}
}
