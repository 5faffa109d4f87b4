package order

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/lease"
	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

func TestMain(m *testing.M) {
	_ = logging.Setup(io.Discard, "error")
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Times of the fake engines and processes.
const (
	// loadTime is how long an engine loads a model.
	loadTime = 40 * time.Second
	// maxFreeze bounds how long a process is frozen.
	maxFreeze = 2 * time.Minute
)

// process is one instance with its access to the table and the engines, which
// blocks while the process is frozen.
type process struct {
	platform.Table
	*fakeEngines
	lease       *lease.Lease
	frozenUntil time.Time
}

func (p *process) waitUnfrozen() {
	p.mu.Lock()
	d := time.Until(p.frozenUntil)
	p.mu.Unlock()
	time.Sleep(d)
}

func (p *process) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	p.waitUnfrozen()
	defer p.waitUnfrozen()
	return p.Table.Read(ctx, keys...)
}

func (p *process) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	p.waitUnfrozen()
	defer p.waitUnfrozen()
	return p.Table.Commit(ctx, txn)
}

// Order may freeze the process between its last check of the lease and the
// sending of the order, so that the order arrives after the lease has expired.
func (p *process) Order(_ context.Context, e Engine, o upstream.Order) error {
	token, ok := p.lease.Held(time.Now())
	p.mu.Lock()
	if !ok {
		p.unleased++
	}
	if p.freezes && p.rng.IntN(6) == 0 {
		p.frozenUntil = time.Now().Add(time.Duration(p.rng.Int64N(int64(maxFreeze))))
	}
	p.mu.Unlock()
	p.waitUnfrozen()
	return p.deliver(e, o, token)
}

// testGroup is a group of fake engines and the controllers of its instances.
type testGroup struct {
	mu       sync.Mutex
	declared Declared
	engines  *fakeEngines
	store    *memstore.Store
	// running holds the goroutines of the instances.
	running sync.WaitGroup
}

// newTestGroup returns a group with the given number of engines, which honour
// fencing tokens if fencing is set.
func newTestGroup(seed uint64, engines int, fencing bool) *testGroup {
	f := &fakeEngines{rng: rand.New(rand.NewPCG(seed, 5)), state: map[string]*upstream.ObservedState{},
		fencing: map[string]bool{}, newest: map[string]uint64{}, key: []byte("key")}
	g := &testGroup{engines: f, store: memstore.New()}
	for i := range engines {
		e := Engine{ID: fmt.Sprint("e", i), Models: []string{"a", "b"}, Fencing: fencing, ChecksIssuer: i%2 == 0}
		g.declared.Engines = append(g.declared.Engines, e)
		f.state[e.ID] = &upstream.ObservedState{Boot: "1", Role: upstream.RoleMixed}
		f.fencing[e.ID] = fencing
	}
	g.declare("1", 2)
	return g
}

// declare changes the declared state: the version of model a and the number of
// engines of model b.
func (g *testGroup) declare(version string, enginesOfB int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.declared.Models = []Model{
		{Name: "a", Version: version, Adapters: []string{"x"}, Min: 1, Max: len(g.declared.Engines)},
		{Name: "b", Version: "1", Min: enginesOfB, Max: enginesOfB},
	}
}

func (g *testGroup) current() Declared {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.declared
}

// start runs one instance's lease and controller.
func (g *testGroup) start(ctx context.Context, name string) {
	p := &process{Table: g.store, fakeEngines: g.engines}
	l := lease.New(p, lease.Options{Name: "orders/g", Holder: name})
	p.lease = l
	c := New(Options{Group: "g", Instance: name, Lease: l, Engines: p, Declared: g.current,
		Demand: func() map[string]Demand { return nil }, Key: g.engines.key,
		LoadLimiter: WeightLoadLimiter{Table: g.store, Interval: 5 * time.Second, Burst: 4}})
	g.running.Go(func() { _ = l.Run(ctx) })
	g.running.Go(func() { _ = c.Run(ctx) })
}

// missing returns the number of orders that are still needed, or 1 if an engine is
// loading.
func (g *testGroup) missing(t *testing.T) int {
	t.Helper()
	observed := map[string]upstream.ObservedState{}
	for _, e := range g.declared.Engines {
		o, _ := g.engines.Observe(t.Context(), e)
		observed[e.ID] = o
		for _, m := range o.Models {
			if m.Loading {
				return 1
			}
		}
	}
	return len(Plan(g.current(), observed, nil))
}

// waitDeclared waits until the declared state is reached and returns how long it
// took; it fails after an hour.
func (g *testGroup) waitDeclared(t *testing.T) time.Duration {
	t.Helper()
	start := time.Now()
	for g.missing(t) > 0 {
		if time.Since(start) > time.Hour {
			t.Fatal("the declared state is not reached within an hour")
		}
		time.Sleep(time.Second)
	}
	return time.Since(start)
}

