package admit

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// fakeJob is one request on a fakeEngine.
type fakeJob struct {
	id       string
	left     int
	priority int
	order    int
	ctx      context.Context
	// first is closed when the first token is computed.
	first chan struct{}
}

// fakeEngine computes prompts in chunks by priority, in virtual time.
type fakeEngine struct {
	mu      sync.Mutex
	queue   []*fakeJob
	wake    chan struct{}
	order   int
	reports uint64
	// slow is the factor by which chunks take longer.
	slow float64
}

func newFakeEngine(ctx context.Context) *fakeEngine {
	e := &fakeEngine{wake: make(chan struct{}, 1), slow: 1}
	go e.run(ctx)
	return e
}

func (e *fakeEngine) submit(ctx context.Context, id string, tokens, priority int) *fakeJob {
	e.mu.Lock()
	e.order++
	j := &fakeJob{id: id, left: tokens, priority: priority, order: e.order, ctx: ctx, first: make(chan struct{})}
	e.queue = append(e.queue, j)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return j
}

func (e *fakeEngine) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		for e.chunk() {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// chunk computes one chunk. It returns false if the queue is empty.
func (e *fakeEngine) chunk() bool {
	e.mu.Lock()
	if len(e.queue) == 0 {
		e.mu.Unlock()
		return false
	}
	j := slices.MinFunc(e.queue, func(a, b *fakeJob) int { return cmp.Or(a.priority-b.priority, a.order-b.order) })
	tokens := min(j.left, modelChunk)
	e.mu.Unlock()
	if j.ctx.Err() == nil {
		time.Sleep(time.Duration(e.slow * float64(tokens) / modelRate * float64(time.Second)))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	j.left -= tokens
	if j.left <= 0 || j.ctx.Err() != nil {
		e.queue = slices.DeleteFunc(e.queue, func(o *fakeJob) bool { return o == j })
		close(j.first)
	}
	return true
}

func (e *fakeEngine) report() upstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	r := upstream.LoadReport{Sequence: e.reports, Boot: "b", AgeMs: 300, MemoryTokens: modelMemory}
	for _, j := range e.queue {
		r.QueuedPromptTokens += j.left
		r.QueuedRequests++
		r.Requests = append(r.Requests, j.id)
	}
	return r
}

// fleet simulates instances that share a set of engines, in virtual time.
type fleet struct {
	instances []*Scheduler
	engines   map[string]*fakeEngine
	list      []Upstream
}

func newFleet(ctx context.Context, instances, engineCount int, algorithm string) *fleet {
	f := &fleet{engines: map[string]*fakeEngine{}, list: engines(engineCount)}
	for _, u := range f.list {
		f.engines[u.ID] = newFakeEngine(ctx)
	}
	for i := range instances {
		s := New(Options{Instance: fmt.Sprint(i), Seed: uint64(i)})
		s.SetUpstreams(f.list)
		s.SetPolicy(catalogue.PolicySpec{Algorithm: algorithm, ShortWeight: 0.5})
		f.instances = append(f.instances, s)
	}
	go f.gossip(ctx)
	return f
}

// gossip sends hints every 200 ms and load reports, 300 ms old, every 400 ms.
func (f *fleet) gossip(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		reports := map[string]upstream.LoadReport{}
		for id, e := range f.engines {
			reports[id] = e.report()
		}
		time.Sleep(200 * time.Millisecond)
		for i, from := range f.instances {
			hint := from.PeerHint()
			for j, to := range f.instances {
				if i != j {
					to.ObservePeerHint(fmt.Sprint(i), hint)
				}
			}
			for _, u := range f.list {
				if round%2 == 0 {
					from.ObserveLoad(u.ID, reports[u.ID])
				}
			}
		}
	}
}

// callStats counts the results that callers got. offeredTokens counts the prompt
// tokens of all requests, goodTokens those of the answers that were completed in
// time, between from and to, and late the admitted requests that were not finished
// in time.
type callStats struct {
	mu                              sync.Mutex
	from, to                        time.Time
	offeredTokens, goodTokens, late int
	refused                         map[result.Code]int
	// shortFirst holds the times to the first token of short requests, in
	// seconds.
	shortFirst []float64
}

// call runs one request as the dispatcher does, with one attempt.
func (f *fleet) call(ctx context.Context, s *Scheduler, r *Request, stats *callStats) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	start := time.Now()
	g, refusal := s.Acquire(ctx, r)
	if refusal != nil {
		stats.count(func() { stats.refused[refusal.Code]++ })
		return
	}
	g.Sent()
	j := f.engines[g.Upstream().ID].submit(ctx, r.ID, r.PromptTokens, g.Priority())
	select {
	case <-j.first:
	case <-ctx.Done():
	}
	first := time.Since(start).Seconds()
	if ctx.Err() == nil {
		g.FirstToken()
		time.Sleep(time.Duration(r.OutputTokens) * 20 * time.Millisecond)
	}
	if ctx.Err() != nil {
		stats.count(func() { stats.late++ })
		g.Done(Cancelled)
		return
	}
	g.Progress(r.OutputTokens)
	g.Done(Completed)
	stats.count(func() {
		if r.PromptTokens <= defaultShortTokens {
			stats.shortFirst = append(stats.shortFirst, first)
		}
		if now := time.Now(); now.After(stats.from) && now.Before(stats.to) {
			stats.goodTokens += r.PromptTokens
		}
	})
}

