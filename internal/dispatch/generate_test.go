package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/result"
)

const testTokens = 20

// runOne runs one generation against engines and returns what the caller got.
func runOne(t *testing.T, net fakeNet, limit time.Duration, sink *recorder) (*Dispatcher, *result.Error, time.Duration) {
	t.Helper()
	d := newTestDispatcher(t, net, nil)
	start := time.Now()
	err := d.Generate(t.Context(), newTestGeneration(d, limit), sink)
	return d, err, time.Since(start)
}

// TestWholeAnswerInOrder checks that the caller gets the whole answer once, in
// order, whatever a connection does while its engine lives.
func TestWholeAnswerInOrder(t *testing.T) {
	cases := map[string][]faultyConnection{
		"healthy":                  {},
		"silent before the answer": {{silentAt: 1}},
		"silent in the answer":     {{silentAt: 7}},
		"silent twice":             {{silentAt: 7}, {silentAt: 12}},
		"reset":                    {{resetAt: 5}},
		"reset before the answer":  {{resetAt: 1}},
		"ends without end marker":  {{endAt: 9}},
		"chunks repeated":          {{repeat: true}},
		"chunk missing":            {{skip: 6}},
		"missing, then silent":     {{skip: 6}, {silentAt: 10}, {resetAt: 15}},
	}
	for name, connections := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := newFakeEngine(testTokens, connections...)
				sink := &recorder{}
				_, err, _ := runOne(t, fakeNet{"http://a": engine}, time.Minute, sink)
				if err != nil || sink.text != wholeText(testTokens) || !sink.ended {
					t.Fatalf("error %v, text %q, ended %t", err, sink.text, sink.ended)
				}
				for id, starts := range engine.starts {
					if starts != 1 {
						t.Errorf("the engine ran %s %d times", id, starts)
					}
				}
			})
		})
	}
}

// TestEngineDeathContinuesElsewhere checks that an answer goes on at another
// engine after the tokens that the caller has, with their text.
func TestEngineDeathContinuesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newFakeEngine(testTokens), newFakeEngine(testTokens)
		net := fakeNet{"http://a": a, "http://b": b}
		time.AfterFunc(10*tokenTime+tokenTime/2, func() {
			for _, e := range net {
				e.set(func(e *fakeEngine) { e.dead = len(e.starts) > 0 })
			}
		})
		sink := &recorder{}
		_, err, _ := runOne(t, net, time.Minute, sink)
		if err != nil || sink.text != wholeText(testTokens) {
			t.Fatalf("error %v, text %q", err, sink.text)
		}
		survivor := a
		if a.dead {
			survivor = b
		}
		last := survivor.calls[len(survivor.calls)-1]
		if got := string(last.Body[0]); got != `{"continuation":"`+wholeText(10)+`",` {
			t.Fatalf("the second engine got %q", got)
		}
	})
}

// TestFrozenEngineIsLeftInTime checks that a request does not wait for an
// engine that accepts connections and never answers.
func TestFrozenEngineIsLeftInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newFakeEngine(testTokens), newFakeEngine(testTokens)
		a.frozen = true
		for range 8 {
			sink := &recorder{}
			_, err, took := runOne(t, fakeNet{"http://a": a, "http://b": b}, time.Minute, sink)
			if err != nil || sink.text != wholeText(testTokens) {
				t.Fatalf("error %v, text %q", err, sink.text)
			}
			if took > 5*time.Second {
				t.Fatalf("took %s", took)
			}
		}
	})
}

// TestDeadlineEndsRequestInTime checks that a request whose engines cannot
// finish fails at its deadline, not later, and that its memory is cancelled.
func TestDeadlineEndsRequestInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engine := newFakeEngine(1000)
		d := newTestDispatcher(t, fakeNet{"http://a": engine}, nil)
		go d.Run(ctx)
		sink := &recorder{}
		start := time.Now()
		err := d.Generate(ctx, newTestGeneration(d, 2*time.Second), sink)
		if err == nil || err.Code != result.DeadlineExceeded || err.Execution != result.MayHaveRun {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(start); took != 2*time.Second {
			t.Fatalf("took %s", took)
		}
		time.Sleep(time.Second)
		if cancels, held := engine.left(); len(cancels) != 1 || held != 0 {
			t.Fatalf("cancels %v, streams held %d", cancels, held)
		}
		cancel()
	})
}

