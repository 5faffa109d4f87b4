package engine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

func TestDeadlineAndCancelReleaseMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		req := request("late", 9000, 1000)
		req.Deadline = time.Now().Add(30 * time.Millisecond)
		late := submit(t, e, req)
		waiting := request("waiting", 9000, 1000)
		waiting.Deadline = time.Now().Add(20 * time.Millisecond)
		never := submit(t, e, waiting)
		_, err := never.Wait(t.Context(), 0)
		var refusal *Refusal
		if !errors.As(err, &refusal) || !refusal.NotRun {
			t.Errorf("a request that never ran got %v", err)
		}
		_, err = late.Wait(t.Context(), 0)
		if !errors.As(err, &refusal) || refusal.NotRun || refusal.Status != http.StatusGatewayTimeout {
			t.Errorf("a request that ran got %v", err)
		}
		wantEmpty(t, e)
		gone := submit(t, e, request("gone", 9000, 1000))
		e.Cancel("gone")
		e.Cancel("unknown")
		_, err = gone.Wait(t.Context(), 0)
		wantStatus(t, err, errCanceled.Status)
		wantEmpty(t, e)
	})
}

func reservation(name string, tokens int, deadline time.Time) upstream.ReserveRequest {
	return upstream.ReserveRequest{Name: name, Tokens: tokens, DeadlineUnixMs: unixMs(deadline)}
}

func TestReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		deadline := time.Now().Add(time.Second)
		for range 2 {
			if err := e.Reserve(reservation("r1", 10_000, deadline)); err != nil {
				t.Fatal(err)
			}
		}
		wantStatus(t, e.Reserve(reservation("r2", 1000, deadline)), http.StatusConflict)
		wantStatus(t, e.Reserve(reservation("r1", 999, deadline)), http.StatusConflict)
		huge := request("huge", 20_000, 10)
		_, err := e.Submit(huge)
		wantStatus(t, err, http.StatusUnprocessableEntity)
		huge.Reservations = []string{"elsewhere"}
		_, err = e.Submit(huge)
		wantStatus(t, err, http.StatusConflict)
		huge.Reservations = []string{"elsewhere", "r1"}
		finishTime(t, submit(t, e, huge), time.Now())
		if holds := e.Holds().Holds; len(holds) != 1 {
			t.Errorf("holds %+v, want the reservation only", holds)
		}
		huge.ID = "huge2"
		r := submit(t, e, huge)
		e.Release("r1")
		e.Release("r1")
		_, err = r.Wait(t.Context(), 0)
		wantStatus(t, err, errHoldReleased.Status)
		wantEmpty(t, e)
		if err := e.Reserve(reservation("r3", 10_000, deadline)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		wantEmpty(t, e)
	})
}

func TestExportAndImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := start(t, testSettings()), start(t, testSettings())
		req := request("a", 2048, 1)
		req.Blocks = blocks("x", 4)
		finishTime(t, submit(t, from, req), time.Now())
		deadline := unixMs(time.Now().Add(time.Minute))
		got, err := from.Export(upstream.ExportRequest{Name: "o/1/e", Blocks: blocks("x", 6), DeadlineUnixMs: deadline})
		if err != nil || len(got.Blocks) != 4 || got.Tokens != 2048 {
			t.Fatalf("exported %+v, %v", got, err)
		}
		began := time.Now()
		if err := to.Import(t.Context(), upstream.ImportRequest{Name: "o/1/i", Blocks: got.Blocks, DeadlineUnixMs: deadline}); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took != 2048*time.Microsecond {
			t.Errorf("import took %v", took)
		}
		finishTime(t, submit(t, to, req), time.Now())
		if rec := to.Record(func(RequestRecord) bool { return true }).Requests[0]; rec.CachedTokens != 3*512 {
			t.Errorf("%d cached tokens after the import", rec.CachedTokens)
		}
		from.Release("o/1/e")
		wantEmpty(t, from)
		time.Sleep(time.Minute)
		synctest.Wait()
		wantEmpty(t, to)
	})
}

// TestMemoryIsReleased checks after each of a series of random calls that the
// memory in use equals the sum over streams and holds, and that all of it is free
// at the end.
func TestMemoryIsReleased(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomCalls(t, seed) })
		})
	}
}

func runRandomCalls(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	e := start(t, testSettings())
	var readers []*Reader
	for range 400 {
		name := fmt.Sprint(random.IntN(12))
		deadline := time.Now().Add(time.Duration(random.IntN(400)) * time.Millisecond)
		prefix := blocks(fmt.Sprint("p", random.IntN(3)), 1+random.IntN(6))
		switch random.IntN(8) {
		case 0, 1, 2:
			req := request(name, 1+random.IntN(6000), 1+random.IntN(40))
			req.Attempt, req.Blocks, req.Deadline = random.IntN(4), prefix, deadline
			if random.IntN(4) == 0 {
				req.Reservations = []string{"r" + name}
			}
			if r, err := e.Submit(req); err == nil {
				readers = append(readers, r)
			}
		case 3:
			_ = e.Reserve(reservation("r"+name, 1+random.IntN(6000), deadline))
		case 4:
			_, _ = e.Export(upstream.ExportRequest{Name: "x" + name, Blocks: prefix, DeadlineUnixMs: unixMs(deadline)})
		case 5:
			_ = e.Import(t.Context(), upstream.ImportRequest{Name: "i" + name, Blocks: prefix, DeadlineUnixMs: unixMs(deadline)})
		case 6:
			e.Release([]string{"", "r", "x", "i"}[random.IntN(4)] + name)
		case 7:
			if len(readers) > 0 {
				readers[random.IntN(len(readers))].Close(random.IntN(2) == 0)
			}
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		checkMemory(t, e)
	}
	time.Sleep(time.Hour)
	synctest.Wait()
	wantEmpty(t, e)
	if len(e.streams) != 0 {
		t.Errorf("%d finished streams were not removed", len(e.streams))
	}
}

// checkMemory compares the memory in use with the sum over streams and holds.
func checkMemory(t *testing.T, e *Engine) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	private, refs := 0, 0
	for s := range e.active {
		private += s.private
		refs += len(s.shared)
	}
	for _, h := range e.holds {
		private += h.private
		refs += len(h.blocks)
	}
	for _, b := range e.memory.blocks {
		refs -= b.refs
		if (b.refs == 0) != (b.idle != nil) {
			t.Fatalf("block %s has %d references and idle=%v", b.hash, b.refs, b.idle != nil)
		}
	}
	if private != e.memory.private || refs != 0 || e.memory.used() > e.memory.capacity {
		t.Fatalf("streams and holds have %d private tokens, memory counts %d; reference counts differ by %d; %d tokens are in use", private, e.memory.private, refs, e.memory.used())
	}
}
