package naive

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/result"
)

const (
	model     = "m"
	perSecond = 20_000 // prompt tokens
)

// outage is a time, in milliseconds from the start, in which an engine is dead
// or takes nothing new because it is leaving.
type outage struct{ engine, from, to int }

type call struct {
	at, tokens, workspace int
	idempotent            bool
	poisonous             bool
}

// scenario is one input for both routers.
type scenario struct {
	engines int
	dead    []outage
	leaving []outage
	calls   []call
}

func draw(t *rapid.T) scenario {
	s := scenario{engines: rapid.IntRange(3, 8).Draw(t, "engines")}
	drawOutage := func(label string) outage {
		from := rapid.IntRange(0, 8_000).Draw(t, label)
		return outage{rapid.IntRange(0, s.engines-1).Draw(t, label), from, from + rapid.IntRange(100, 4_000).Draw(t, label)}
	}
	for range rapid.IntRange(0, 2).Draw(t, "outages") {
		s.dead = append(s.dead, drawOutage("dead"))
	}
	if rapid.Bool().Draw(t, "some leave") {
		s.leaving = append(s.leaving, drawOutage("leaving"))
	}
	for i := range rapid.IntRange(1, 25).Draw(t, "calls") {
		s.calls = append(s.calls, call{
			at:         rapid.IntRange(0, 10_000).Draw(t, "at"),
			tokens:     rapid.SampledFrom([]int{500, 2_000, 10_000, 60_000}).Draw(t, "tokens"),
			workspace:  i % 5,
			idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0,
			poisonous:  rapid.IntRange(0, 30).Draw(t, "poison") == 0,
		})
	}
	return s
}

// answer is what became of one call.
type answer struct {
	complete bool
	refusal  *result.Error
	starts   int
	crashes  int // engines that the call crashed
	lost     int // attempts that an upstream's crash or outage ended
	late     bool
}

// world is the engines of one run. An engine serves all its calls at once.
type world struct {
	scenario scenario
	begin    time.Time
	mu       sync.Mutex
	crashed  map[int]time.Time // until when an engine is down after a crash
	crashes  int
	toLeaver int
	running  map[int][]context.CancelFunc
}

const restart = 500 * time.Millisecond

func (w *world) within(list []outage, engine int) bool {
	now := int(time.Since(w.begin).Milliseconds())
	return slices.ContainsFunc(list, func(o outage) bool { return o.engine == engine && now >= o.from && now < o.to })
}

// newsTime is within how many milliseconds the router hears that an engine is
// leaving.
const newsTime = 100

// leavingFor returns for how many milliseconds an engine has been leaving.
func (w *world) leavingFor(engine int) int {
	now := int(time.Since(w.begin).Milliseconds())
	longest := 0
	for _, o := range w.scenario.leaving {
		if o.engine == engine && now >= o.from && now < o.to {
			longest = max(longest, now-o.from)
		}
	}
	return longest
}

func (w *world) alive(engine int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.within(w.scenario.dead, engine) && !time.Now().Before(w.crashed[engine])
}

// crash stops everything that runs on an engine.
func (w *world) crash(engine int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed[engine] = time.Now().Add(restart)
	w.crashes++
	for _, cancel := range w.running[engine] {
		cancel()
	}
	w.running[engine] = nil
}

// crashBound returns how many engines one poisonous call may crash: two, or
// three if enough engines are lost at about the same time to look like an outage.
func (w *world) crashBound() int {
	if w.crashes+len(w.scenario.dead) >= 4 {
		return 3
	}
	return 2
}

// run serves a call on an engine.
func (w *world) run(engine int, c call, a *answer) admit.Outcome {
	if !w.alive(engine) {
		return admit.Unreached
	}
	a.starts++
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.mu.Lock()
	w.running[engine] = append(w.running[engine], cancel)
	if w.leavingFor(engine) > newsTime {
		w.toLeaver++
	}
	w.mu.Unlock()
	for left := c.tokens; left > 0; left -= 500 {
		time.Sleep(500 * time.Second / perSecond)
		if c.poisonous {
			w.crash(engine)
			a.crashes++
		}
		if ctx.Err() != nil || !w.alive(engine) {
			return admit.Lost
		}
	}
	return admit.Completed
}

// router sends one call and returns what became of it.
type router func(w *world, i int, c call, deadline time.Time) answer

