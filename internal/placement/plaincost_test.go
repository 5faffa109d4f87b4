package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// plainDay is a simulated run of a plain service whose work times have a mean of 60 ms and reach
// 450 ms. Its upstreams answer jobs in the order of their arrival, each slot one at a time.
type plainDay struct {
	upstreams, slots int
	// load is the part of the slots that the jobs take on average.
	load   float64
	length time.Duration
	// slow is how many times longer the first upstream works from slowFrom until slowUntil.
	slow                float64
	slowFrom, slowUntil time.Duration
	// longRoute is the share of jobs on a second route whose work takes 400 ms.
	longRoute float64
	// burst, if set, multiplies the arrivals in the fourth of the run's five parts.
	burst float64
}

const (
	plainMean, plainMax, plainSpread = 0.060, 0.450, 1.2
	// plainReport is how long it takes until the planner knows that a job has ended.
	plainReport = 8 * time.Millisecond
)

// plainEvent is the end of a job, or later the planner's knowledge of it.
type plainEvent struct {
	at   time.Time
	id   string
	took time.Duration
}

type plainEvents []plainEvent

func (e plainEvents) Len() int           { return len(e) }
func (e plainEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e plainEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *plainEvents) Push(x any)        { *e = append(*e, x.(plainEvent)) }
func (e *plainEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// plainOutcome is the result of a plainDay.
type plainOutcome struct {
	// within is the share answered within 150 ms.
	within   float64
	p50, p99 time.Duration
	// shares holds the share of the first upstream in the jobs placed before, during and after
	// the time when it is slow.
	shares [3]float64
}

func (o plainOutcome) String() string {
	return fmt.Sprintf("within %.4f, p50 %v, p99 %v, share of the first %.3f", o.within, o.p50.Round(time.Millisecond), o.p99.Round(time.Millisecond), o.shares)
}

// run simulates the day with the real planner.
func (d plainDay) run(seed uint64, learn bool) plainOutcome {
	r := rand.New(rand.NewPCG(seed, 11))
	start := time.Unix(1_000_000, 0)
	p := NewPlanner("")
	if learn {
		p.LearnCosts()
	}
	state := deployment.NewState()
	state.Subscribe(p.SetView)
	state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"web": {Name: "web"}}}, start)
	var ups []deployment.Upstream
	free := map[string][]time.Time{}
	for i := range d.upstreams {
		id := fmt.Sprintf("u%02d", i)
		ups = append(ups, deployment.Upstream{ID: id, Service: "web", Address: id, Slots: d.slots})
		free[id] = make([]time.Time, d.slots)
	}
	state.ReplaceUpstreams(ups, deployment.Revision{Number: 1}, start)
	mean := plainMean*(1-d.longRoute) + 0.4*d.longRoute
	rate := d.load * float64(d.upstreams*d.slots) / mean
	var events plainEvents
	var times []time.Duration
	var placed, first [3]float64
	for t := time.Duration(0); t < d.length; {
		now := rate
		if d.burst > 0 && t > d.length*3/5 && t < d.length*4/5 {
			now *= d.burst
		}
		t += time.Duration(r.ExpFloat64() / now * float64(time.Second))
		at := start.Add(t)
		for len(events) > 0 && !events[0].at.After(at) {
			e := heap.Pop(&events).(plainEvent)
			p.Ended(e.id, End{Outcome: Completed, Duration: e.took}, e.at)
		}
		j := Job{ID: fmt.Sprint(t), Service: "web", Route: "short", Remaining: 10 * time.Second, Lifetime: 30 * time.Second}
		work := time.Duration(lognormal(r, plainMean, plainSpread, plainMax) * float64(time.Second))
		if r.Float64() < d.longRoute {
			j.Route, work = "long", 400*time.Millisecond
		}
		dec := p.Place(j, 1, at)
		slow, phase := 1.0, 0
		switch {
		case d.slow > 0 && t >= d.slowUntil:
			phase = 2
		case d.slow > 0 && t >= d.slowFrom:
			phase = 1
			if dec.Upstream == "u00" {
				slow = d.slow
			}
		}
		placed[phase]++
		if dec.Upstream == "u00" {
			first[phase]++
		}
		slots := free[dec.Upstream]
		i := slices.IndexFunc(slots, func(at time.Time) bool { return at.Equal(slices.MinFunc(slots, time.Time.Compare)) })
		begin := latest(slots[i], at)
		slots[i] = begin.Add(time.Duration(slow * float64(work)))
		took := slots[i].Sub(at)
		times = append(times, took)
		heap.Push(&events, plainEvent{at: slots[i].Add(plainReport), id: j.ID, took: took})
	}
	o := plainOutcome{}
	slices.Sort(times)
	n := len(times)
	in, _ := slices.BinarySearch(times, 150*time.Millisecond)
	o.within, o.p50, o.p99 = float64(in)/float64(n), times[n/2], times[n*99/100]
	for i := range placed {
		o.shares[i] = first[i] / max(placed[i], 1)
	}
	return o
}

