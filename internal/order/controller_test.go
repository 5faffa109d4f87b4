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

// Times of the fake engines.
const (
	loadTime    = 40 * time.Second
	longestWait = 2 * time.Minute
)

// process is one instance: its link to the table and to the engines, which
// stand still while it is frozen.
type process struct {
	platform.Table
	*fakeEngines
	lease  *lease.Lease
	thawed time.Time
}

func (p *process) wait() {
	p.mu.Lock()
	d := time.Until(p.thawed)
	p.mu.Unlock()
	time.Sleep(d)
}

func (p *process) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	p.wait()
	defer p.wait()
	return p.Table.Read(ctx, keys...)
}

func (p *process) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	p.wait()
	defer p.wait()
	return p.Table.Commit(ctx, txn)
}

// Order may freeze the process after its last check of the lease.
func (p *process) Order(_ context.Context, e Engine, o upstream.Order) error {
	token, ok := p.lease.Held(time.Now())
	p.mu.Lock()
	if !ok {
		p.unleased++
	}
	if p.freezes && p.rng.IntN(6) == 0 {
		p.thawed = time.Now().Add(time.Duration(p.rng.Int64N(int64(longestWait))))
	}
	p.mu.Unlock()
	p.wait()
	return p.deliver(e, o, token)
}

// bench is a group of engines and its controllers.
type bench struct {
	mu       sync.Mutex
	declared Declared
	engines  *fakeEngines
	store    *memstore.Store
	// running are the instances' actors.
	running sync.WaitGroup
}

func newBench(seed uint64, engines int, fencing bool) *bench {
	f := &fakeEngines{rng: rand.New(rand.NewPCG(seed, 5)), state: map[string]*upstream.Observed{},
		fencing: map[string]bool{}, newest: map[string]uint64{}, key: []byte("key")}
	b := &bench{engines: f, store: memstore.New()}
	for i := range engines {
		e := Engine{ID: fmt.Sprint("e", i), Models: []string{"a", "b"}, Fencing: fencing, ChecksIssuer: i%2 == 0}
		b.declared.Engines = append(b.declared.Engines, e)
		f.state[e.ID] = &upstream.Observed{Boot: "1", Role: upstream.RoleMixed}
		f.fencing[e.ID] = fencing
	}
	b.declare("1", 2)
	return b
}

// declare changes the catalogue.
func (b *bench) declare(version string, leastB int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.declared.Models = []Model{
		{Name: "a", Version: version, Adapters: []string{"x"}, Min: 1, Max: len(b.declared.Engines)},
		{Name: "b", Version: "1", Min: leastB, Max: leastB},
	}
}

func (b *bench) current() Declared {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.declared
}

// start runs one instance's lease and controller.
func (b *bench) start(ctx context.Context, name string) {
	p := &process{Table: b.store, fakeEngines: b.engines}
	l := lease.New(p, lease.Options{Name: "orders/g", Holder: name})
	p.lease = l
	c := New(Options{Group: "g", Instance: name, Lease: l, Engines: p, Declared: b.current,
		Demand: func() map[string]Demand { return nil }, Key: b.engines.key,
		Loads: WeightRate{Table: b.store, Interval: 5 * time.Second, Burst: 4}})
	b.running.Go(func() { _ = l.Run(ctx) })
	b.running.Go(func() { _ = c.Run(ctx) })
}

// missing returns the number of orders that the present state still needs.
func (b *bench) missing(t *testing.T) int {
	t.Helper()
	observed := map[string]upstream.Observed{}
	for _, e := range b.declared.Engines {
		o, _ := b.engines.Observe(t.Context(), e)
		observed[e.ID] = o
		for _, m := range o.Models {
			if m.Loading {
				return 1
			}
		}
	}
	return len(Plan(b.current(), observed, nil))
}

// settle waits until the declared state is reached and returns how long it
// took; it fails after an hour.
func (b *bench) settle(t *testing.T) time.Duration {
	t.Helper()
	start := time.Now()
	for b.missing(t) > 0 {
		if time.Since(start) > time.Hour {
			t.Fatal("the declared state is not reached within an hour")
		}
		time.Sleep(time.Second)
	}
	return time.Since(start)
}

