package passthrough

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/standin/lateanswer"
)

// repeatingUpstream returns an upstream that answers with the path of the request, and sends
// second copies of its answers.
func repeatingUpstream(t *testing.T, stream, early bool) deployment.Upstream {
	t.Helper()
	address := lateanswer.Start(t, early, func(r *http.Request) string {
		if stream {
			return "id: 1\ndata: " + r.URL.Path + "\n\n"
		}
		return r.URL.Path
	})
	return deployment.Upstream{ID: "u", Service: "s", Address: address}
}

// oneUpstream places all jobs on one upstream.
type oneUpstream struct {
	scriptedPlacer
	id string
}

func (p *oneUpstream) Place(context.Context, placement.Job) placement.Decision {
	return placement.Decision{Upstream: p.id}
}

// TestLateSecondAnswerReachesNoOtherCaller checks that no caller gets a second copy of the
// answer to another one, whether it comes at once or when the next request has arrived.
func TestLateSecondAnswerReachesNoOtherCaller(t *testing.T) {
	for kindName, kind := range map[string]deployment.Kind{"stream": deployment.Stream, "call": deployment.Idempotent} {
		for when, early := range map[string]bool{"late": false, "at once": true} {
			t.Run(kindName+", "+when, func(t *testing.T) {
				up := repeatingUpstream(t, kind == deployment.Stream, early)
				state := deployment.NewState()
				state.SetConfiguration(&deployment.Configuration{
					Version: 1, Services: map[string]deployment.Service{"s": {Name: "s"}},
					Routes: []deployment.Route{{
						Host: "app.example", Prefix: "/", Kind: kind, Public: true, Targets: []deployment.Target{{Service: "s", Weight: 1}},
						Timeout: 5 * time.Second, FirstAnswer: time.Second, MaxPause: time.Second, MaxAttempts: 1,
					}},
				}, time.Now())
				state.ReplaceUpstreams([]deployment.Upstream{up}, deployment.Revision{Number: 1}, time.Now())
				h := New(Options{
					State: state, Codec: plainCodec{}, Placer: &oneUpstream{id: up.ID},
					Retries:   func() RetryBudget { return RetryBudget{Ratio: 1, Extra: 100, Window: time.Second} },
					Instances: func() int { return 1 },
				})
				for i := range 5 {
					path := fmt.Sprint("/call-", i)
					w := httptest.NewRecorder()
					r := httptest.NewRequest(http.MethodGet, path, nil)
					r.Host = "app.example"
					h.ServeHTTP(w, r)
					if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), path) || strings.Count(w.Body.String(), "call-") != 1 {
						t.Errorf("%s got status %d, %q", path, w.Code, w.Body.String())
					}
				}
			})
		}
	}
}