// TestCallerLeavingCancels checks that an engine stops work for a caller that
// has left.
func TestCallerLeavingCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engine := newFakeEngine(1000)
		d := newTestDispatcher(t, fakeNet{"http://a": engine}, nil)
		go d.Run(ctx)
		err := d.Generate(ctx, newTestGeneration(d, time.Minute), &recorder{leaveAt: 5})
		if err == nil || err.Code != result.CallerGone {
			t.Fatalf("got %v", err)
		}
		time.Sleep(time.Second)
		if cancels, held := engine.left(); len(cancels) != 1 || held != 0 {
			t.Fatalf("cancels %v, streams held %d", cancels, held)
		}
		cancel()
	})
}

// TestNotRunNeedsProof checks what is said about execution when all upstreams
// fail: "not run" only if each attempt proves it.
func TestNotRunNeedsProof(t *testing.T) {
	cases := map[string]struct {
		set  func(e *fakeEngine)
		want result.Execution
	}{
		"refused connection":   {func(e *fakeEngine) { e.dead = true }, result.NotRun},
		"upstream refuses":     {func(e *fakeEngine) { e.refuse = true }, result.NotRun},
		"status without proof": {func(e *fakeEngine) { e.status = 500 }, result.MayHaveRun},
		"frozen":               {func(e *fakeEngine) { e.frozen = true }, result.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := newFakeEngine(testTokens)
				c.set(engine)
				_, err, _ := runOne(t, fakeNet{"http://a": engine}, 20*time.Second, &recorder{})
				if err == nil || err.Execution != c.want {
					t.Fatalf("got %v with execution %q, want %q", err, err.Execution, c.want)
				}
			})
		})
	}
}

// TestNeedsCoversStreamsAndReservations checks which names of engine memory
// belong to a request that runs here.
func TestNeedsCoversStreamsAndReservations(t *testing.T) {
	d := newTestDispatcher(t, fakeNet{}, nil)
	id := d.NewRequestID()
	remove := d.active.add(id)
	for name, want := range map[string]bool{id: true, id + "-0-1": true, d.NewRequestID(): false, "x": false, "": false} {
		if d.Needs(name) != want {
			t.Errorf("%q: got %t", name, !want)
		}
	}
	remove()
	if d.Needs(id) {
		t.Error("an ended request still needs its memory")
	}
}

// TestLongPromptMayBeSilent checks that a prompt which is computed for minutes
// before its first token is neither given up nor started again, while a short
// one that makes no progress is given up.
func TestLongPromptMayBeSilent(t *testing.T) {
	for tokens, want := range map[int]int{1_000_000: 1, 100: 2} {
		synctest.Test(t, func(t *testing.T) {
			a, b := newFakeEngine(testTokens), newFakeEngine(testTokens)
			a.delay, b.delay = 4*time.Minute, 4*time.Minute
			d := newTestDispatcher(t, fakeNet{"http://a": a, "http://b": b}, nil)
			req := newTestGeneration(d, 20*time.Minute)
			req.Route.PromptTokens = tokens
			sink := &recorder{}
			err := d.Generate(t.Context(), req, sink)
			starts := a.starts[req.ID] + b.starts[req.ID]
			if starts != want {
				t.Errorf("%d tokens: started %d times, want %d", tokens, starts, want)
			}
			if tokens > 100 && (err != nil || sink.text != wholeText(testTokens)) {
				t.Errorf("%d tokens: %v, text %q", tokens, err, sink.text)
			}
		})
	}
}
