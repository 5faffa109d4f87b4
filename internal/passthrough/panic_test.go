package passthrough

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/upstreamlimit"
)

// panickingCodec panics when it translates an answer whose header names the step.
type panickingCodec struct{ plainCodec }

func (panickingCodec) ReadReply(_ int, h http.Header) UpstreamReply {
	if h.Get("Panic") == "read" {
		panic("reading the answer")
	}
	return UpstreamReply{Signed: true}
}

func (panickingCodec) WriteReply(_, upstream http.Header) {
	if upstream.Get("Panic") == "write" {
		panic("writing the answer")
	}
}

// panickingPlacer places all jobs on one upstream, records what has not ended, and panics in
// the named method.
type panickingPlacer struct {
	method string

	mu   sync.Mutex
	open map[string]bool
}

func (p *panickingPlacer) panicIf(method string) {
	if p.method == method {
		panic(method)
	}
}

func (p *panickingPlacer) Place(_ context.Context, j placement.Job) placement.Decision {
	p.panicIf("place")
	if j.Stalled {
		p.panicIf("place elsewhere")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[j.ID] = true
	return placement.Decision{Upstream: "u0", Trial: []uint64{1}}
}

func (p *panickingPlacer) FirstAnswer(string, string) { p.panicIf("first answer") }

func (p *panickingPlacer) TrialPassed(string, string) { p.panicIf("trial passed") }

func (*panickingPlacer) LimitObserved(deployment.Upstream, upstreamlimit.Limit) {}

func (*panickingPlacer) Paused(deployment.Upstream) bool { return false }

func (*panickingPlacer) Withheld(placement.Decision, deployment.Upstream) []string { return nil }

func (p *panickingPlacer) Ended(_, id string, _ placement.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, id)
}

// TestPanicEndsOnlyItsRequest checks, for panics at several steps of a request, that its
// caller gets an error, or a broken connection once an answer has begun, that the placed job
// ends, that the panic is counted, and that a panic outside the request's own goroutine does
// not end the process.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	answer := func(step string, events int, wait, pause time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Panic", step)
			time.Sleep(wait)
			for i := range events {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
			}
		}
	}
	for _, c := range []struct {
		name, method string
		kind         deployment.Kind
		upstream     http.HandlerFunc
		// status is what the caller gets; zero is a broken connection.
		status int
	}{
		{"placing", "place", deployment.Idempotent, answer("", 1, 0, 0), http.StatusInternalServerError},
		{"reading an answer", "", deployment.Idempotent, answer("read", 1, 0, 0), http.StatusInternalServerError},
		{"writing an answer", "", deployment.Idempotent, answer("write", 1, 0, 0), http.StatusInternalServerError},
		{"writing a stream", "", deployment.Stream, answer("write", 1, 0, 0), http.StatusInternalServerError},
		{"first event", "first answer", deployment.Stream, answer("", 1, 0, 0), http.StatusInternalServerError},
		{"within a stream", "trial passed", deployment.Stream, answer("", 4, 0, 400*time.Millisecond), 0},
		{"moving a stalled stream", "place elsewhere", deployment.Stream, answer("", 1, 2500*time.Millisecond, 0), http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			placer := &panickingPlacer{method: c.method, open: map[string]bool{}}
			u := httptest.NewServer(c.upstream)
			defer u.Close()
			caller := httptest.NewServer(newTestHandler(c.kind, panickingCodec{}, placer, nil, u.URL))
			defer caller.Close()
			counter := metrics.GetOrCreateCounter(`banyanroute_panics_total{part="passthrough"}`)
			before := counter.Get()
			status := 0
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, caller.URL+"/x", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "app.example"
			if res, err := http.DefaultClient.Do(r); err == nil {
				status = res.StatusCode
				buf := make([]byte, 1<<12)
				for err == nil {
					_, err = res.Body.Read(buf)
				}
				if err.Error() != "EOF" {
					status = 0
				}
				res.Body.Close()
			}
			if status != c.status {
				t.Errorf("got status %d, want %d", status, c.status)
			}
			if counter.Get() == before {
				t.Error("the panic was not counted")
			}
			placer.mu.Lock()
			defer placer.mu.Unlock()
			if len(placer.open) > 0 {
				t.Errorf("jobs %v have not ended", placer.open)
			}
		})
	}
}