func TestDeclaredStateIsReachedUnderFaults(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		stale, orders, schedules := 0, 0, 20
		var longest time.Duration
		for seed := range uint64(schedules) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 11))
				b := newBench(seed, 8, fencing)
				b.engines.freezes = true
				ctx, cancel := context.WithCancel(t.Context())
				for _, name := range []string{"i", "j", "k"} {
					b.start(ctx, name)
				}
				for range 20 {
					time.Sleep(time.Duration(rng.Int64N(int64(time.Minute))))
					switch rng.IntN(5) {
					case 0:
						b.declare(fmt.Sprint(rng.IntN(3)), 1+rng.IntN(3))
					case 1:
						b.engines.restart(fmt.Sprint("e", rng.IntN(8)))
					case 2:
						b.store.SetFaults(memstore.Faults{Down: true})
					case 3:
						b.store.SetFaults(memstore.Faults{LoseAnswers: 4, Delay: time.Second})
					case 4:
						b.store.SetFaults(memstore.Faults{})
					}
				}
				b.store.SetFaults(memstore.Faults{})
				b.engines.mu.Lock()
				b.engines.freezes = false
				b.engines.mu.Unlock()
				time.Sleep(longestWait)
				longest = max(longest, b.settle(t))
				_, before, _ := b.engines.counts()
				time.Sleep(10 * time.Minute)
				_, after, late := b.engines.counts()
				if more := after - before; more != 0 || b.missing(t) != 0 {
					t.Errorf("seed %d: %d orders after the declared state was reached", seed, more)
				}
				stale += late
				orders += after
				if b.engines.unleased > 0 {
					t.Errorf("seed %d: %d orders without a valid lease", seed, b.engines.unleased)
				}
				cancel()
				b.running.Wait()
				time.Sleep(longestWait)
			})
		}
		t.Logf("fencing %v: %d schedules, %d orders carried out, %d of them with an older token, declared state within %v",
			fencing, schedules, orders, stale, longest)
		if fencing && stale > 0 {
			t.Errorf("%d stale orders on engines that honour tokens", stale)
		}
	}
}

func TestHandoverIsSpacedWhereTokensAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fencing := range []bool{true, false} {
			b := newBench(1, 4, fencing)
			ctx, cancel := context.WithCancel(t.Context())
			b.start(ctx, "i")
			time.Sleep(orderTimeout)
			if early, _, _ := b.engines.counts(); (early > 0) != fencing {
				t.Errorf("fencing %v: %d orders in the first seconds of a holding", fencing, early)
			}
			b.settle(t)
			cancel()
			b.running.Wait()
			time.Sleep(longestWait)
		}
	})
}

func TestRolloutKeepsEnginesServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, 8, true)
		ctx, cancel := context.WithCancel(t.Context())
		b.start(ctx, "i")
		b.settle(t)
		b.declare("2", 2)
		least, most, start := 8, 0, time.Now()
		for b.missing(t) > 0 {
			serving, loading := 0, 0
			for _, e := range b.declared.Engines {
				o, _ := b.engines.Observe(ctx, e)
				for _, m := range o.Models {
					if m.Loading {
						loading++
					}
				}
				if count(map[string]upstream.Observed{"": o})["a"] > 0 && !o.Models[0].Loading {
					serving++
				}
			}
			least, most = min(least, serving), max(most, loading)
			time.Sleep(time.Second)
		}
		t.Logf("a new version on 6 engines took %v; at least %d served, at most %d loaded", time.Since(start), least, most)
		if least < 6 || most > 2 {
			t.Errorf("%d engines served and %d loaded", least, most)
		}
		cancel()
		b.running.Wait()
		time.Sleep(longestWait)
	})
}

func TestWeightRateIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		rate := WeightRate{Table: store, Interval: 10 * time.Second, Burst: 3}
		var mu sync.Mutex
		loads := 0
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		for range 5 {
			go func() {
				for ctx.Err() == nil {
					wait, err := rate.Take(ctx)
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
