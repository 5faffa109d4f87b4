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

// rapidSeed makes the generated schedules the same in each run.
const rapidSeed = "7"

func TestMain(m *testing.M) {
	_ = logging.Setup(io.Discard, "error")
	_ = flag.Set("rapid.seed", rapidSeed) // the command line overrides it
	goleak.VerifyTestMain(m)
}

// detectionDelay is the time after which a membership change becomes visible.
const detectionDelay = 8 * time.Second

// delayedBus returns the members as they were detectionDelay ago, as an overlay
// does until it detects that instances are gone.
type delayedBus struct {
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
func (b *delayedBus) Members() []peer.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, members := time.Now(), b.Node.Members()
	b.history = append(b.history, viewAt{now, members})
	for len(b.history) > 1 && now.Sub(b.history[1].at) >= detectionDelay {
		b.history = b.history[1:]
	}
	return b.history[0].members
}

// instance is one limiter of a test fleet.
type instance struct {
	*Limiter
	stop    context.CancelFunc
	stopped chan struct{}
	// rate is the demand in requests per second, due the number of requests
	// that are due but not made yet.
	rate, due float64
}

const testWorkspace = "flight-school"

// testFleet drives limiters at a steady rate and counts admissions.
type testFleet struct {
	net       *peertest.Net
	limits    catalogue.Limits
	instances map[string]*instance
	starts    uint64
	listed    atomic.Int64
	// admitted is the number of admissions per step.
	admitted []int
	// requestDuration is how long each request runs.
	requestDuration time.Duration
	inFlight        atomic.Int64
	peak            int64
}

const step = 20 * time.Millisecond

func newTestFleet(limits catalogue.Limits) *testFleet {
	return &testFleet{net: peertest.NewNet(time.Millisecond), limits: limits, instances: map[string]*instance{}}
}

func (f *testFleet) start(id string, rate float64) {
	f.starts++
	bus := &delayedBus{Node: f.net.Join(peer.Member{ID: id, Incarnation: f.starts})}
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

func (f *testFleet) startFleet(n int, rate float64) {
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
	time.Sleep(f.requestDuration + time.Second)
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
			count += f.makeDue(f.instances[id])
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

// makeDue makes the requests of one instance that are due.
func (f *testFleet) makeDue(in *instance) int {
	admitted := 0
	for in.due += in.rate * step.Seconds(); in.due >= 1; in.due-- {
		permit, refusal := in.Take(testWorkspace, 1)
		if refusal != nil {
			continue
		}
		admitted++
		if f.requestDuration == 0 {
			permit.Done(1)
			continue
		}
		f.peak = max(f.peak, f.inFlight.Add(1))
		time.AfterFunc(f.requestDuration, func() {
			f.inFlight.Add(-1)
			permit.Done(1)
		})
	}
	return admitted
}

// overshoot returns the maximum number of admissions above the limit over all
// intervals of any length within the given part of the run.
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
	// settleTime covers the time in which a new owner grants only a part of the
	// limit.
	settleTime = 70 * time.Second
	// burstBound is the maximum that the buckets hold together: one second of
	// the limit and one request per instance.
	burstBound = testLimit + testSize
)

func rateLimits() catalogue.Limits { return catalogue.Limits{RequestsPerSecond: testLimit} }

// TestLimitHoldsForTheFleet checks that the admissions of all instances together
// reach the limit and do not exceed it when each has as much demand as the limit.
func TestLimitHoldsForTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startFleet(testSize, 100)
		f.run(settleTime)
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

// TestSharesFollowDemand checks that the limit can be used at another instance 8 s
// after the demand moved there.
func TestSharesFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startFleet(testSize, 0)
		f.instances["i0"].rate = 150
		f.run(settleTime)
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

// TestOvershootDuringPartition checks the bound on overshoot while two parts of the
// fleet cannot see each other and each owner grants in proportion to the instances
// that it sees.
func TestOvershootDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startFleet(testSize, 100)
		f.run(settleTime)
		partitionedAt := f.elapsed()
		f.setPartition(true)
		f.run(time.Minute)
		f.setPartition(false)
		f.run(time.Minute)
		transient := f.overshoot(testLimit, partitionedAt, f.elapsed())
		// Until the larger side detects the partition it still grants the full
		// limit, while the smaller side uses its fallback.
		bound := testLimit*(detectionDelay+shortLeaseTTL).Seconds()*3/testSize + burstBound
		t.Logf("overshoot from the partition until it has healed: %.0f requests, bound %.0f", transient, bound)
		if transient > bound {
			t.Errorf("overshoot %.0f above the bound of %.0f", transient, bound)
		}
		settled := f.overshoot(testLimit, partitionedAt+detectionDelay+shortLeaseTTL+2*time.Second, partitionedAt+time.Minute)
		t.Logf("after it was detected: %.0f", settled)
		if settled > burstBound {
			t.Errorf("overshoot %.0f after the partition was detected, bound %.0f", settled, burstBound)
		}
	})
}

// TestPartitionedInstanceFallsBack checks that an instance that cannot reach the
// owner stops using its lease when it expires and uses its fallback from then on.
func TestPartitionedInstanceFallsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startFleet(testSize, 0)
		fl := newFleet("")
		fl.update(f.instances["i0"].bus.Members(), time.Now())
		owner := fl.owner(workspaceHash(testWorkspace))
		id := "i0"
		if owner == id {
			id = "i1"
		}
		f.instances[id].rate = 150
		f.run(settleTime)
		before := f.run(5 * time.Second)
		for _, other := range f.ids() {
			f.net.SetLinkBroken(id, other, other != id)
		}
		f.run(shortLeaseTTL + time.Second)
		after := f.run(10 * time.Second)
		t.Logf("%.1f/s with a lease, %.1f/s without", before, after)
		if before < testLimit*0.85 || after > testLimit/testSize*1.1 {
			t.Errorf("%.1f/s with a lease, %.1f/s without", before, after)
		}
	})
}

