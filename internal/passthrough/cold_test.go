package passthrough

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
)

// withholdingPlacer is a scriptedPlacer that withholds requests from one upstream after a number
// of checks.
type withholdingPlacer struct {
	scriptedPlacer
	upstream string
	from     int32
	avoid    []string
	checks   atomic.Int32

	mu    sync.Mutex
	ended []placement.End
}

// Place places a job on the first upstream that it may use.
func (p *withholdingPlacer) Place(_ context.Context, j placement.Job) placement.Decision {
	for i := range 3 {
		if id := fmt.Sprint("u", i); !slices.Contains(j.Avoid, id) {
			return placement.Decision{Upstream: id}
		}
	}
	return placement.Decision{Reason: placement.NoUpstream}
}

func (p *withholdingPlacer) Withheld(_ placement.Decision, up deployment.Upstream) []string {
	if up.ID != p.upstream || p.checks.Add(1) <= p.from {
		return nil
	}
	return p.avoid
}

func (p *withholdingPlacer) Ended(service, id string, e placement.End) {
	p.mu.Lock()
	p.ended = append(p.ended, e)
	p.mu.Unlock()
	p.scriptedPlacer.Ended(service, id, e)
}

// TestWithheldRequestGoesElsewhere guards against a request that reaches a cold upstream although
// this instance knows better than the home that placed it: at once, and by an answer that arrives
// while the connection opens. It is placed again, avoiding all that are cold, and the upstream is
// not held to be lost.
func TestWithheldRequestGoesElsewhere(t *testing.T) {
	for _, kind := range []deployment.Kind{deployment.Idempotent, deployment.AtMostOnce, deployment.Stream} {
		for name, checks := range map[string]int32{"at once": 0, "before the first byte": 1} {
			var arrived atomic.Int32
			cold := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
			warm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
			}))
			placer := &withholdingPlacer{upstream: "u0", from: checks, avoid: []string{"u0", "u1"}}
			h := newTestHandler(kind, plainCodec{}, placer, nil, cold.URL, cold.URL, warm.URL)
			if checks > 0 {
				placer.avoid = []string{"u0"}
				h = newTestHandler(kind, plainCodec{}, placer, nil, cold.URL, warm.URL)
			}
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
			r.Host = "app.example"
			h.ServeHTTP(w, r)
			if w.Code != http.StatusOK || arrived.Load() != 0 {
				t.Errorf("%s, %s: status %d, %d requests at cold upstreams, want 200 and none", kind, name, w.Code, arrived.Load())
			}
			placer.mu.Lock()
			if slices.ContainsFunc(placer.ended, func(e placement.End) bool {
				return e.Outcome != placement.Abandoned && e.Outcome != placement.Completed
			}) {
				t.Errorf("%s, %s: attempts ended as %+v", kind, name, placer.ended)
			}
			placer.mu.Unlock()
			cold.Close()
			warm.Close()
		}
	}
}