func plainDays() map[string]plainDay {
	s := time.Second
	return map[string]plainDay{
		"even":       {upstreams: 10, slots: 4, load: 0.6, length: 20 * s},
		"even, busy": {upstreams: 10, slots: 4, load: 0.9, length: 20 * s},
		"one slot":   {upstreams: 20, slots: 1, load: 0.7, length: 20 * s},
		"slow":       {upstreams: 10, slots: 4, load: 0.6, length: 20 * s, slow: 5, slowFrom: 5 * s, slowUntil: 12 * s},
		"slow, busy": {upstreams: 10, slots: 4, load: 0.85, length: 20 * s, slow: 5, slowFrom: 5 * s, slowUntil: 12 * s},
		"slow 3":     {upstreams: 10, slots: 4, load: 0.6, length: 20 * s, slow: 3, slowFrom: 5 * s, slowUntil: 12 * s},
		"two routes": {upstreams: 10, slots: 4, load: 0.8, length: 20 * s, longRoute: 0.1},
		"burst":      {upstreams: 10, slots: 4, load: 0.6, length: 20 * s, longRoute: 0.1, burst: 1.6},
	}
}

// mean returns the means of the outcomes of several seeds.
func (d plainDay) mean(seeds int, learn bool) plainOutcome {
	var sum plainOutcome
	for seed := range seeds {
		o := d.run(uint64(seed), learn)
		sum.within += o.within / float64(seeds)
		sum.p50 += o.p50 / time.Duration(seeds)
		sum.p99 += o.p99 / time.Duration(seeds)
		for i := range sum.shares {
			sum.shares[i] += o.shares[i] / float64(seeds)
		}
	}
	return sum
}

// TestLearnedWorkBeatsCounting guards against a choice among plain upstreams that answers fewer
// jobs in time than the number of jobs per slot does, and against one that gains nothing over it
// where upstreams differ in pace or jobs in their work.
func TestLearnedWorkBeatsCounting(t *testing.T) {
	t.Parallel()
	const seeds, noise = 8, 0.002
	for name, d := range plainDays() {
		counted, learned := d.mean(seeds, false), d.mean(seeds, true)
		t.Logf("%s: counted %v; learned %v", name, counted, learned)
		if learned.within < counted.within-noise {
			t.Errorf("%s: %.4f are answered in time, %.4f if jobs are counted", name, learned.within, counted.within)
		}
		if limit := counted.p99 * 103 / 100; learned.p99 > limit {
			t.Errorf("%s: p99 is %v, %v if jobs are counted", name, learned.p99, counted.p99)
		}
		switch name {
		case "slow", "slow 3", "one slot":
			if learned.within < counted.within+noise {
				t.Errorf("%s: %.4f are answered in time, want a gain over %.4f", name, learned.within, counted.within)
			}
		case "slow, busy":
			if learned.p99 > counted.p99*95/100 {
				t.Errorf("%s: p99 is %v, want a gain over %v", name, learned.p99, counted.p99)
			}
		}
	}
}

// TestSlowUpstreamGetsLess guards against a slow upstream that keeps its share of the jobs, and
// against one that does not get it back soon after it is as fast as the others again.
func TestSlowUpstreamGetsLess(t *testing.T) {
	t.Parallel()
	d := plainDays()["slow"]
	o, counted := d.mean(8, true), d.mean(8, false)
	t.Logf("%v; counted %v", o, counted)
	if o.shares[1] > counted.shares[1]/2 {
		t.Errorf("the slow one of %d upstreams gets %.3f of the jobs, want less than half of %.3f", d.upstreams, o.shares[1], counted.shares[1])
	}
	if fair := 1 / float64(d.upstreams); o.shares[0] < 0.9*fair || o.shares[2] < 0.75*fair {
		t.Errorf("its share before and in the 8 s after is %.3f and %.3f, want nearly %.3f", o.shares[0], o.shares[2], fair)
	}
}

// TestNothingLearnedCountsJobs guards against choices among plain upstreams that change before
// any work time is known, and against work times of attempts without a complete answer.
func TestNothingLearnedCountsJobs(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var chosen [2][]string
	for i, learn := range []bool{false, true} {
		p := NewPlanner("")
		if learn {
			p.LearnCosts()
		}
		state := deployment.NewState()
		state.Subscribe(p.SetView)
		state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"web": {Name: "web"}}}, now)
		var ups []deployment.Upstream
		for n := range 5 {
			ups = append(ups, deployment.Upstream{ID: fmt.Sprint(n), Service: "web", Address: fmt.Sprint(n), Slots: 1 + n%2})
		}
		state.ReplaceUpstreams(ups, deployment.Revision{Number: 1}, now)
		for n := range 200 {
			now := now.Add(time.Duration(n) * time.Millisecond)
			id := fmt.Sprint(n)
			chosen[i] = append(chosen[i], p.Place(Job{ID: id, Service: "web", Lifetime: time.Minute}, 1, now).Upstream)
			if n%3 == 0 {
				p.Ended(id, End{Outcome: []Outcome{Abandoned, Failed, Refused}[n/3%3], Duration: time.Second}, now)
			}
		}
		if costs := p.Costs(now); learn != (costs != nil) || learn && len(costs.Times) > 0 {
			t.Errorf("learning %t: the costs are %+v", learn, costs)
		}
	}
	if !slices.Equal(chosen[0], chosen[1]) {
		t.Errorf("the choices are %v, want %v", chosen[1], chosen[0])
	}
}