// count changes the counters under the lock.
func (c *callStats) count(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// offerLoad offers load times the engines' capacity for 100 s of virtual time and
// returns the counters.
func offerLoad(t *testing.T, algorithm string, load float64, prepare func(*fleet)) *callStats {
	const instances, engineCount, seconds, meanTokens = 3, 5, 100, 9_000
	counts := &callStats{refused: map[result.Code]int{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, instances, engineCount, algorithm)
		if prepare != nil {
			prepare(f)
		}
		random := rand.New(rand.NewPCG(5, 6))
		perSecond := load * engineCount * modelRate / meanTokens
		begin := time.Now()
		counts.from, counts.to = begin.Add(30*time.Second), begin.Add(seconds*time.Second)
		for time.Since(begin) < seconds*time.Second {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			r := request(int(1000 * math.Pow(3, random.Float64())))
			r.Deadline = time.Now().Add(20 * time.Second)
			r.Workspace = fmt.Sprint(random.IntN(4))
			if random.IntN(8) == 0 {
				r.PromptTokens = int(20_000 * math.Pow(7, random.Float64()))
				r.Deadline = time.Now().Add(60 * time.Second)
			}
			counts.offeredTokens += r.PromptTokens
			s := f.instances[random.IntN(instances)]
			go f.call(ctx, s, r, counts)
			synctest.Wait()
		}
		time.Sleep(70 * time.Second)
		cancel()
		time.Sleep(time.Second)
	})
	slices.Sort(counts.shortFirst)
	return counts
}

func (c *callStats) String() string {
	return fmt.Sprintf("offered %8d, good %8d tokens, late %4d requests, refused %v, short first token p50 %.2f p95 %.2f s",
		c.offeredTokens, c.goodTokens, c.late, c.refused, quantile(c.shortFirst, 0.5), quantile(c.shortFirst, 0.95))
}

// TestNoCollapseUnderOverload checks that at up to 1.5 of capacity the work finished
// in time stays near its maximum, that admitted requests finish in time, and that
// most refusals need no wait.
func TestNoCollapseUnderOverload(t *testing.T) {
	best, last := 0, 0
	for _, load := range []float64{0.5, 0.8, 1.0, 1.5} {
		c := offerLoad(t, AlgorithmBanyan, load, nil)
		t.Logf("load %.1f: %s", load, c)
		if c.late > 0 {
			t.Errorf("%d admitted requests were not finished in time at load %.1f", c.late, load)
		}
		if n := c.refused[result.QueueTimeout]; n > c.refused[result.DeadlineUnmeetable]/5 {
			t.Errorf("%d refusals came after a wait in the queue, want most immediately", n)
		}
		best, last = max(best, c.goodTokens), c.goodTokens
	}
	if float64(last) < 0.95*float64(best) {
		t.Errorf("%d tokens finished in time at load 1.5, at most %d at any load", last, best)
	}
	baseline := offerLoad(t, AlgorithmRoundRobin, 1.5, nil)
	t.Logf("round robin, load 1.5: %s", baseline)
	if float64(last) < 0.95*float64(baseline.goodTokens) || baseline.late == 0 {
		t.Error("round robin finished more tokens in time, or finished all requests in time and so was not overloaded")
	}
}

// TestSlowEngineGetsLessTraffic checks that an engine which is eight times slower
// without any error hardly delays requests.
func TestSlowEngineGetsLessTraffic(t *testing.T) {
	slowDown := func(f *fleet) { f.engines["e00"].slow = 8 }
	healthy, degraded := offerLoad(t, AlgorithmBanyan, 0.5, nil), offerLoad(t, AlgorithmBanyan, 0.5, slowDown)
	baseline := offerLoad(t, AlgorithmLeastRequests, 0.5, slowDown)
	t.Logf("all engines healthy: %s", healthy)
	t.Logf("one engine slow: %s", degraded)
	t.Logf("one engine slow, least requests: %s", baseline)
	if p95 := quantile(degraded.shortFirst, 0.95); p95 > 2*quantile(healthy.shortFirst, 0.95) || degraded.late > 0 {
		t.Errorf("with a slow engine p95 is %.2f s and %d requests were late", p95, degraded.late)
	}
}
