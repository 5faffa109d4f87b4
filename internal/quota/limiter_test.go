package quota

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/result"
)

// rapidSeed makes the drawn schedules the same in each run.
const rapidSeed = "7"

func TestMain(m *testing.M) {
	_ = logging.Setup(io.Discard, "error")
	_ = flag.Set("rapid.seed", rapidSeed) // the command line overrides it
	goleak.VerifyTestMain(m)
}

// detection is the time after which a membership change is seen.
const detection = 8 * time.Second

// lateBus shows the members as they were some time ago, as an overlay does
// until it notices that instances are gone.
type lateBus struct {
	*peertest.Node
	mu      sync.Mutex
	history []viewAt
	calls   atomic.Int64
}

type viewAt struct {
	at      time.Time
	members []peer.Member
}

// Members returns the latest view that is old enough, or the first.
func (b *lateBus) Members() []peer.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, members := time.Now(), b.Node.Members()
	b.history = append(b.history, viewAt{now, members})
	for len(b.history) > 1 && now.Sub(b.history[1].at) >= detection {
		b.history = b.history[1:]
	}
	return b.history[0].members
}

// instance is one limiter of a test fleet.
type instance struct {
	*Limiter
	stop    context.CancelFunc
	stopped chan struct{}
	// rate is the demand in requests per second, due what is still to ask.
	rate, due float64
}

const testWorkspace = "flight-school"

// testFleet drives limiters with a steady demand and counts admissions.
type testFleet struct {
	net       *peertest.Net
	limits    catalogue.Limits
	instances map[string]*instance
	starts    uint64
	listed    atomic.Int64
	// admitted counts per step.
	admitted []int
	// hold is how long each request runs.
	hold     time.Duration
	inFlight atomic.Int64
	peak     int64
}

const step = 20 * time.Millisecond

func newTestFleet(limits catalogue.Limits) *testFleet {
	return &testFleet{net: peertest.NewNet(time.Millisecond), limits: limits, instances: map[string]*instance{}}
}

func (f *testFleet) start(id string, rate float64) {
	f.starts++
	bus := &lateBus{Node: f.net.Join(peer.Member{ID: id, Incarnation: f.starts})}
	l := New(bus, Options{Listed: func() int { return int(f.listed.Load()) }})
	l.SetLimits(map[string]catalogue.Limits{testWorkspace: f.limits})
	in := &instance{Limiter: l, stopped: make(chan struct{}), rate: rate}
	var ctx context.Context
	ctx, in.stop = context.WithCancel(context.Background())
	go func() {
		defer close(in.stopped)
		_ = l.Run(ctx)
	}()
	f.instances[id] = in
	f.listed.Store(int64(len(f.instances)))
}

func (f *testFleet) startAll(n int, rate float64) {
	for i := range n {
		f.net.Join(peer.Member{ID: fmt.Sprint("i", i)}) // all are members from the outset
	}
	for i := range n {
		f.start(fmt.Sprint("i", i), rate)
	}
}

func (f *testFleet) kill(id string) {
	f.net.Leave(id)
	f.instances[id].stop()
	<-f.instances[id].stopped
	delete(f.instances, id)
	f.listed.Store(int64(len(f.instances)))
}

func (f *testFleet) stopAll() {
	for _, id := range f.ids() {
		f.kill(id)
	}
	time.Sleep(f.hold + time.Second)
}

func (f *testFleet) ids() []string {
	var ids []string
	for id := range f.instances {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// run drives the demand for d and returns the admissions per second.
func (f *testFleet) run(d time.Duration) float64 {
	first := len(f.admitted)
	for range int(d / step) {
		count := 0
		for _, id := range f.ids() {
			count += f.ask(f.instances[id])
		}
		f.admitted = append(f.admitted, count)
		time.Sleep(step)
	}
	total := 0
	for _, n := range f.admitted[first:] {
		total += n
	}
	return float64(total) / d.Seconds()
}

// ask makes the requests of one instance that are due.
func (f *testFleet) ask(in *instance) int {
	admitted := 0
	for in.due += in.rate * step.Seconds(); in.due >= 1; in.due-- {
		permit, refusal := in.Take(testWorkspace, 1)
		if refusal != nil {
			continue
		}
		admitted++
		if f.hold == 0 {
			permit.Done(1)
			continue
		}
		f.peak = max(f.peak, f.inFlight.Add(1))
		time.AfterFunc(f.hold, func() {
			f.inFlight.Add(-1)
			permit.Done(1)
		})
	}
	return admitted
}

// overshoot returns the most that was admitted above the limit in any interval
// of the given part of the run, whatever its length.
func (f *testFleet) overshoot(limit float64, from, to time.Duration) float64 {
	excess, worst := 0.0, 0.0
	for _, count := range f.admitted[int(from/step):int(to/step)] {
		excess = max(0, excess+float64(count)-limit*step.Seconds())
		worst = max(worst, excess)
	}
	return worst
}

// elapsed is the length of the run so far.
func (f *testFleet) elapsed() time.Duration { return time.Duration(len(f.admitted)) * step }

const (
	testSize  = 7
	testLimit = 100.0
	// settle covers a new keeper's first, careful time.
	settle = 70 * time.Second
	// burstBound is what buckets hold at most: a second's worth of the limit
	// and one request per instance.
	burstBound = testLimit + testSize
)

func rateLimits() catalogue.Limits { return catalogue.Limits{RequestsPerSecond: testLimit} }

func TestLimitHoldsForTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startAll(testSize, 100)
		f.run(settle)
		got := f.run(time.Minute)
		t.Logf("admitted %.1f/s of %.0f/s, overshoot %.0f", got, testLimit, f.overshoot(testLimit, 0, f.elapsed()))
		if got > testLimit*1.01 || got < testLimit*0.9 {
			t.Errorf("admitted %.1f/s with a limit of %.0f/s", got, testLimit)
		}
		if over := f.overshoot(testLimit, 0, f.elapsed()); over > burstBound {
			t.Errorf("overshoot %.0f above the bound of %.0f", over, burstBound)
		}
	})
}

func TestSharesFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startAll(testSize, 0)
		f.instances["i0"].rate = 150
		f.run(settle)
		before := f.run(10 * time.Second)
		f.instances["i0"].rate, f.instances["i3"].rate = 0, 150
		f.run(8 * time.Second)
		after := f.run(10 * time.Second)
		t.Logf("%.1f/s at one instance, %.1f/s at another 8 s later", before, after)
		if before < testLimit*0.85 || after < testLimit*0.85 {
			t.Errorf("admitted %.1f/s before and %.1f/s after the demand moved", before, after)
		}
	})
}

// While two halves of the fleet cannot see each other, each keeper lends in
// proportion to what it sees.
func TestOvershootWhileCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startAll(testSize, 100)
		f.run(settle)
		cutAt := f.elapsed()
		f.cutHalves(true)
		f.run(time.Minute)
		f.cutHalves(false)
		f.run(time.Minute)
		transient := f.overshoot(testLimit, cutAt, f.elapsed())
		// The smaller side falls back to its part of the limit while the
		// larger still lends all, until it notices.
		bound := testLimit*(detection+shortTTL).Seconds()*3/testSize + burstBound
		t.Logf("overshoot over the cut and the healing: %.0f requests, bound %.0f", transient, bound)
		if transient > bound {
			t.Errorf("overshoot %.0f above the bound of %.0f", transient, bound)
		}
		settled := f.overshoot(testLimit, cutAt+detection+shortTTL+2*time.Second, cutAt+time.Minute)
		t.Logf("after it was noticed: %.0f", settled)
		if settled > burstBound {
			t.Errorf("overshoot %.0f after the cut was noticed, bound %.0f", settled, burstBound)
		}
	})
}

// An instance that cannot reach its keeper stops using its lease when it runs
// out and uses its part of the limit from then on.
func TestCutOffInstanceFallsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startAll(testSize, 0)
		fl := newFleet("")
		fl.update(f.instances["i0"].bus.Members(), time.Now())
		keeper := fl.keeper(hashOf(testWorkspace))
		id := "i0"
		if keeper == id {
			id = "i1"
		}
		f.instances[id].rate = 150
		f.run(settle)
		before := f.run(5 * time.Second)
		for _, other := range f.ids() {
			f.net.Cut(id, other, other != id)
		}
		f.run(shortTTL + time.Second)
		after := f.run(10 * time.Second)
		t.Logf("%.1f/s with a lease, %.1f/s cut off", before, after)
		if before < testLimit*0.85 || after > testLimit/testSize*1.1 {
			t.Errorf("%.1f/s with a lease, %.1f/s cut off", before, after)
		}
	})
}

// Two keepers that follow one another know nothing of each other's leases. What
// all instances hold together stays within the stated bound.
func TestKeeperChangeStaysWithinBound(t *testing.T) {
	const instances = 8
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		funds := capital{all: share{Requests: 100}, fallback: share{Requests: 100.0 / instances}}
		old := newAccount(now.Add(-time.Hour))
		held := map[string]share{}
		until := map[string]time.Time{}
		renew := func(a *account) {
			from := fmt.Sprint(rapid.IntRange(0, instances-1).Draw(t, "from"))
			q := ask{Demand: share{Requests: rapid.Float64Range(0, 200).Draw(t, "demand")}}
			if left := until[from].Sub(now); left > 0 {
				q.Held, q.LeftMillis = held[from], left.Milliseconds()
			}
			g := a.lend(from, q, funds, now)
			if g.TTLMillis > 0 {
				held[from], until[from] = g.Share, now.Add(time.Duration(g.TTLMillis)*time.Millisecond)
			}
		}
		advance := func() {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		for range 20 {
			renew(old)
			advance()
		}
		next := newAccount(now)
		for range 40 {
			renew(next)
			sum := 0.0
			for id, s := range held {
				if until[id].After(now) {
					sum += s.Requests
				}
			}
			if sum > 100*(1+relaxedPart)+1e-6 {
				t.Fatalf("instances hold %.1f of 100", sum)
			}
			advance()
		}
	})
}

