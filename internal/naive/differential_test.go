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
	model = "m"
	// promptTokensPerSecond is the speed of an engine for each of its calls.
	promptTokensPerSecond = 20_000
)

// outage is a period, in milliseconds since the start, in which an engine is down
// or accepts no new calls because it is leaving.
type outage struct{ engine, from, to int }

// call is one call of a scenario. The field at is its start, in milliseconds since
// the start of the scenario.
type call struct {
	at, tokens, workspace int
	idempotent            bool
	// poisonous calls crash the engine that runs them.
	poisonous bool
}

// scenario is a random input for both routers.
type scenario struct {
	engines int
	down    []outage
	leaving []outage
	calls   []call
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{engines: rapid.IntRange(3, 8).Draw(t, "engines")}
	drawOutage := func(label string) outage {
		from := rapid.IntRange(0, 8_000).Draw(t, label)
		return outage{rapid.IntRange(0, s.engines-1).Draw(t, label), from, from + rapid.IntRange(100, 4_000).Draw(t, label)}
	}
	for range rapid.IntRange(0, 2).Draw(t, "outages") {
		s.down = append(s.down, drawOutage("down"))
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

// callResult is the result of one call.
type callResult struct {
	complete bool
	refusal  *result.Error
	starts   int
	crashes  int // engines crashed by the call
	losses   int // attempts ended by a crash or outage of the upstream
	late     bool
}

// cluster simulates the engines of one run. An engine serves all its calls
// concurrently, each at full speed.
type cluster struct {
	scenario scenario
	begin    time.Time
	mu       sync.Mutex
	crashed  map[int]time.Time // end of the restart of each crashed engine
	crashes  int
	// startedOnLeaving counts the calls that were started on an engine after the
	// router must have been notified that it was leaving.
	startedOnLeaving int
	running          map[int][]context.CancelFunc
}

// restartTime is how long an engine is down after a crash.
const restartTime = 500 * time.Millisecond

// within reports whether an engine is currently in one of the outages.
func (cl *cluster) within(list []outage, engine int) bool {
	now := int(time.Since(cl.begin).Milliseconds())
	return slices.ContainsFunc(list, func(o outage) bool { return o.engine == engine && now >= o.from && now < o.to })
}

// maxNoticeDelayMs bounds the time until the router receives the notice that an
// engine is leaving. It equals the probe interval.
const maxNoticeDelayMs = 100

// leavingForMs returns how long an engine has been leaving, in milliseconds.
func (cl *cluster) leavingForMs(engine int) int {
	now := int(time.Since(cl.begin).Milliseconds())
	longest := 0
	for _, o := range cl.scenario.leaving {
		if o.engine == engine && now >= o.from && now < o.to {
			longest = max(longest, now-o.from)
		}
	}
	return longest
}

func (cl *cluster) alive(engine int) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return !cl.within(cl.scenario.down, engine) && !time.Now().Before(cl.crashed[engine])
}

// crash ends all calls on an engine and takes it down for restartTime.
func (cl *cluster) crash(engine int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.crashed[engine] = time.Now().Add(restartTime)
	cl.crashes++
	for _, cancel := range cl.running[engine] {
		cancel()
	}
	cl.running[engine] = nil
}

// maxCrashes returns how many engines a poisonous call may crash: two, or three if
// enough engines fail at about the same time to look like an outage.
func (cl *cluster) maxCrashes() int {
	if cl.crashes+len(cl.scenario.down) >= 4 {
		return 3
	}
	return 2
}

// run executes a call on an engine.
func (cl *cluster) run(engine int, c call, a *callResult) admit.Outcome {
	if !cl.alive(engine) {
		return admit.Unreached
	}
	a.starts++
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cl.mu.Lock()
	cl.running[engine] = append(cl.running[engine], cancel)
	if cl.leavingForMs(engine) > maxNoticeDelayMs {
		cl.startedOnLeaving++
	}
	cl.mu.Unlock()
	for left := c.tokens; left > 0; left -= 500 {
		time.Sleep(500 * time.Second / promptTokensPerSecond)
		if c.poisonous {
			cl.crash(engine)
			a.crashes++
		}
		if ctx.Err() != nil || !cl.alive(engine) {
			return admit.Lost
		}
	}
	return admit.Completed
}

// router sends one call and returns its result.
type router func(cl *cluster, i int, c call, deadline time.Time) callResult

// simulate runs a scenario with a router in virtual time.
func simulate(t *testing.T, s scenario, start func(cl *cluster, stop <-chan struct{}) router) ([]callResult, *cluster) {
	results := make([]callResult, len(s.calls))
	cl := &cluster{scenario: s, crashed: map[int]time.Time{}, running: map[int][]context.CancelFunc{}}
	synctest.Test(t, func(*testing.T) {
		cl.begin = time.Now()
		stop := make(chan struct{})
		send := start(cl, stop)
		var wait sync.WaitGroup
		for i, c := range s.calls {
			wait.Go(func() {
				time.Sleep(time.Duration(c.at) * time.Millisecond)
				deadline := time.Now().Add(30 * time.Second)
				results[i] = send(cl, i, c, deadline)
				results[i].late = time.Now().After(deadline)
			})
		}
		wait.Wait()
		close(stop)
	})
	return results, cl
}

func startNaive(cl *cluster, _ <-chan struct{}) router {
	b := New(ids(cl.scenario.engines))
	return func(cl *cluster, _ int, c call, _ time.Time) callResult {
		var a callResult
		a.complete = cl.run(slices.Index(ids(cl.scenario.engines), b.Next()), c, &a) == admit.Completed
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

func startScheduler(cl *cluster, stop <-chan struct{}) router {
	s := admit.New(admit.Options{Instance: "i", Seed: 1})
	var list []admit.Upstream
	for _, id := range ids(cl.scenario.engines) {
		list = append(list, admit.Upstream{ID: id, Models: []string{model}, MemoryTokens: 400_000})
	}
	s.SetUpstreams(list)
	go probe(cl, s, stop)
	return func(cl *cluster, i int, c call, deadline time.Time) callResult {
		var a callResult
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
			outcome := cl.run(slices.Index(ids(cl.scenario.engines), g.Upstream().ID), c, &a)
			g.Done(outcome)
			if outcome == admit.Completed {
				a.complete = true
				return a
			}
			if outcome == admit.Lost {
				ran = result.MayHaveRun
				a.losses++
			}
			r.Avoid = append(r.Avoid, g.Upstream().ID)
			if a.refusal = s.MayRetry(r, ran); a.refusal != nil {
				return a
			}
			r.Attempt++
		}
	}
}

// probe reports the health and the leaving state of each engine to the scheduler
// every 100 ms.
func probe(cl *cluster, s *admit.Scheduler, stop <-chan struct{}) {
	for {
		for i, id := range ids(cl.scenario.engines) {
			s.ObserveProbe(id, cl.alive(i), time.Millisecond)
			s.SetLeaving(id, cl.within(cl.scenario.leaving, i))
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// TestNeverWorseThanNaive checks the scheduler against the naive router under random
// outages, leaving engines and poisonous calls. Calls that the naive router completes
// must complete, and the guarantees that the naive router lacks must hold: deadlines,
// at most one start of a non-idempotent call, bounded crashes by a poisonous call,
// no calls to engines known to be leaving, and no call reported as not run after it
// was started.
func TestNeverWorseThanNaive(t *testing.T) {
	naiveDone, done, naiveCrashes, crashes := 0, 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		baseline, naiveCl := simulate(t, s, startNaive)
		results, cl := simulate(t, s, startScheduler)
		naiveCrashes, crashes = naiveCrashes+naiveCl.crashes, crashes+cl.crashes
		for i, a := range results {
			c := s.calls[i]
			if baseline[i].complete {
				naiveDone++
			}
			if a.complete {
				done++
			}
			switch {
			case a.refusal != nil && a.refusal.Code == result.PoisonSuspect && a.losses < 2:
				rt.Fatalf("call %d was refused as poison suspect after %d lost attempts", i, a.losses)
			case baseline[i].complete && !a.complete && c.idempotent && a.losses < 2:
				rt.Fatalf("call %d %+v was completed by the naive router only: %v", i, c, a.refusal)
			case a.complete == (a.refusal != nil):
				rt.Fatalf("call %d has both an answer and a refusal, or neither: %+v", i, a)
			case a.late:
				rt.Fatalf("call %d ended after its deadline", i)
			case a.crashes > cl.maxCrashes():
				rt.Fatalf("poisonous call %d crashed %d engines", i, a.crashes)
			case !c.idempotent && a.starts > 1:
				rt.Fatalf("non-idempotent call %d started %d times", i, a.starts)
			case a.refusal != nil && a.refusal.Execution == result.NotRun && a.starts > 0:
				rt.Fatalf("call %d was reported as not run, but had started", i)
			}
		}
		if cl.startedOnLeaving > 0 {
			rt.Fatalf("%d calls were started on an engine known to be leaving", cl.startedOnLeaving)
		}
	})
	t.Logf("completed: naive %d, scheduler %d; engines crashed: naive %d, scheduler %d", naiveDone, done, naiveCrashes, crashes)
}
