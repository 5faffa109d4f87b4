package dispatch

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/result"
)

const testTokens = 20

// runOne runs one generation on the engines of net. It returns the dispatcher, the
// result and the time that the request took.
func runOne(t *testing.T, net fakeNet, timeout time.Duration, sink *recorder) (*Dispatcher, *result.Error, time.Duration) {
	t.Helper()
	d := newTestDispatcher(t, net, nil)
	start := time.Now()
	err := d.Generate(t.Context(), newTestGeneration(d, timeout), sink)
	return d, err, time.Since(start)
}

// TestWholeAnswerInOrder checks that the caller gets the complete answer once and
// in order, whatever faults the connections have while their engine is alive.
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
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := newFakeEngine(testTokens, faults...)
				sink := &recorder{}
				_, err, _ := runOne(t, fakeNet{"http://a": engine}, time.Minute, sink)
				if err != nil || sink.text != completeText(testTokens) || !sink.ended {
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

// TestLostEngineContinuesElsewhere checks that when an engine crashes in the middle
// of an answer, another one gets the text so far and continues after it.
func TestLostEngineContinuesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newFakeEngine(testTokens), newFakeEngine(testTokens)
		net := fakeNet{"http://a": a, "http://b": b}
		time.AfterFunc(10*tokenTime+tokenTime/2, func() {
			for _, e := range net {
				e.set(func(e *fakeEngine) { e.crashed = len(e.starts) > 0 })
			}
		})
		sink := &recorder{}
		_, err, _ := runOne(t, net, time.Minute, sink)
		if err != nil || sink.text != completeText(testTokens) {
			t.Fatalf("error %v, text %q", err, sink.text)
		}
		survivor := a
		if a.crashed {
			survivor = b
		}
		last := survivor.calls[len(survivor.calls)-1]
		if got := string(last.Body[0]); got != `{"continuation":"`+completeText(10)+`",` {
			t.Fatalf("the body sent to the second engine begins with %q, want the text so far as its continuation", got)
		}
	})
}

// TestFrozenEngineIsAbandonedInTime checks that a request does not wait for an
// engine that accepts connections and never answers.
func TestFrozenEngineIsAbandonedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newFakeEngine(testTokens), newFakeEngine(testTokens)
		a.frozen = true
		for range 8 {
			sink := &recorder{}
			_, err, took := runOne(t, fakeNet{"http://a": a, "http://b": b}, time.Minute, sink)
			if err != nil || sink.text != completeText(testTokens) {
				t.Fatalf("error %v, text %q", err, sink.text)
			}
			if took > 5*time.Second {
				t.Fatalf("the request took %s, want at most 5 s", took)
			}
		}
	})
}

// TestDeadlineEndsRequestInTime checks that a request whose engine cannot finish it
// in time fails at its deadline, not later, and that it is cancelled on the engine.
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
			t.Fatalf("the request took %s, want 2 s", took)
		}
		time.Sleep(time.Second)
		if cancels, held := engine.remaining(); len(cancels) != 1 || held != 0 {
			t.Fatalf("cancelled requests %v, %d streams held, want one cancelled request and no stream", cancels, held)
		}
		cancel()
	})
}

// TestCallerLeavingCancels checks that the request of a caller that leaves is
// cancelled on its engine.
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
		if cancels, held := engine.remaining(); len(cancels) != 1 || held != 0 {
			t.Fatalf("cancelled requests %v, %d streams held, want one cancelled request and no stream", cancels, held)
		}
		cancel()
	})
}

// TestNotRunNeedsProof checks that after all upstreams failed the error says "not
// run" only if that is proved for each attempt.
func TestNotRunNeedsProof(t *testing.T) {
	cases := map[string]struct {
		set  func(e *fakeEngine)
		want result.Execution
	}{
		"refused connection":   {func(e *fakeEngine) { e.crashed = true }, result.NotRun},
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

// TestNeedsCoversStreamsAndReservations checks that the stream and the reservations
// of an active request are needed, and the memory of any other request is not.
func TestNeedsCoversStreamsAndReservations(t *testing.T) {
	d := newTestDispatcher(t, fakeNet{}, nil)
	id := d.NewRequestID()
	remove := d.active.add(id)
	for name, want := range map[string]bool{id: true, id + "-0-1": true, d.NewRequestID(): false, "x": false, "": false} {
		if d.Needs(name) != want {
			t.Errorf("memory named %q: needed is %t, want the opposite", name, !want)
		}
	}
	remove()
	if d.Needs(id) {
		t.Error("an ended request still needs its memory")
	}
}

// TestLongPromptMayBeSilent checks that a long prompt, whose prefill takes minutes
// before the first token, is neither abandoned nor restarted, while a short one
// that makes no progress for so long is restarted on another engine.
func TestLongPromptMayBeSilent(t *testing.T) {
	for tokens, want := range map[int]int{1_000_000: 1, 100: 2} {
		synctest.Test(t, func(t *testing.T) {
			a, b := newFakeEngine(testTokens), newFakeEngine(testTokens)
			a.delay, b.delay = 4*time.Minute, 4*time.Minute
			d := newTestDispatcher(t, fakeNet{"http://a": a, "http://b": b}, nil)
			req := newTestGeneration(d, 20*time.Minute)
			req.Request.PromptTokens = tokens
			sink := &recorder{}
			err := d.Generate(t.Context(), req, sink)
			starts := a.starts[req.ID] + b.starts[req.ID]
			if starts != want {
				t.Errorf("prompt of %d tokens: started %d times, want %d", tokens, starts, want)
			}
			if tokens > 100 && (err != nil || sink.text != completeText(testTokens)) {
				t.Errorf("prompt of %d tokens: error %v, text %q", tokens, err, sink.text)
			}
		})
	}
}

// panickingSink is a Sink that panics at the first chunk.
type panickingSink struct{ recorder }

// Chunk implements Sink.
func (*panickingSink) Chunk([]byte) error { panic("chunk") }

// TestPanicReleasesUpstream checks that a request that panics leaves no load on its upstream.
func TestPanicReleasesUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, fakeNet{"http://a": newFakeEngine(testTokens)}, nil)
		scheduler := d.opts.Scheduler.(*admit.Scheduler)
		idle := scheduler.PeerHint()
		func() {
			defer func() {
				if recover() == nil {
					t.Error("the panic did not reach the handler of the request")
				}
			}()
			_ = d.Generate(t.Context(), newTestGeneration(d, time.Minute), &panickingSink{})
		}()
		if hint := scheduler.PeerHint(); !bytes.Equal(hint, idle) {
			t.Errorf("load remains: hint %x, want %x", hint, idle)
		}
		synctest.Wait()
	})
}