// TestWorkTimeLeavesOutWaiting guards against work times that contain the wait for a slot:
// under load all upstreams would look slow, and the queue be counted twice.
func TestWorkTimeLeavesOutWaiting(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := NewPlanner("")
	p.LearnCosts()
	state := deployment.NewState()
	state.Subscribe(p.SetView)
	state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"web": {Name: "web"}}}, now)
	state.ReplaceUpstreams([]deployment.Upstream{{ID: "u", Service: "web", Address: "u", Slots: 2}}, deployment.Revision{Number: 1}, now)
	const jobs, work = 40, 50 * time.Millisecond
	for n := range jobs {
		p.PlaceAlone(Job{ID: fmt.Sprint(n), Service: "web", Route: "r", Lifetime: time.Minute}, 1, now)
	}
	for n := range jobs {
		took := time.Duration(n/2+1) * work
		p.Ended(fmt.Sprint(n), End{Outcome: Completed, Duration: took}, now.Add(took+plainReport))
	}
	got := p.Costs(now.Add(3 * time.Second)).Times
	if len(got) == 0 || got[0].Mean < 0.9*work.Seconds() || got[0].Mean > 1.1*work.Seconds() {
		t.Errorf("the work times are %+v, want a mean of %v", got, work)
	}
}

// TestWorkBeginsAfterPlacement guards against work times that begin before the job was placed:
// one placed between the end of another and the report of that end has had the slot at once.
func TestWorkBeginsAfterPlacement(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := NewPlanner("")
	p.LearnCosts()
	state := deployment.NewState()
	state.Subscribe(p.SetView)
	state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"web": {Name: "web"}}}, now)
	state.ReplaceUpstreams([]deployment.Upstream{{ID: "u", Service: "web", Address: "u", Slots: 1}}, deployment.Revision{Number: 1}, now)
	ms := func(n int) time.Time { return now.Add(time.Duration(n) * time.Millisecond) }
	p.Place(Job{ID: "first", Service: "web", Lifetime: time.Minute}, 1, now)
	p.Place(Job{ID: "second", Service: "web", Lifetime: time.Minute}, 1, ms(900))
	p.Ended("first", End{Outcome: Abandoned, Duration: 100 * time.Millisecond}, ms(910))
	p.Ended("second", End{Outcome: Completed, Duration: 50 * time.Millisecond}, ms(960))
	got := p.Costs(ms(960)).Times
	if len(got) != 1 || got[0].Mean < 0.04 || got[0].Mean > 0.06 {
		t.Errorf("the work times are %+v, want one of 50 ms", got)
	}
}

// BenchmarkPlainDecision reports the time of a decision among 100 upstreams with queues as long as
// their slots, by count and by learned work.
func BenchmarkPlainDecision(b *testing.B) {
	for _, learn := range []bool{false, true} {
		b.Run(fmt.Sprintf("learn=%t", learn), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			p := NewPlanner("")
			if learn {
				p.LearnCosts()
			}
			state := deployment.NewState()
			state.Subscribe(p.SetView)
			state.SetConfiguration(&deployment.Configuration{Version: 1, Services: map[string]deployment.Service{"web": {Name: "web"}}}, now)
			var ups []deployment.Upstream
			for n := range 100 {
				ups = append(ups, deployment.Upstream{ID: fmt.Sprint(n), Service: "web", Address: fmt.Sprint(n), Slots: 8})
			}
			state.ReplaceUpstreams(ups, deployment.Revision{Number: 1}, now)
			job := func(n int) Job {
				return Job{ID: fmt.Sprint(n), Service: "web", Route: fmt.Sprint("r", n%4), Lifetime: time.Hour}
			}
			for n := range 1800 {
				p.Place(job(n), 1, now)
				if n < 200 {
					p.Ended(fmt.Sprint(n), End{Outcome: Completed, Duration: 50 * time.Millisecond}, now)
				}
			}
			b.ResetTimer()
			for n := range b.N {
				now = now.Add(100 * time.Microsecond)
				p.Place(job(2000+n), 1, now)
				p.Ended(fmt.Sprint(2000+n), End{Outcome: Abandoned, Duration: 50 * time.Millisecond}, now)
			}
		})
	}
}
