package runner

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/banyanroute/banyanroute/internal/loadtest/report"
	"github.com/banyanroute/banyanroute/internal/loadtest/scenario"
	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/standin/enginehttp"
	"github.com/banyanroute/banyanroute/internal/standin/fault"
	"github.com/banyanroute/banyanroute/internal/standin/service"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// router stands for an instance in front of an engine and a service. It breaks
// the promises that its fields say.
type router struct {
	engine  http.Handler
	service http.Handler
	// doubleWrites sends each POST twice; denyRuns says "not run" of
	// requests that ran.
	doubleWrites bool
	denyRuns     bool
}

func (rt *router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if path, ok := strings.CutPrefix(r.URL.Path, "/services/test"); ok {
		r.URL.Path = path
		if rt.doubleWrites && r.Method == http.MethodPost {
			rt.service.ServeHTTP(httptest.NewRecorder(), r)
		}
		rt.service.ServeHTTP(w, r)
		return
	}
	id := uuid.NewString()
	r.Header.Set(upstream.HeaderRequestID, "owner/1/"+id)
	w.Header().Set("X-Request-Id", id)
	if rt.denyRuns {
		rt.engine.ServeHTTP(httptest.NewRecorder(), r)
		w.Header().Set("X-Result-Code", "2001")
		w.Header().Set("X-Execution", executionNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rt.engine.ServeHTTP(w, r)
}

// testTimeScale makes the engine's steps short.
const testTimeScale = 1000

// deploy starts an engine, a service and rt in front of them, and returns a
// short scenario for them.
func deploy(t *testing.T, rt *router) (*scenario.Scenario, *engine.Engine) {
	t.Helper()
	settings := engine.Default()
	settings.Models = []string{"m"}
	settings.TimeScale = testTimeScale
	faults := fault.New(func(int) {})
	model := engine.New(settings, faults)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = model.Run(ctx)
	}()
	rt.engine = enginehttp.New(model, faults)
	rt.service = service.New(service.Settings{Name: "test"}, fault.New(func(int) {}))
	urls := make([]string, 0, 3)
	for _, h := range []http.Handler{rt, rt.engine, rt.service} {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	t.Cleanup(func() { cancel(); <-done })
	s := &scenario.Scenario{
		Name: "test", Seed: 1, Targets: urls[:1], Engines: urls[1:2], Services: urls[2:3], Model: "m",
		Workspaces: []scenario.Workspace{{Key: "k", Share: 1}}, RequestsPerSecond: 200, StreamShare: 0.5,
		Prompts:    []scenario.Bucket{{Name: "short", MinTokens: 10, MaxTokens: 100, Share: 1, OutputTokens: 4, Timeout: scenario.Duration(time.Minute)}},
		Calls:      scenario.Calls{Share: 0.3, Service: "test", WriteShare: 0.5, Timeout: scenario.Duration(time.Minute)},
		LongTokens: 1000, MaxInFlight: 1000, Grace: scenario.Duration(time.Minute),
		Phases: []scenario.Phase{{Name: "one", Duration: scenario.Duration(200 * time.Millisecond), Load: 1, Drain: true}},
	}
	return s, model
}

func runScenario(t *testing.T, s *scenario.Scenario) *report.Result {
	t.Helper()
	res, err := Run(t.Context(), Options{Scenario: s, Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func TestRunCompletesAllRequests(t *testing.T) {
	s, _ := deploy(t, &router{})
	res := runScenario(t, s)
	if res.ViolationCount != 0 || len(res.Checked) != 4 {
		t.Errorf("violations %v, checked %v", res.Violations, res.Checked)
	}
	for _, g := range res.Phases[0].Groups {
		if g.Sent == 0 || g.Complete != g.Sent {
			t.Errorf("group %+v", g)
		}
	}
}

func TestRunFindsBrokenPromises(t *testing.T) {
	for _, c := range []struct {
		name, want string
		router     *router
		prepare    func(*scenario.Scenario, *engine.Engine)
	}{
		{"double writes", "ran 2 times", &router{doubleWrites: true}, nil},
		{"denied runs", "was refused as not run and ran", &router{denyRuns: true}, nil},
		{"held memory", "holds 100 tokens and 1 holds", &router{}, func(_ *scenario.Scenario, e *engine.Engine) {
			_ = e.Reserve(upstream.ReserveRequest{Name: "o/1/r", Tokens: 100})
		}},
		{"leaving engine", "after it began to leave", &router{}, func(s *scenario.Scenario, e *engine.Engine) {
			e.SetLeaving(true)
			s.LeavingGrace = scenario.Duration(time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, model := deploy(t, c.router)
			if c.prepare != nil {
				c.prepare(s, model)
			}
			res := runScenario(t, s)
			if res.ViolationCount == 0 || !strings.Contains(res.Violations[0], c.want) {
				t.Errorf("violations %v, want %q", res.Violations, c.want)
			}
		})
	}
}

func TestOverheadCountsPairs(t *testing.T) {
	s, _ := deploy(t, &router{})
	o := OverheadOptions{
		Direct: s.Engines[0], Through: s.Targets[0], Key: "k", Model: "m", Rate: 100,
		Duration: 100 * time.Millisecond, PromptTokens: 10, OutputTokens: 2, Timeout: time.Minute,
	}
	res, err := MeasureOverhead(t.Context(), o)
	if err != nil || res.Direct.Count != 10 || res.Through.Count != 10 || res.Failed != 0 {
		t.Errorf("got %+v, %v", res, err)
	}
	o.Through = "http://192.0.2.1:80"
	if _, err := MeasureOverhead(t.Context(), o); err == nil {
		t.Error("an address of another machine was accepted")
	}
}
