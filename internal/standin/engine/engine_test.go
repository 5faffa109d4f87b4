package engine

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/standin/answer"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// noThrottle is a Throttle that neither slows nor pauses the engine.
type noThrottle struct{}

func (noThrottle) WaitThawed(context.Context) error { return nil }
func (noThrottle) SlowFactor() float64              { return 1 }

// testSettings returns settings with predictable times: a step takes 1 ms, plus
// 1 ms for each 100 prompt tokens.
func testSettings() Settings {
	s := Default()
	s.Models = []string{"m"}
	s.MemoryTokens = 10_240
	s.ChunkTokens = 1000
	s.StepBase = time.Millisecond
	s.PerPromptToken = 10 * time.Microsecond
	s.PerStream = 0
	s.PerResidentToken = 0
	s.EventLossRate = 0
	return s
}

// start runs an engine in the current synctest bubble until the test ends.
func start(t *testing.T, s Settings) *Engine {
	t.Helper()
	e := New(s, noThrottle{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

func request(id string, promptTokens, maxTokens int) Request {
	return Request{
		ID: id, Attempt: 1, Model: "m", MaxTokens: maxTokens,
		PromptBytes: promptTokens * upstream.BytesPerToken, Prompt: answer.HashOf(id),
	}
}

func blocks(name string, n int) []string {
	hashes := make([]string, n)
	for i := range hashes {
		hashes[i] = fmt.Sprintf("%s%d", name, i)
	}
	return hashes
}

func submit(t *testing.T, e *Engine, req Request) *Reader {
	t.Helper()
	r, err := e.Submit(req)
	if err != nil {
		t.Fatalf("submit %s: %v", req.ID, err)
	}
	return r
}

// finishTime waits for the end of the answer and returns the time since start.
func finishTime(t *testing.T, r *Reader, start time.Time) time.Duration {
	t.Helper()
	if _, err := r.Wait(t.Context(), math.MaxInt); err != nil {
		t.Fatal(err)
	}
	return time.Since(start)
}

func wantStatus(t *testing.T, err error, status int) {
	t.Helper()
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Status != status {
		t.Errorf("got error %v, want status %d", err, status)
	}
}

// wantEmpty checks that the engine has no unfinished request, hold or pinned
// memory.
func wantEmpty(t *testing.T, e *Engine) {
	t.Helper()
	sum := e.Record(nil)
	if sum.PinnedTokens != 0 || len(sum.Holds) != 0 || sum.Unfinished != 0 {
		t.Errorf("engine is not empty: %+v", sum)
	}
}

func TestStepTimeGrowsWithPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		began := time.Now()
		r := submit(t, e, request("a", 2500, 3))
		if _, err := r.Wait(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		// Steps of 1000, 1000 and 500 prompt tokens, then one token.
		if got, want := time.Since(began), (11+11+6+1)*time.Millisecond; got != want {
			t.Errorf("first token after %v, want %v", got, want)
		}
		if got, want := finishTime(t, r, began), (29+2)*time.Millisecond; got != want {
			t.Errorf("last token after %v, want %v", got, want)
		}
		wantEmpty(t, e)
	})
}

func TestTimeScale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSettings()
		s.TimeScale = 10
		e := start(t, s)
		began := time.Now()
		r := submit(t, e, request("a", 900, 1))
		if got, want := finishTime(t, r, began), time.Millisecond+100*time.Microsecond; got != want {
			t.Errorf("finished after %v, want %v", got, want)
		}
	})
}

func TestRequestsWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		first := submit(t, e, request("a", 9000, 10))
		second := submit(t, e, request("b", 9000, 10))
		synctest.Wait()
		if _, err := e.Submit(request("c", 10_240, 1)); err == nil {
			t.Error("a request larger than the memory was accepted")
		} else {
			wantStatus(t, err, http.StatusUnprocessableEntity)
		}
		began := time.Now()
		alone := finishTime(t, first, began)
		if both := finishTime(t, second, began); both != 2*alone {
			t.Errorf("second finished after %v, want twice %v", both, alone)
		}
		wantEmpty(t, e)
	})
}

func TestPrefillFollowsPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		began := time.Now()
		long := request("long", 8000, 1)
		long.Priority = 5
		slow := submit(t, e, long)
		time.Sleep(5 * time.Millisecond)
		quick := submit(t, e, request("short", 1000, 1))
		// The short prompt waits for the current step, then gets a complete step.
		if got, want := finishTime(t, quick, began), (11+11+11)*time.Millisecond; got != want {
			t.Errorf("short finished after %v, want %v", got, want)
		}
		finishTime(t, slow, began)
		wantEmpty(t, e)
	})
}

func TestPrefixCacheSavesPromptTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		one := request("a", 2048+100, 1)
		one.Blocks = blocks("x", 4)
		finishTime(t, submit(t, e, one), time.Now())
		two := request("b", 2048+100, 1)
		two.Blocks = append(blocks("x", 3), "y3")
		finishTime(t, submit(t, e, two), time.Now())
		recs := e.Record(func(RequestRecord) bool { return true }).Requests
		if recs[0].ComputedTokens != 2148 || recs[1].CachedTokens != 3*512 || recs[1].ComputedTokens != 2148-3*512 {
			t.Errorf("computed %+v", recs)
		}
		wantEmpty(t, e)
	})
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		for _, name := range []string{"x", "y"} {
			req := request(name, 5*512, 1)
			req.Blocks = blocks(name, 5)
			finishTime(t, submit(t, e, req), time.Now())
		}
		// 10 of 20 blocks are cached; 12 more evict 2, from the end of x.
		finishTime(t, submit(t, e, request("z", 12*512-1, 1)), time.Now())
		if x, y := e.memory.match(blocks("x", 5)), e.memory.match(blocks("y", 5)); x != 3 || y != 5 {
			t.Errorf("x has %d blocks and y %d, want 3 and 5", x, y)
		}
		time.Sleep(time.Second)
		events := e.Events(0).Events
		if n := len(events); n != 3 || !slices.Equal(events[2].Removed, []string{"x4", "x3"}) {
			t.Errorf("events %+v", events)
		}
	})
}

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSettings()
		s.EventLossRate = 0.5
		e := start(t, s)
		for i := range 20 {
			req := request(fmt.Sprint(i), 512, 1)
			req.Blocks = blocks(fmt.Sprint("b", i), 1)
			finishTime(t, submit(t, e, req), time.Now())
		}
		if n := len(e.Events(0).Events); n != 0 {
			t.Errorf("%d events arrived without delay", n)
		}
		time.Sleep(s.EventLag)
		events := e.Events(0).Events
		if n := uint64(len(events)); n < 3 || n == e.events.sequence {
			t.Fatalf("%d of %d events arrived", n, e.events.sequence)
		}
		after := events[2].Sequence
		if rest := e.Events(after).Events; len(rest) != len(events)-3 {
			t.Errorf("%d events after %d, want %d", len(rest), after, len(events)-3)
		}
	})
}

// TestResumeAndFencing checks that a newer connection or attempt takes a stream
// over, that older readers and attempts are refused from then on, and that a
// complete answer can be resumed until it expires.
func TestResumeAndFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		first := submit(t, e, request("a", 100, 1000))
		if _, err := first.Wait(t.Context(), 3); err != nil {
			t.Fatal(err)
		}
		second, err := e.Resume("a", 2)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := first.Wait(t.Context(), 3); !errors.Is(err, errFenced) {
			t.Errorf("older reader got %v", err)
		}
		first.Close(false) // Must not end the newer reader's stream.
		_, err = e.Resume("a", 1)
		wantStatus(t, err, http.StatusConflict)
		_, err = e.Submit(request("a", 100, 1000))
		wantStatus(t, err, http.StatusConflict)
		third := request("a", 100, 5)
		third.Attempt = 3
		finishTime(t, submit(t, e, third), time.Now())
		if _, err := second.Wait(t.Context(), 3); !errors.Is(err, errFenced) {
			t.Errorf("reader of an older attempt got %v", err)
		}
		again, err := e.Resume("a", 3)
		if err != nil {
			t.Fatalf("a complete answer cannot be resumed: %v", err)
		}
		finishTime(t, again, time.Now())
		time.Sleep(time.Minute)
		_, err = e.Resume("a", 3)
		wantStatus(t, err, http.StatusConflict)
		wantEmpty(t, e)
	})
}

func TestStreamIsKeptAfterDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSettings()
		s.StreamRetention = 100 * time.Millisecond
		e := start(t, s)
		r := submit(t, e, request("own/1/a", 100, 5000))
		time.Sleep(50 * time.Millisecond)
		r.Close(true)
		holds := e.Holds().Holds
		if len(holds) != 1 || holds[0].Kind != upstream.HoldStream || holds[0].Name != "own/1/a" || holds[0].Tokens != 5100 {
			t.Errorf("holds %+v", holds)
		}
		time.Sleep(s.StreamRetention)
		synctest.Wait()
		wantEmpty(t, e)
	})
}

func TestContinuationAllocatesRemainingTokensOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, testSettings())
		req := request("a", 1000, 100)
		req.Start = 60
		r := submit(t, e, req)
		time.Sleep(5 * time.Millisecond)
		if holds := e.Holds().Holds; len(holds) != 1 || holds[0].Tokens != 1040 {
			t.Errorf("holds %+v, want one of 1040 tokens", holds)
		}
		finishTime(t, r, time.Now())
		done := request("b", 10, 5)
		done.Start = 5
		finishTime(t, submit(t, e, done), time.Now())
		if sum := e.Record(nil); sum.GeneratedTokens != 40 {
			t.Errorf("generated %d tokens, want 40", sum.GeneratedTokens)
		}
		wantEmpty(t, e)
	})
}
