package ledger

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/peer/peertest"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
)

// FuzzDecodeRecord checks that a record that decodes keeps its state, claim ID
// and answer body when it is encoded and decoded again.
func FuzzDecodeRecord(f *testing.F) {
	seed := record{State: stateFinished, ClaimID: "c", Answer: &Answer{Status: 200, Body: []byte("x")}}
	data, err := seed.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := decodeRecord(data)
		if err != nil {
			return
		}
		again, err := rec.encode()
		if err != nil {
			t.Fatal(err)
		}
		rec2, err := decodeRecord(again)
		if err != nil || rec2.State != rec.State || rec2.ClaimID != rec.ClaimID {
			t.Fatalf("%+v became %+v, %v", rec, rec2, err)
		}
		if rec.Answer != nil && !bytes.Equal(rec.Answer.Body, rec2.Answer.Body) {
			t.Fatal("body changed")
		}
	})
}

// BenchmarkClaims measures the rate of claims with stored outcomes and the number
// of transactions, with a table that takes 5 ms for each transaction.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 128, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			store := memstore.New()
			store.SetFaults(memstore.Faults{Delay: 5 * time.Millisecond})
			l := New(store, store, Options{Instance: "a"})
			var next atomic.Int64
			var wg sync.WaitGroup
			start := time.Now()
			for range callers {
				wg.Go(func() { claimUntil(b, l, &next) })
			}
			wg.Wait()
			seconds := time.Since(start).Seconds()
			counts := store.Counts()
			b.ReportMetric(float64(b.N)/seconds, "calls/s")
			b.ReportMetric(float64(counts.Commits)/seconds, "commits/s")
			b.ReportMetric(float64(counts.Writes)/float64(b.N), "rows/call")
			b.ReportMetric(float64(counts.Commits)/float64(b.N), "commits/call")
		})
	}
}

// BenchmarkFleet measures the transactions of fleets with 4 callers on each
// instance; an instance writes its rows itself or sends them to 8 batching
// instances.
func BenchmarkFleet(b *testing.B) {
	for _, instances := range []int{8, 32, 96} {
		for _, shared := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/shared=%v", instances, shared), func(b *testing.B) {
				store := memstore.New()
				store.SetFaults(memstore.Faults{Delay: 5 * time.Millisecond})
				net := peertest.NewNet(time.Millisecond)
				var next atomic.Int64
				var wg sync.WaitGroup
				ledgers := make([]*Ledger, instances)
				for i := range ledgers {
					options := Options{Instance: fmt.Sprint("i", i), CommitRate: 1e6}
					if shared {
						options.CommitRate = 0
						options.Bus = net.Join(peer.Member{ID: options.Instance})
					}
					ledgers[i] = New(store, store, options)
				}
				start := time.Now()
				for _, l := range ledgers {
					for range 4 {
						wg.Go(func() { claimUntil(b, l, &next) })
					}
				}
				wg.Wait()
				seconds := time.Since(start).Seconds()
				b.ReportMetric(float64(b.N)/seconds, "calls/s")
				b.ReportMetric(float64(store.Counts().Commits)/seconds, "commits/s")
			})
		}
	}
}

// claimUntil claims and finishes keys until the callers together have done b.N.
func claimUntil(b *testing.B, l *Ledger, next *atomic.Int64) {
	ctx := context.Background()
	for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
		claim, _, err := l.Begin(ctx, booking(fmt.Sprint(n)))
		if err != nil {
			b.Error(err)
			return
		}
		if err := claim.Finish(ctx, Answer{Status: 200, Body: []byte("booked")}); err != nil {
			b.Error(err)
		}
	}
}
