package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/ledger"
	"github.com/banyanroute/banyanroute/internal/platform/memstore"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/sleep"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// fakeService is a plain service for bookings.
type fakeService struct {
	// runs counts executions by idempotency key.
	runs map[string]int
	// answer returns how a call, counted from 1, is answered: "lost" runs the
	// call and then breaks the connection, "panic" runs it and then panics,
	// "unreached" fails before anything is sent, "refused" proves that the call did
	// not run, and any other runs it.
	answer func(call int) string
	calls  int
	// duration is how long a call runs.
	duration time.Duration
}

// Do implements Upstreams.
func (s *fakeService) Do(ctx context.Context, call upstream.Call) (*http.Response, error) {
	s.calls++
	kind := s.answer(s.calls)
	switch kind {
	case "unreached":
		return nil, upstream.ErrNotSent
	case "refused":
		return plain(http.StatusServiceUnavailable, http.Header{upstream.HeaderNotRun: {"true"}}, ""), nil
	}
	if !sleep.For(ctx, s.duration) {
		return nil, upstream.ErrLost
	}
	s.runs[call.Header.Get("Idempotency-Key")]++
	if kind == "panic" {
		panic("reading the answer")
	}
	if kind == "lost" {
		return nil, upstream.ErrLost
	}
	return plain(http.StatusOK, http.Header{}, "booked"), nil
}

// Probe implements Upstreams.
func (*fakeService) Probe(context.Context, string) (time.Duration, error) { return 0, nil }

// Cancel implements Upstreams.
func (*fakeService) Cancel(context.Context, string, string) error { return nil }

// serviceFixture holds two instances that share one service and one store.
type serviceFixture struct {
	service *fakeService
	store   *memstore.Store
	first   *Dispatcher
	second  *Dispatcher
}

func newServiceFixture(t *testing.T, answer func(call int) string) *serviceFixture {
	t.Helper()
	f := &serviceFixture{service: &fakeService{runs: map[string]int{}, answer: answer, duration: 10 * time.Millisecond}, store: memstore.New()}
	f.first = f.instance(t, "i1")
	f.second = f.instance(t, "i2")
	return f
}

func (f *serviceFixture) instance(t *testing.T, name string) *Dispatcher {
	t.Helper()
	scheduler := admit.New(admit.Options{Instance: name, Incarnation: 1, Seed: 1})
	scheduler.SetUpstreams([]admit.Upstream{{ID: "s1", URL: "http://s1", Service: "s"}, {ID: "s2", URL: "http://s2", Service: "s"}})
	claims := ledger.New(f.store, f.store, ledger.Options{Instance: name, Incarnation: 1})
	d, err := New(Options{Instance: name, Incarnation: 1, Scheduler: scheduler, Upstreams: f.service, Claims: claims, SilenceTimeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func booking(key string) *ServiceCall {
	deadline := time.Now().Add(10 * time.Second)
	return &ServiceCall{
		ID: "i1/1/" + key, Method: http.MethodPost, Path: "/bookings",
		Header: http.Header{"Idempotency-Key": {key}}, Body: []byte("slot=9"),
		Request: admit.Request{ID: "i1/1/" + key, Workspace: "w", Target: "s", Service: true, Deadline: deadline},
		Claim:   ledger.Request{Workspace: "w", Key: key, Deadline: deadline},
	}
}

func always(kind string) func(int) string { return func(int) string { return kind } }

// TestNonIdempotentRunsAtMostOnce checks that a booking which is repeated through
// two instances after each kind of failure runs at most once.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		answer func(int) string
		// first and repeat are the results of the first call and its repeats.
		first, repeat result.Code
		runs          int
	}{
		"answered":                     {always("ok"), result.OK, result.OK, 1},
		"lost after it ran":            {always("lost"), result.UpstreamLost, result.OutcomeUnknown, 1},
		"panic after it ran":           {always("panic"), result.Internal, result.OutcomeUnknown, 1},
		"never reached":                {always("unreached"), result.NoUpstream, result.NoUpstream, 0},
		"refused by all":               {always("refused"), result.NoUpstream, result.NoUpstream, 0},
		"refused once, then answered":  {func(n int) string { return []string{"refused", "ok"}[min(n, 2)-1] }, result.OK, result.OK, 1},
		"refused, then lost after run": {func(n int) string { return []string{"refused", "lost"}[min(n, 2)-1] }, result.UpstreamLost, result.OutcomeUnknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServiceFixture(t, c.answer)
				expect(t, f.first, booking("k"), c.first)
				expect(t, f.second, booking("k"), c.repeat)
				expect(t, f.first, booking("k"), c.repeat)
				if f.service.runs["k"] != c.runs {
					t.Fatalf("ran %d times, want %d", f.service.runs["k"], c.runs)
				}
			})
		})
	}
}

