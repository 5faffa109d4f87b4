package passthrough

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

// plainCodec treats each answer as the upstream's own.
type plainCodec struct{}

func (plainCodec) ReadCall(http.Header) CallerInfo                  { return CallerInfo{ID: "call"} }
func (plainCodec) WriteCall(http.Header, http.Header, UpstreamCall) {}
func (plainCodec) ReadReply(int, http.Header) UpstreamReply         { return UpstreamReply{Signed: true} }
func (plainCodec) WriteReply(http.Header, http.Header)              {}
func (plainCodec) WriteCallID(http.Header, string)                  {}

// scriptedPlacer places jobs on upstreams in turn, each with the given helpers, and
// records whose first answer is reported.
type scriptedPlacer struct {
	helpers []placement.Part
	// single places all jobs on u0.
	single bool

	mu       sync.Mutex
	placed   []string
	answered []string
	ends     []placement.End
}

func (p *scriptedPlacer) Place(_ context.Context, j placement.Job) placement.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed = append(p.placed, j.ID)
	if p.single {
		return placement.Decision{Upstream: "u0"}
	}
	return placement.Decision{Upstream: fmt.Sprint("u", len(p.placed)-1), Helpers: p.helpers}
}

func (p *scriptedPlacer) TrialPassed(string, string) {}

func (p *scriptedPlacer) FirstAnswer(_, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = append(p.answered, id)
}

func (*scriptedPlacer) LimitObserved(deployment.Upstream, upstreamlimit.Limit) {}

func (*scriptedPlacer) Paused(deployment.Upstream) bool { return false }

func (*scriptedPlacer) Withheld(placement.Decision, deployment.Upstream) []string { return nil }

func (p *scriptedPlacer) Ended(_, _ string, e placement.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = append(p.ends, e)
}

// countingReserver counts the reservations that are held.
type countingReserver struct {
	mu   sync.Mutex
	held map[string]bool
}

func (r *countingReserver) Reserve(_ context.Context, _ deployment.Upstream, name string, _ int, _ time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[name] = true
	return nil
}

func (r *countingReserver) Release(_ context.Context, _ deployment.Upstream, name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, name)
	return nil
}

// serveCaller is serve without helpers, and returns the failure of a caller whose connection
// was aborted as status 502.
func serveCaller(kind deployment.Kind, answers ...http.HandlerFunc) (w *httptest.ResponseRecorder) {
	defer func() {
		if recover() == http.ErrAbortHandler {
			w = httptest.NewRecorder()
			w.Code = http.StatusBadGateway
		}
	}()
	return serve(kind, &scriptedPlacer{}, nil, answers...)
}

// serve sends one request of the kind through a Handler whose upstreams u0 and u1 answer
// as given.
func serve(kind deployment.Kind, placer *scriptedPlacer, reserver Reserver, answers ...http.HandlerFunc) *httptest.ResponseRecorder {
	var urls []string
	for _, answer := range answers {
		server := httptest.NewServer(answer)
		defer server.Close()
		urls = append(urls, server.URL)
	}
	h := newTestHandler(kind, plainCodec{}, placer, reserver, urls...)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
	r.Host = "app.example"
	h.ServeHTTP(w, r)
	return w
}

// newTestHandler returns a Handler with one route of the kind to the upstreams u0, u1 and so
// on with the given URLs.
func newTestHandler(kind deployment.Kind, codec Codec, placer Placer, reserver Reserver, urls ...string) *Handler {
	state := deployment.NewState()
	now := time.Now()
	var ups []deployment.Upstream
	for i, url := range urls {
		ups = append(ups, deployment.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: strings.TrimPrefix(url, "http://")})
	}
	state.SetConfiguration(&deployment.Configuration{
		Version:  1,
		Services: map[string]deployment.Service{"s": {Name: "s"}},
		Routes: []deployment.Route{{
			Host: "app.example", Prefix: "/", Kind: kind, Public: true, Targets: []deployment.Target{{Service: "s", Weight: 1}},
			Timeout: 5 * time.Second, FirstAnswer: time.Second, MaxPause: 300 * time.Millisecond, MaxAttempts: 2, Resumable: true,
		}},
	}, now)
	state.ReplaceUpstreams(ups, deployment.Revision{Number: 1}, now)
	return New(Options{
		State: state, Codec: codec, Placer: placer, Reserver: reserver,
		Retries:   func() RetryBudget { return RetryBudget{Ratio: 1, Extra: 100, Window: time.Second} },
		Instances: func() int { return 1 },
	})
}

// TestFirstAnswerOfResumedStreamIsReported checks that the placer learns of the first
// event of each attempt of a stream.
func TestFirstAnswerOfResumedStreamIsReported(t *testing.T) {
	events := func(from, to int, cut bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for i := from; i <= to; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
				_ = http.NewResponseController(w).Flush()
			}
			if cut {
				panic(http.ErrAbortHandler)
			}
		}
	}
	placer := &scriptedPlacer{}
	w := serve(deployment.Stream, placer, nil, events(1, 2, true), events(3, 4, false))
	if strings.Count(w.Body.String(), "id: ") != 4 {
		t.Fatalf("got %q, want four events", w.Body.String())
	}
	if !slices.Equal(placer.answered, placer.placed) || len(placer.placed) < 2 {
		t.Errorf("placed %v, first answers reported %v; want all", placer.placed, placer.answered)
	}
}

// TestHoldOfBufferedCallIsReleased checks that the engine memory reserved for a call whose
// answer is buffered is released when the call ends.
func TestHoldOfBufferedCallIsReleased(t *testing.T) {
	placer := &scriptedPlacer{helpers: []placement.Part{{Upstream: "u1", ReservedTokens: 1000}}}
	reserver := &countingReserver{held: map[string]bool{}}
	ok := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }
	if w := serve(deployment.Idempotent, placer, reserver, ok, ok); w.Code != http.StatusOK {
		t.Fatalf("status %d", w.Code)
	}
	deadline := time.Now().Add(time.Second)
	for {
		reserver.mu.Lock()
		held := len(reserver.held)
		reserver.mu.Unlock()
		if held == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d reservations are held 1 s after the end of the call", held)
		}
		time.Sleep(time.Millisecond)
	}
}
