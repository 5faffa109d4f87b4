package ledger

import (
	"context"
	"crypto/sha256"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/banyanroute/banyanroute/internal/platform"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
)

func newLedger(t *testing.T, store *memstore.Store, name string) *Ledger {
	t.Helper()
	l := New(store, store, Options{Instance: name, Incarnation: 1})
	go func() { _ = l.Run(t.Context()) }()
	return l
}

func booking(key string) Request {
	return Request{
		Workspace:   "school",
		Key:         key,
		Fingerprint: sha256.Sum256([]byte("book " + key)),
		Deadline:    time.Now().Add(10 * time.Second),
	}
}

func mustClaim(t *testing.T, l *Ledger, req Request) *Claim {
	t.Helper()
	claim, answer, err := l.Begin(t.Context(), req)
	if claim == nil || answer != nil || err != nil {
		t.Fatalf("Begin: claim %v, answer %v, error %v; want a claim", claim, answer, err)
	}
	return claim
}

func wantCode(t *testing.T, l *Ledger, req Request, code result.Code, x result.Execution) *result.Error {
	t.Helper()
	claim, answer, err := l.Begin(t.Context(), req)
	if claim != nil || answer != nil || err == nil || err.Code != code || err.Execution != x {
		t.Fatalf("Begin: claim %v, answer %v, error %v; want %v, %v", claim, answer, err, code, x)
	}
	return err
}

func wantAnswer(t *testing.T, l *Ledger, req Request, body string) {
	t.Helper()
	claim, answer, err := l.Begin(t.Context(), req)
	if claim != nil || answer == nil || err != nil {
		t.Fatalf("Begin: claim %v, answer %v, error %v; want an answer", claim, answer, err)
	}
	if string(answer.Body) != body {
		t.Fatalf("stored body has %d bytes, want %d", len(answer.Body), len(body))
	}
}

// TestRepeatGetsStoredAnswerFromAnyInstance checks that a repeat on another
// instance gets StillRunning while the first attempt runs, and that afterwards
// repeats on any instance get its answer, whether that is stored in the row or as
// an object.
func TestRepeatGetsStoredAnswerFromAnyInstance(t *testing.T) {
	for name, body := range map[string]string{"inline": "slot 7", "object": string(make([]byte, 100<<10))} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memstore.New()
				a, b := newLedger(t, store, "a"), newLedger(t, store, "b")
				claim := mustClaim(t, a, booking("k"))
				err := wantCode(t, b, booking("k"), result.StillRunning, result.MayHaveRun)
				if err.RetryAfter <= 0 {
					t.Fatal("no time to retry after")
				}
				if err := claim.Finish(t.Context(), Answer{Status: 200, Body: []byte(body)}); err != nil {
					t.Fatal(err)
				}
				wantAnswer(t, a, booking("k"), body)
				wantAnswer(t, b, booking("k"), body)
			})
		})
	}
}

// TestKeyReusedWithAnotherBody checks that a key is refused for another request of
// the same workspace and can be claimed by another workspace.
func TestKeyReusedWithAnotherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		l := newLedger(t, store, "a")
		mustClaim(t, l, booking("k"))
		other := booking("k")
		other.Fingerprint[0]++
		wantCode(t, l, other, result.KeyReused, result.NotRun)
		other.Workspace = "plates"
		mustClaim(t, l, other)
	})
}

// TestConcurrentBeginsGiveOneClaim checks that exactly one of many concurrent
// requests with one key gets a claim.
func TestConcurrentBeginsGiveOneClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{Delay: 5 * time.Millisecond})
		l := newLedger(t, store, "a")
		var mu sync.Mutex
		claims := 0
		var wg sync.WaitGroup
		for range 64 {
			wg.Go(func() {
				claim, _, err := l.Begin(t.Context(), booking("k"))
				if claim == nil && err.Code != result.StillRunning {
					t.Errorf("got %v, want still running", err)
				}
				mu.Lock()
				defer mu.Unlock()
				if claim != nil {
					claims++
				}
			})
		}
		wg.Wait()
		if claims != 1 {
			t.Fatalf("%d claims of one key, want 1", claims)
		}
	})
}