// play runs the scenario with a router in virtual time.
func play(t *testing.T, s scenario, start func(w *world, stop <-chan struct{}) router) ([]answer, *world) {
	answers := make([]answer, len(s.calls))
	w := &world{scenario: s, crashed: map[int]time.Time{}, running: map[int][]context.CancelFunc{}}
	synctest.Test(t, func(*testing.T) {
		w.begin = time.Now()
		stop := make(chan struct{})
		send := start(w, stop)
		var wait sync.WaitGroup
		for i, c := range s.calls {
			wait.Go(func() {
				time.Sleep(time.Duration(c.at) * time.Millisecond)
				deadline := time.Now().Add(30 * time.Second)
				answers[i] = send(w, i, c, deadline)
				answers[i].late = time.Now().After(deadline)
			})
		}
		wait.Wait()
		close(stop)
	})
	return answers, w
}

func startNaive(w *world, _ <-chan struct{}) router {
	b := New(ids(w.scenario.engines))
	return func(w *world, _ int, c call, _ time.Time) answer {
		var a answer
		a.complete = w.run(slices.Index(ids(w.scenario.engines), b.Next()), c, &a) == admit.Completed
		return a
	}
}

func ids(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint(i)
	}
	return list
}

func startScheduler(w *world, stop <-chan struct{}) router {
	s := admit.New(admit.Options{Instance: "i", Seed: 1})
	var list []admit.Upstream
	for _, id := range ids(w.scenario.engines) {
		list = append(list, admit.Upstream{ID: id, Models: []string{model}, MemoryTokens: 400_000})
	}
	s.SetUpstreams(list)
	go probe(w, s, stop)
	return func(w *world, i int, c call, deadline time.Time) answer {
		var a answer
		r := &admit.Request{
			ID: fmt.Sprint(i), Workspace: fmt.Sprint(c.workspace), Target: model, Class: catalogue.ClassInteractive,
			PromptTokens: c.tokens, OutputTokens: 10, Deadline: deadline, Fingerprint: uint64(i) + 1,
			Attempt: 1, NonIdempotent: !c.idempotent,
		}
		ran := result.NotRun
		for {
			g, refusal := s.Acquire(context.Background(), r)
			if refusal != nil {
				a.refusal = refusal.WithExecution(ran)
				return a
			}
			g.Sent()
			outcome := w.run(slices.Index(ids(w.scenario.engines), g.Upstream().ID), c, &a)
			g.Done(outcome)
			if outcome == admit.Completed {
				a.complete = true
				return a
			}
			if outcome == admit.Lost {
				ran = result.MayHaveRun
				a.lost++
			}
			r.Avoid = append(r.Avoid, g.Upstream().ID)
			if a.refusal = s.MayRetry(r, ran); a.refusal != nil {
				return a
			}
			r.Attempt++
		}
	}
}

// probe tells the scheduler of health and leaving every 100 ms.
func probe(w *world, s *admit.Scheduler, stop <-chan struct{}) {
	for {
		for i, id := range ids(w.scenario.engines) {
			s.ObserveProbe(id, w.alive(i), time.Millisecond)
			s.SetLeaving(id, w.within(w.scenario.leaving, i))
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// TestNeverWorseThanNaive runs random outages, departures and poison against
// both routers. Whatever the naive one completes must complete, and the promises
// that the naive one breaks must hold.
func TestNeverWorseThanNaive(t *testing.T) {
	naiveDone, done, naiveCrashes, crashes := 0, 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := draw(rt)
		baseline, nw := play(t, s, startNaive)
		answers, w := play(t, s, startScheduler)
		naiveCrashes, crashes = naiveCrashes+nw.crashes, crashes+w.crashes
		for i, a := range answers {
			c := s.calls[i]
			if baseline[i].complete {
				naiveDone++
			}
			if a.complete {
				done++
			}
			switch {
			case a.refusal != nil && a.refusal.Code == result.PoisonSuspect && a.lost < 2:
				rt.Fatalf("call %d is refused as poison after %d losses", i, a.lost)
			case baseline[i].complete && !a.complete && c.idempotent && a.lost < 2:
				rt.Fatalf("call %d %+v completes with the naive router only: %v", i, c, a.refusal)
			case a.complete == (a.refusal != nil):
				rt.Fatalf("call %d has no clear end: %+v", i, a)
			case a.late:
				rt.Fatalf("call %d ended after its deadline", i)
			case a.crashes > w.crashBound():
				rt.Fatalf("poisonous call %d crashed %d engines", i, a.crashes)
			case !c.idempotent && a.starts > 1:
				rt.Fatalf("non-idempotent call %d started %d times", i, a.starts)
			case a.refusal != nil && a.refusal.Execution == result.NotRun && a.starts > 0:
				rt.Fatalf("call %d is said not to have run, but started", i)
			}
		}
		if w.toLeaver > 0 {
			rt.Fatalf("%d calls went to an engine known to be leaving", w.toLeaver)
		}
	})
	t.Logf("completed: naive %d, scheduler %d; engines crashed: naive %d, scheduler %d", naiveDone, done, naiveCrashes, crashes)
}
