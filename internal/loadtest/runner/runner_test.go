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

// fakeInstance forwards requests to an engine and a service as an instance does.
// It violates the guarantees that its fields select.
type fakeInstance struct {
	engine  http.Handler
	service http.Handler
	// doubleWrites sends each POST twice.
	doubleWrites bool
	// falseNotRun answers that a request did not run although it ran.
	falseNotRun bool
}

func (in *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if path, ok := strings.CutPrefix(r.URL.Path, "/services/test"); ok {
		r.URL.Path = path
		if in.doubleWrites && r.Method == http.MethodPost {
			in.service.ServeHTTP(httptest.NewRecorder(), r)
		}
		in.service.ServeHTTP(w, r)
		return
	}
	id := uuid.NewString()
	r.Header.Set(upstream.HeaderRequestID, "owner/1/"+id)
	w.Header().Set("X-Request-Id", id)
	if in.falseNotRun {
		in.engine.ServeHTTP(httptest.NewRecorder(), r)
		w.Header().Set("X-Result-Code", "2001")
		w.Header().Set("X-Execution", executionNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	in.engine.ServeHTTP(w, r)
}

// testTimeScale speeds the modelled engine up.
const testTimeScale = 1000

// deploy starts an engine and a service with the fake instance in front of them, and
// returns a short scenario for this deployment.
func deploy(t *testing.T, in *fakeInstance) (*scenario.Scenario, *engine.Engine) {
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
	in.engine = enginehttp.New(model, faults)
	in.service = service.New(service.Settings{Name: "test"}, fault.New(func(int) {}))
	urls := make([]string, 0, 3)
	for _, h := range []http.Handler{in, in.engine, in.service} {
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
	s, _ := deploy(t, &fakeInstance{})
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

// TestRunReportsViolations checks that each violated guarantee leads to a
// violation in the result.
func TestRunReportsViolations(t *testing.T) {
	for _, c := range []struct {
		name, want string
		instance   *fakeInstance
		prepare    func(*scenario.Scenario, *engine.Engine)
	}{
		{"double writes", "ran 2 times", &fakeInstance{doubleWrites: true}, nil},
		{"runs reported as not run", "was refused as not run and ran", &fakeInstance{falseNotRun: true}, nil},
		{"held memory", "holds 100 tokens and 1 holds", &fakeInstance{}, func(_ *scenario.Scenario, e *engine.Engine) {
			_ = e.Reserve(upstream.ReserveRequest{Name: "o/1/r", Tokens: 100})
		}},
		{"leaving engine", "after it began to leave", &fakeInstance{}, func(s *scenario.Scenario, e *engine.Engine) {
			e.SetLeaving(true)
			s.LeavingGrace = scenario.Duration(time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, model := deploy(t, c.instance)
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

// TestMeasureOverhead checks that all pairs are counted and that addresses of other
// machines are rejected.
func TestMeasureOverhead(t *testing.T) {
	s, _ := deploy(t, &fakeInstance{})
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