// TestOwnerChangeStaysWithinBound checks that the unexpired leases of all instances
// together stay within 1+longLeaseFraction of the limit after a change of the
// owner: a new owner knows the leases of the previous one only from renewals.
func TestOwnerChangeStaysWithinBound(t *testing.T) {
	const instances = 8
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		limits := budget{total: share{Requests: 100}, fallback: share{Requests: 100.0 / instances}}
		old := newAccount(now.Add(-time.Hour))
		held := map[string]share{}
		until := map[string]time.Time{}
		renew := func(a *account) {
			from := fmt.Sprint(rapid.IntRange(0, instances-1).Draw(t, "from"))
			req := leaseRequest{Demand: share{Requests: rapid.Float64Range(0, 200).Draw(t, "demand")}}
			if left := until[from].Sub(now); left > 0 {
				req.Held, req.LeftMillis = held[from], left.Milliseconds()
			}
			g := a.grantLease(from, req, limits, now)
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
			if sum > 100*(1+longLeaseFraction)+1e-6 {
				t.Fatalf("instances hold %.1f of 100", sum)
			}
			advance()
		}
	})
}

func (f *testFleet) setPartition(partitioned bool) {
	for i := range testSize {
		for j := range testSize {
			if i < 4 && j >= 4 {
				f.net.SetLinkBroken(fmt.Sprint("i", i), fmt.Sprint("i", j), partitioned)
			}
		}
	}
}

// TestOwnerCrash checks that a crash of the owner causes no overshoot and that the
// limit can be used again under the next owner.
func TestOwnerCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(rateLimits())
		defer f.stopAll()
		f.startFleet(testSize, 100)
		f.run(settleTime)
		fl := newFleet("")
		fl.update(f.instances["i0"].bus.Members(), time.Now())
		f.kill(fl.owner(workspaceHash(testWorkspace)))
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

// TestConcurrencyLimitHoldsForTheFleet checks that the limit of requests in flight
// is nearly reached and never exceeded, also after the demand moved.
func TestConcurrencyLimitHoldsForTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(catalogue.Limits{Concurrent: 20})
		defer f.stopAll()
		f.startFleet(testSize, 0)
		f.requestDuration = 500 * time.Millisecond
		f.instances["i0"].rate, f.instances["i1"].rate = 100, 50
		f.run(settleTime)
		f.peak = 0
		running := f.run(20*time.Second) * f.requestDuration.Seconds()
		f.instances["i0"].rate, f.instances["i4"].rate = 0, 100
		f.run(20 * time.Second)
		t.Logf("%.1f requests in flight on average, %d at the peak, of 20", running, f.peak)
		if f.peak > 20 || running < 15 {
			t.Errorf("%.1f requests in flight on average, %d at the peak, limit 20", running, f.peak)
		}
	})
}

// TestRefusalCarriesRetryAfter checks the code, the execution state and the time to
// retry after of a refused request.
func TestRefusalCarriesRetryAfter(t *testing.T) {
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

// TestDoneCorrectsEstimate checks that Done returns the tokens of an estimate that
// was too high, and that a second call has no effect.
func TestDoneCorrectsEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(peertest.NewNet(0).Join(peer.Member{ID: "a"}), Options{})
		l.SetLimits(map[string]catalogue.Limits{testWorkspace: {TokensPerSecond: 1000}})
		permit, err := l.Take(testWorkspace, 5000)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.Take(testWorkspace, 1); err == nil {
			t.Fatal("admitted in spite of a negative balance of tokens")
		}
		permit.Done(100)
		permit.Done(100)
		if _, err := l.Take(testWorkspace, 900); err != nil {
			t.Fatalf("after the correction: %v", err)
		}
	})
}

// TestAccountNeverGrantsMoreThanBudget checks that the leases of an account never
// exceed the budget, whatever the instances request.
func TestAccountNeverGrantsMoreThanBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second)
		a := newAccount(start)
		all := share{Requests: 100, Tokens: 1e5, Slots: 10}
		limits := budget{total: all, fallback: all.times(0.1)}
		for range rapid.IntRange(1, 60).Draw(t, "count") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			from := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "from"))
			demand := share{
				Requests: rapid.Float64Range(0, 300).Draw(t, "requests"),
				Tokens:   rapid.Float64Range(0, 3e5).Draw(t, "tokens"),
				Slots:    float64(rapid.IntRange(0, 30).Draw(t, "slots")),
			}
			req := leaseRequest{Demand: demand, Release: rapid.IntRange(0, 9).Draw(t, "release") == 0}
			a.grantLease(from, req, limits, now)
			a.expire(now)
			if sum := a.granted(""); !sum.fits(limits.total.times(1.000001)) {
				t.Fatalf("granted %+v of %+v", sum, limits.total)
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

// BenchmarkGrantLease measures the owner's side of one renewal with 410 holders.
func BenchmarkGrantLease(b *testing.B) {
	a := newAccount(time.Time{})
	all := share{Requests: 100, Tokens: 1e5, Slots: 1000}
	now := time.Unix(1000, 0)
	var ids []string
	for i := range 410 {
		ids = append(ids, fmt.Sprint("i", i))
	}
	for i := 0; b.Loop(); i++ {
		req := leaseRequest{Demand: share{Requests: 1, Tokens: 1000, Slots: 1}}
		a.grantLease(ids[i%410], req, budget{total: all, fallback: all.times(1.0 / 410)}, now)
	}
}