// expect makes a call and checks its result code and, for an error, that its
// execution is the one that belongs to the code.
func expect(t *testing.T, d *Dispatcher, call *ServiceCall, want result.Code) {
	t.Helper()
	_, err := d.AtMostOnce(t.Context(), call)
	got := result.OK
	if err != nil {
		got = err.Code
	}
	if got != want {
		t.Fatalf("got %v, want %v", err, want)
	}
	if err != nil && err.Execution != want.Info().Execution {
		t.Fatalf("execution %q does not belong to the code of the error: %v", err.Execution, err)
	}
}

// TestCallerLeavingDoesNotStopBooking checks that a booking which was sent runs to
// its end although its caller leaves, and that a repeat gets its answer.
func TestCallerLeavingDoesNotStopBooking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFixture(t, always("ok"))
		f.service.duration = time.Second
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		if _, err := f.first.AtMostOnce(ctx, booking("k")); err == nil || err.Code != result.CallerGone {
			t.Fatalf("got %v", err)
		}
		f.first.Wait()
		answer, err := f.second.AtMostOnce(t.Context(), booking("k"))
		if err != nil || !answer.Replayed || string(answer.Body) != "booked" || f.service.runs["k"] != 1 {
			t.Fatalf("got %+v, %v, ran %d times", answer, err, f.service.runs["k"])
		}
	})
}

// TestStoreDownRefusesBookingsOnly checks that while the store is down bookings are
// refused immediately as not run, and lookups still work.
func TestStoreDownRefusesBookingsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFixture(t, always("ok"))
		f.store.SetFaults(memstore.Faults{Down: true})
		start := time.Now()
		_, err := f.first.AtMostOnce(t.Context(), booking("k"))
		if err == nil || err.Code != result.StoreUnavailable || err.Execution != result.NotRun || err.RetryAfter <= 0 {
			t.Fatalf("got %+v", err)
		}
		if took := time.Since(start); took > time.Second {
			t.Fatalf("refused after %s", took)
		}
		if _, err := f.first.Idempotent(t.Context(), booking("lookup")); err != nil {
			t.Fatalf("lookup failed: %v", err)
		}
		if f.service.runs["k"] != 0 {
			t.Fatal("the booking ran")
		}
	})
}

// TestIdempotentCallIsRetriedElsewhere checks that a lookup is retried on another
// upstream after one was lost.
func TestIdempotentCallIsRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFixture(t, func(n int) string { return []string{"lost", "ok"}[min(n, 2)-1] })
		answer, err := f.first.Idempotent(t.Context(), booking("lookup"))
		if err != nil || string(answer.Body) != "booked" {
			t.Fatalf("got %+v, %v", answer, err)
		}
	})
}

// TestRepeatNeedsNoUpstream checks that a repeat gets its stored answer while no
// upstream is in service, and that a call which finds none does not claim its key.
func TestRepeatNeedsNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFixture(t, always("ok"))
		expect(t, f.first, booking("k"), result.OK)
		withoutUpstreams, err := New(Options{
			Instance: "i3", Incarnation: 1, Scheduler: admit.New(admit.Options{Instance: "i3", Incarnation: 1, Seed: 1}), Upstreams: f.service,
			Claims: ledger.New(f.store, f.store, ledger.Options{Instance: "i3", Incarnation: 1}), SilenceTimeout: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		expect(t, withoutUpstreams, booking("k"), result.OK)
		expect(t, withoutUpstreams, booking("other"), result.NoUpstream)
		expect(t, f.second, booking("other"), result.OK)
		if f.service.runs["k"] != 1 || f.service.runs["other"] != 1 {
			t.Fatalf("runs by key: %v, want one each", f.service.runs)
		}
	})
}