// TestDeclaredStateIsReachedUnderFaults checks that, under random schedules of
// frozen lease holders, engine restarts, table faults and lost or late orders, the
// declared state is reached and persists, no order is sent without a valid lease,
// and engines that honour fencing tokens execute no stale order.
func TestDeclaredStateIsReachedUnderFaults(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		stale, orders, schedules := 0, 0, 20
		var longest time.Duration
		for seed := range uint64(schedules) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 11))
				g := newTestGroup(seed, 8, fencing)
				g.engines.freezes = true
				ctx, cancel := context.WithCancel(t.Context())
				for _, name := range []string{"i", "j", "k"} {
					g.start(ctx, name)
				}
				for range 20 {
					time.Sleep(time.Duration(rng.Int64N(int64(time.Minute))))
					switch rng.IntN(5) {
					case 0:
						g.declare(fmt.Sprint(rng.IntN(3)), 1+rng.IntN(3))
					case 1:
						g.engines.restart(fmt.Sprint("e", rng.IntN(8)))
					case 2:
						g.store.SetFaults(memstore.Faults{Down: true})
					case 3:
						g.store.SetFaults(memstore.Faults{LoseAnswers: 4, Delay: time.Second})
					case 4:
						g.store.SetFaults(memstore.Faults{})
					}
				}
				g.store.SetFaults(memstore.Faults{})
				g.engines.mu.Lock()
				g.engines.freezes = false
				g.engines.mu.Unlock()
				time.Sleep(maxFreeze)
				longest = max(longest, g.waitDeclared(t))
				_, before, _ := g.engines.counts()
				time.Sleep(10 * time.Minute)
				_, after, late := g.engines.counts()
				if more := after - before; more != 0 || g.missing(t) != 0 {
					t.Errorf("seed %d: %d orders after the declared state was reached", seed, more)
				}
				stale += late
				orders += after
				if g.engines.unleased > 0 {
					t.Errorf("seed %d: %d orders without a valid lease", seed, g.engines.unleased)
				}
				cancel()
				g.running.Wait()
				time.Sleep(maxFreeze)
			})
		}
		t.Logf("fencing %v: %d schedules, %d orders executed, %d of them with an older token, declared state within %v",
			fencing, schedules, orders, stale, longest)
		if fencing && stale > 0 {
			t.Errorf("%d stale orders on engines that honour tokens", stale)
		}
	}
}

// TestNewHolderWaitsIfTokensAreIgnored checks that a new lease holder sends no
// order within orderTimeout to engines that ignore fencing tokens, since an order
// of its predecessor may be in flight, and does send to engines that honour them.
func TestNewHolderWaitsIfTokensAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fencing := range []bool{true, false} {
			g := newTestGroup(1, 4, fencing)
			ctx, cancel := context.WithCancel(t.Context())
			g.start(ctx, "i")
			time.Sleep(orderTimeout)
			if early, _, _ := g.engines.counts(); (early > 0) != fencing {
				t.Errorf("fencing %v: %d orders within orderTimeout after the lease was acquired", fencing, early)
			}
			g.waitDeclared(t)
			cancel()
			g.running.Wait()
			time.Sleep(maxFreeze)
		}
	})
}

// TestRolloutKeepsEnginesServing checks that during the rollout of a new version
// few of the engines load at a time and the others serve.
func TestRolloutKeepsEnginesServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(1, 8, true)
		ctx, cancel := context.WithCancel(t.Context())
		g.start(ctx, "i")
		g.waitDeclared(t)
		g.declare("2", 2)
		minServing, maxLoading, start := 8, 0, time.Now()
		for g.missing(t) > 0 {
			serving, loading := 0, 0
			for _, e := range g.declared.Engines {
				o, _ := g.engines.Observe(ctx, e)
				for _, m := range o.Models {
					if m.Loading {
						loading++
					}
				}
				if countByModel(map[string]upstream.ObservedState{"": o})["a"] > 0 && !o.Models[0].Loading {
					serving++
				}
			}
			minServing, maxLoading = min(minServing, serving), max(maxLoading, loading)
			time.Sleep(time.Second)
		}
		t.Logf("a new version on 6 engines took %v; at least %d served, at most %d loaded", time.Since(start), minServing, maxLoading)
		if minServing < 6 || maxLoading > 2 {
			t.Errorf("%d engines served and %d loaded", minServing, maxLoading)
		}
		cancel()
		g.running.Wait()
		time.Sleep(maxFreeze)
	})
}

// TestWeightLoadLimiterIsShared checks that concurrent users of one row stay within the
// common rate and burst, also when answers of the table are lost.
func TestWeightLoadLimiterIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		limiter := WeightLoadLimiter{Table: store, Interval: 10 * time.Second, Burst: 3}
		var mu sync.Mutex
		loads := 0
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		for range 5 {
			go func() {
				for ctx.Err() == nil {
					wait, err := limiter.Take(ctx)
					if err == nil && wait == 0 {
						mu.Lock()
						loads++
						mu.Unlock()
					}
					time.Sleep(max(wait, 100*time.Millisecond))
				}
			}()
		}
		store.SetFaults(memstore.Faults{LoseAnswers: 20, Delay: 50 * time.Millisecond})
		<-ctx.Done()
		time.Sleep(time.Minute)
		if loads < 50 || loads > 63 {
			t.Fatalf("%d loads in 10 min at one per 10 s and a burst of 3", loads)
		}
	})
}