func (f *testFleet) cutHalves(cut bool) {
	for i := range testSize {
		for j := range testSize {
			if i < 4 && j >= 4 {
				f.net.Cut(fmt.Sprint("i", i), fmt.Sprint("i", j), cut)
			}
		}
	}
}

func TestKeeperKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startAll(testSize, 100)
		f.run(settle)
		fl := newFleet("")
		fl.update(f.instances["i0"].bus.Members(), time.Now())
		f.kill(fl.keeper(hashOf(testWorkspace)))
		during := f.run(30 * time.Second)
		f.run(20 * time.Second)
		after := f.run(10 * time.Second)
		over := f.overshoot(testLimit, 0, f.elapsed())
		t.Logf("%.1f/s during, %.1f/s after, overshoot %.0f", during, after, over)
		if over > burstBound || after < testLimit*0.75 {
			t.Errorf("overshoot %.0f, then %.1f/s", over, after)
		}
	})
}

func TestConcurrentHoldsForTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(catalogue.Limits{Concurrent: 20})
		defer f.stopAll()
		f.startAll(testSize, 0)
		f.hold = 500 * time.Millisecond
		f.instances["i0"].rate, f.instances["i1"].rate = 100, 50
		f.run(settle)
		f.peak = 0
		running := f.run(20*time.Second) * f.hold.Seconds()
		f.instances["i0"].rate, f.instances["i4"].rate = 0, 100
		f.run(20 * time.Second)
		t.Logf("%.1f requests in flight on average, %d at the peak, of 20", running, f.peak)
		if f.peak > 20 || running < 15 {
			t.Errorf("%.1f requests in flight on average, %d at the peak, limit 20", running, f.peak)
		}
	})
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(peertest.NewNet(0).Join(peer.Member{ID: "a"}), Options{})
		l.SetLimits(map[string]catalogue.Limits{testWorkspace: {RequestsPerSecond: 1}})
		if _, err := l.Take("unlimited", 1<<20); err != nil {
			t.Fatal(err)
		}
		if _, err := l.Take(testWorkspace, 1); err != nil {
			t.Fatal(err)
		}
		_, err := l.Take(testWorkspace, 1)
		if err == nil || err.Code != result.WorkspaceLimit || err.Execution != result.NotRun {
			t.Fatalf("got %v", err)
		}
		if err.RetryAfter < time.Second || err.RetryAfter > 1500*time.Millisecond {
			t.Errorf("retry after %v", err.RetryAfter)
		}
	})
}

func TestDoneCorrectsEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(peertest.NewNet(0).Join(peer.Member{ID: "a"}), Options{})
		l.SetLimits(map[string]catalogue.Limits{testWorkspace: {TokensPerSecond: 1000}})
		permit, err := l.Take(testWorkspace, 5000)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.Take(testWorkspace, 1); err == nil {
			t.Fatal("a debt of tokens must be repaid first")
		}
		permit.Done(100)
		permit.Done(100)
		if _, err := l.Take(testWorkspace, 900); err != nil {
			t.Fatalf("after the correction: %v", err)
		}
	})
}

// The leases of an account never exceed its capital, whatever is asked.
func TestAccountNeverLendsMoreThanCapital(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second)
		a := newAccount(start)
		all := share{Requests: 100, Tokens: 1e5, Slots: 10}
		funds := capital{all: all, fallback: all.times(0.1)}
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			from := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "from"))
			demand := share{
				Requests: rapid.Float64Range(0, 300).Draw(t, "requests"),
				Tokens:   rapid.Float64Range(0, 3e5).Draw(t, "tokens"),
				Slots:    float64(rapid.IntRange(0, 30).Draw(t, "slots")),
			}
			q := ask{Demand: demand, Release: rapid.IntRange(0, 9).Draw(t, "release") == 0}
			a.lend(from, q, funds, now)
			a.expire(now)
			if sum := a.lent(""); !sum.fits(funds.all.times(1.000001)) {
				t.Fatalf("lent %+v of %+v", sum, funds.all)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	l := New(peertest.NewNet(0).Join(peer.Member{ID: "a"}), Options{})
	limits := map[string]catalogue.Limits{}
	for i := range 1100 {
		limits[fmt.Sprint("workspace", i)] = catalogue.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, Concurrent: 1e6}
	}
	l.SetLimits(limits)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if p, err := l.Take("workspace7", 100); err == nil {
				p.Done(100)
			}
		}
	})
}

// BenchmarkLend is the keeper's side of one renewal with 410 holders.
func BenchmarkLend(b *testing.B) {
	a := newAccount(time.Time{})
	all := share{Requests: 100, Tokens: 1e5, Slots: 1000}
	now := time.Unix(1000, 0)
	var ids []string
	for i := range 410 {
		ids = append(ids, fmt.Sprint("i", i))
	}
	for i := 0; b.Loop(); i++ {
		q := ask{Demand: share{Requests: 1, Tokens: 1000, Slots: 1}}
		a.lend(ids[i%410], q, capital{all: all, fallback: all.times(1.0 / 410)}, now)
	}
}
