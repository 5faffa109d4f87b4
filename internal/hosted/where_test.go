package hosted

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/enginemodel"
	"github.com/banyanroute/banyanroute/internal/placement"
)

// explainedInstance returns an instance without links, which plans alone.
func explainedInstance() *Instance {
	n := &Instance{opts: Options{ReadinessPath: "/ready"}, links: &links{}, settings: Settings{Instance: "i0"}, state: deployment.NewState(), planner: placement.NewPlanner("dc0")}
	n.fleet = placement.NewFleet(n.planner, "i0/1", nil)
	n.state.Subscribe(n.planner.SetView)
	n.buildServers()
	return n
}

// TestWhereIsExplained checks the handler's answer, its errors, and that nothing is recorded.
func TestWhereIsExplained(t *testing.T) {
	n := explainedInstance()
	ask := func(query string) (*httptest.ResponseRecorder, admin.WhereAnswer) {
		w := httptest.NewRecorder()
		n.operators.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, admin.PathHostedWhere+"?"+query, nil))
		var answer admin.WhereAnswer
		if w.Code == http.StatusOK {
			if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
				t.Fatal(err)
			}
		}
		return w, answer
	}
	if w, _ := ask("host=a&path=/"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: status %d", w.Code)
	}
	model := enginemodel.Model{Slots: 16, MemoryTokens: 232_000, Step: time.Millisecond, PrefillRate: 206_000, Chunk: 2048, Stride: 43}
	n.state.SetConfiguration(&deployment.Configuration{
		Version: 4,
		Routes: []deployment.Route{{Name: "generate", Host: "api.example", Prefix: "/v1/", Kind: deployment.Stream, FirstAnswer: 300 * time.Millisecond,
			Targets: []deployment.Target{{Service: "llm", Weight: 3}, {Service: "empty", Weight: 1}}}},
		Services: map[string]deployment.Service{"llm": {Name: "llm", Engine: &model}, "empty": {Name: "empty"}},
		Keys:     map[string]deployment.Workspace{"key": {Name: "school", Priority: deployment.NoPriority}},
	}, time.Now())
	n.state.ReplaceUpstreams([]deployment.Upstream{
		{ID: "e0", Service: "llm", Address: "e0", DataCentre: "dc0", Slots: 16}, {ID: "e1", Service: "llm", Address: "e1", DataCentre: "dc0", Leaving: true},
	}, deployment.Revision{Number: 1}, time.Now())
	_, answer := ask("host=API.example:443&path=/v1/x&workspace=school&prompt=5000&output=400&max_output=800&deadline=5s")
	if len(answer.Services) != 2 {
		t.Fatalf("answer %+v, want two services", answer)
	}
	llm, empty := answer.Services[0], answer.Services[1]
	if answer.Instance != "i0" || answer.Route != "generate" || llm.Upstream != "e0" || llm.FirstToken <= 0 || llm.Home != "" ||
		len(llm.Candidates) != 1 || llm.RuledOut != (admin.WhereRuledOut{Leaving: 1}) || llm.ConfigVersion != 4 || llm.Weight != 3 {
		t.Errorf("answer %+v", answer)
	}
	if empty.Upstream != "" || empty.Reason != "no-upstream" || empty.RetryAfter <= 0 {
		t.Errorf("explanation %+v for a service without upstreams", empty)
	}
	for _, up := range n.planner.Dump(time.Now()) {
		if up.Jobs != 0 {
			t.Errorf("%d jobs recorded on %s", up.Jobs, up.ID)
		}
	}
	for query, want := range map[string]string{
		"host=other&path=/v1/x":                              "no route has host",
		"host=api.example&path=/v2":                          "no route has host",
		"host=api.example&path=/v1/x&workspace=unknown":      "no workspace is named",
		"host=api.example&path=/v1/x&prompt=many":            "not a number of tokens",
		"host=api.example&path=/v1/x&output=-1":              "not a number of tokens",
		"host=api.example&path=/v1/x&max_output=99999999999": "not a number of tokens",
		"host=api.example&path=/v1/x&deadline=10":            "not a positive duration",
	} {
		if w, _ := ask(query); w.Code == http.StatusOK || !strings.Contains(w.Body.String(), want) {
			t.Errorf("%s: status %d, %s, want %q", query, w.Code, w.Body, want)
		}
	}
}
