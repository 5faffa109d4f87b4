package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
)

func contender(table platform.Table, name string) *Lease {
	return New(table, Options{Name: "group", Holder: name})
}

func acquire(t *testing.T, l *Lease, want bool) {
	t.Helper()
	got, err := l.Acquire(t.Context())
	if err != nil || got != want {
		t.Fatalf("Acquire of %s: %v, %v; want %v", l.options.Holder, got, err, want)
	}
}

// TestTakeoverOnlyAfterExpiry checks that a contender takes a lease over only after
// its expiry or release, that the former holder then sees it as expired, and that
// the fencing token increases.
func TestTakeoverOnlyAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		a, b := contender(store, "a"), contender(store, "b")
		acquire(t, a, true)
		acquire(t, b, false)
		time.Sleep(defaultDuration - time.Second)
		acquire(t, b, false)
		time.Sleep(2 * time.Second)
		if a.Valid(time.Now()) {
			t.Fatal("an expired lease is valid for its holder")
		}
		acquire(t, b, true)
		if b.Fence() <= a.Fence() {
			t.Fatalf("fencing token %d after %d", b.Fence(), a.Fence())
		}
		acquire(t, a, false)
		if err := b.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		acquire(t, a, true)
	})
}

// TestValidityCountsFromBeforeTheRequest checks that the time that the table takes
// for a write does not lengthen the validity of the lease.
func TestValidityCountsFromBeforeTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		a := contender(store, "a")
		store.SetFaults(memstore.Faults{Delay: 4 * time.Second})
		acquire(t, a, true)
		time.Sleep(defaultDuration - a.margin() - 4*time.Second)
		if a.Valid(time.Now()) {
			t.Fatal("still valid after the duration less the margin, counted from the start of the request")
		}
	})
}

// pausingTable is the table of a contender whose process is paused at random before
// and after calls.
type pausingTable struct {
	platform.Table
	rng *rand.Rand
}

func (p pausingTable) maybePause() {
	if p.rng.IntN(20) == 0 {
		time.Sleep(time.Duration(p.rng.Int64N(int64(3 * defaultDuration))))
	}
}

func (p pausingTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	p.maybePause()
	defer p.maybePause()
	return p.Table.Read(ctx, keys...)
}

func (p pausingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	p.maybePause()
	defer p.maybePause()
	return p.Table.Commit(ctx, txn)
}

// injectFaults changes the store's faults at random until ctx ends.
func injectFaults(ctx context.Context, store *memstore.Store, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Second))))
		var f memstore.Faults
		switch rng.IntN(5) {
		case 0:
			f.Down = true
		case 1:
			f.Delay = time.Duration(rng.Int64N(int64(6 * time.Second)))
		case 2:
			f.LoseAnswers = 5
		case 3:
			f.LoseWrites = 5
		}
		store.SetFaults(f)
	}
}

// TestOneValidHolderUnderFaults checks that at no time two contenders hold a valid
// lease, and that fencing tokens never decrease, while processes are paused and the
// store fails at random.
func TestOneValidHolderUnderFaults(t *testing.T) {
	const contenders, length = 3, 20 * time.Minute
	held, changes := 0, uint64(0)
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := memstore.New()
			var leases []*Lease
			var wg sync.WaitGroup
			for i := range contenders {
				l := contender(pausingTable{store, rand.New(rand.NewPCG(seed, uint64(i)))}, string(rune('a'+i)))
				leases = append(leases, l)
				wg.Go(func() { _ = l.Run(ctx) })
			}
			wg.Go(func() { injectFaults(ctx, store, rand.New(rand.NewPCG(seed, 99))) })
			fence := uint64(0)
			for start := time.Now(); time.Since(start) < length; time.Sleep(100 * time.Millisecond) {
				valid := 0
				for _, l := range leases {
					if !l.Valid(time.Now()) {
						continue
					}
					valid++
					held++
					if l.Fence() < fence {
						t.Fatalf("seed %d: fencing token %d after %d", seed, l.Fence(), fence)
					}
					changes += l.Fence() - fence
					fence = l.Fence()
				}
				if valid > 1 {
					t.Fatalf("seed %d: %d valid holders", seed, valid)
				}
			}
			cancel()
			wg.Wait()
		})
	}
	t.Logf("10 schedules of %v: %d changes of holder, held %.0f %% of the time",
		length, changes, float64(held)/10/length.Seconds()*10)
}