// TestOneKeyTwiceInOneBatchGivesOneClaim checks that two writes of one key that
// wait for the same batch do not both take effect.
func TestOneKeyTwiceInOneBatchGivesOneClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{Delay: 5 * time.Millisecond})
		l := newLedger(t, store, "a")
		var wg sync.WaitGroup
		for _, key := range []string{"1", "2", "3", "4"} {
			wg.Go(func() { mustClaim(t, l, booking(key)) })
		}
		synctest.Wait()
		claims := make(chan *Claim, 2)
		for range 2 {
			wg.Go(func() {
				claim, _, _ := l.Begin(t.Context(), booking("k"))
				claims <- claim
			})
		}
		wg.Wait()
		if first, second := <-claims, <-claims; (first == nil) == (second == nil) {
			t.Fatalf("claims %v and %v of one key, want one", first, second)
		}
	})
}

// TestHangingStoreRefusesAtOnceAfterFirstTimeout checks that the breaker refuses
// claims without a wait once a call to a hanging store has timed out.
func TestHangingStoreRefusesAtOnceAfterFirstTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		l := newLedger(t, store, "a")
		store.SetFaults(memstore.Faults{Delay: time.Minute})
		wantCode(t, l, booking("k"), result.StoreUnavailable, result.NotRun)
		start := time.Now()
		for i := range 100 {
			wantCode(t, l, booking(string(rune('a'+i))), result.StoreUnavailable, result.NotRun)
		}
		if waited := time.Since(start); waited > 0 {
			t.Fatalf("100 refusals took %v", waited)
		}
	})
}

// TestStoreDownRefusesAtOnce checks that an unavailable store refuses claims
// without a wait and that claims succeed again after the outage.
func TestStoreDownRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		l := newLedger(t, store, "a")
		store.SetFaults(memstore.Faults{Down: true})
		start := time.Now()
		err := wantCode(t, l, booking("k"), result.StoreUnavailable, result.NotRun)
		if waited := time.Since(start); waited > 0 || err.RetryAfter <= 0 {
			t.Fatalf("waited %v, retry after %v", waited, err.RetryAfter)
		}
		store.SetFaults(memstore.Faults{})
		time.Sleep(2 * maxBreakerPause)
		mustClaim(t, l, booking("k"))
	})
}

// TestFinishIsStoredAfterOutage checks that an answer that could not be stored
// because of an outage of an hour is stored afterwards.
func TestFinishIsStoredAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		a, b := newLedger(t, store, "a"), newLedger(t, store, "b")
		claim := mustClaim(t, a, booking("k"))
		store.SetFaults(memstore.Faults{Down: true})
		if err := claim.Finish(t.Context(), Answer{Status: 200, Body: []byte("late")}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		store.SetFaults(memstore.Faults{})
		start := time.Now()
		if left := a.Drain(t.Context()); left != 0 {
			t.Fatalf("%d outcomes left", left)
		}
		t.Logf("stored %v after the outage", time.Since(start))
		wantAnswer(t, b, booking("k"), "late")
	})
}

// TestUnansweredClaimIsFencedOff checks that a key can be claimed again after a
// claim was refused because the answer to its write was lost in an outage.
func TestUnansweredClaimIsFencedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		a, b := newLedger(t, store, "a"), newLedger(t, store, "b")
		store.SetFaults(memstore.Faults{LoseAnswers: 1})
		time.AfterFunc(time.Millisecond, func() { store.SetFaults(memstore.Faults{Down: true}) })
		wantCode(t, a, booking("k"), result.StoreUnavailable, result.NotRun)
		store.SetFaults(memstore.Faults{})
		a.Drain(t.Context())
		mustClaim(t, b, booking("k"))
	})
}

// TestCheckSendAfterDeadline checks that a claim permits no send after its
// deadline and can be ended only once.
func TestCheckSendAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger(t, memstore.New(), "a")
		claim := mustClaim(t, l, booking("k"))
		if err := claim.CheckSend(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if err := claim.CheckSend(t.Context()); err == nil || err.Execution != result.NotRun {
			t.Fatalf("got %v, want a refusal", err)
		}
		if err := claim.ReleaseNotRun(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := claim.Finish(t.Context(), Answer{}); err == nil {
			t.Fatal("a claim ended twice")
		}
		mustClaim(t, l, booking("k"))
	})
}

// TestCallEndsWhileClaiming checks that a claim whose call ended before its write
// was answered is released.
func TestCallEndsWhileClaiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		l := newLedger(t, store, "a")
		store.SetFaults(memstore.Faults{Delay: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, _, err := l.Begin(ctx, booking("k"))
		if err == nil || err.Execution != result.NotRun || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Fatalf("got %v, want a not-run error at the deadline of the call", err)
		}
		store.SetFaults(memstore.Faults{})
		time.Sleep(2 * time.Second)
		mustClaim(t, l, booking("k"))
	})
}

// TestRepeatOfDeadHolderIsAnsweredAtOnce checks that a repeat gets "outcome
// unknown" before the deadline if the holder is known to have ended.
func TestRepeatOfDeadHolderIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		a := newLedger(t, store, "a")
		gone := false
		b := New(store, store, Options{Instance: "b", HasEnded: func(string, uint64) bool { return gone }})
		claim := mustClaim(t, a, booking("k"))
		wantCode(t, b, booking("k"), result.StillRunning, result.MayHaveRun)
		gone = true
		wantCode(t, b, booking("k"), result.OutcomeUnknown, result.MayHaveRun)
		// The holder was only paused: its answer counts when it arrives.
		if err := claim.Finish(t.Context(), Answer{Status: 200, Body: []byte("booked")}); err != nil {
			t.Fatal(err)
		}
		wantAnswer(t, b, booking("k"), "booked")
	})
}

// TestSweepAgesRows checks that answers are dropped and rows are deleted at the end
// of their retention, with the objects that no row refers to.
func TestSweepAgesRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		l := New(store, store, Options{Instance: "a", ShouldSweep: func() bool { return true }})
		go func() { _ = l.Run(t.Context()) }()
		finished, lost, refused := booking("finished"), booking("lost"), booking("refused")
		large := Answer{Status: 200, Body: make([]byte, 100<<10)}
		_ = mustClaim(t, l, finished).Finish(t.Context(), large)
		_ = mustClaim(t, l, lost).FinishUnknown(t.Context())
		_ = mustClaim(t, l, refused).ReleaseNotRun(t.Context())
		orphan := objectPrefix + mustClaim(t, l, booking("abandoned")).record.ClaimID
		if err := store.PutObject(t.Context(), orphan, []byte("left by a crashed holder")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(defaultAnswerRetention + 2*sweepInterval)
		wantCode(t, l, finished, result.AnswerUnavailable, result.Ran)
		wantCode(t, l, lost, result.OutcomeUnknown, result.MayHaveRun)
		wantCode(t, l, booking("abandoned"), result.OutcomeUnknown, result.MayHaveRun)
		time.Sleep(defaultKeyRetention)
		if rows, _ := store.Scan(t.Context(), rowPrefix, "", 10); len(rows) != 0 {
			t.Fatalf("%d rows left after the retention of keys", len(rows))
		}
		if _, err := store.GetObject(t.Context(), orphan); !errors.Is(err, platform.ErrNotFound) {
			t.Fatalf("an object that no row refers to is left: %v", err)
		}
	})
}

// TestExpiredUUIDv7KeyIsNotRunAgain checks that a key that contains the time of its
// creation is refused when its row may have been deleted.
func TestExpiredUUIDv7KeyIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger(t, memstore.New(), "a")
		id, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		made, _ := uuidTime(id.String())
		time.Sleep(time.Until(made))
		mustClaim(t, l, booking(id.String()))
		time.Sleep(defaultKeyRetention)
		wantCode(t, l, booking(id.String()), result.OutcomeUnknown, result.MayHaveRun)
	})
}

// TestSweepEndsWithItsContext checks that a sweep does not hold up a planned stop.
func TestSweepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		l := New(store, store, Options{Instance: "a"})
		running := newLedger(t, store, "b")
		mustClaim(t, running, booking("k"))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(sweepPageInterval/10, cancel)
		began := time.Now()
		l.Sweep(ctx)
		if took := time.Since(began); took >= sweepPageInterval {
			t.Errorf("the sweep ended %s after its start, want it to end with its context", took)
		}
	})
}
