package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/result"
)

// TestExplanationIsShown checks the query of the command, its table, and that a service whose home
// does not explain ends it with an error although the others are shown.
func TestExplanationIsShown(t *testing.T) {
	var query string
	answer := admin.WhereAnswer{Instance: "i0", Route: "generate", Services: []admin.WhereService{{
		Service: "llm", Weight: 1, Home: "i3", Upstream: "e1", Helpers: []string{"e2", "e4"}, FirstToken: 0.4567,
		Candidates: []admin.WhereCandidate{{Upstream: "e1", DataCentre: "dc0", FirstToken: 0.5, Cost: 0.25}, {Upstream: "e7", Cost: 1}},
		RuledOut:   admin.WhereRuledOut{Leaving: 1, Evacuated: 2, Paused: 3, Cold: 4, Limited: 5, NoSlot: 6, NoMemory: 7}, ConfigVersion: 9, ConfigAge: 61, ListAge: 0.25,
	}}}
	fail := false
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+admin.PathHostedWhere, func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.RawQuery
		if fail {
			admin.WriteError(w, result.New(result.UnknownRoute, "no route has host %q", "x"))
			return
		}
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			t.Error(err)
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	d := &deployment{t: t, urls: []string{server.URL}}
	args := []string{"where", "--host", "api.example", "--path", "/v1/x", "--workspace", "school", "--prompt", "45000", "--output", "400", "--max-output", "800", "--deadline", "10s"}
	const want = `ROUTE generate
INSTANCE i0

SERVICE llm (weight 1)
HOME i3
UPSTREAM e1
HELPERS e2,e4
FIRST TOKEN 457ms
RULED OUT leaving 1, evacuated 2, paused or down 3, cold 4, limited 5, no free slot 6, no memory 7
CONFIGURATION version 9, 1m1s old
LIST 250ms old
CANDIDATE DATA CENTRE FIRST TOKEN COST
e1 dc0 500ms 0.250
e7 - unknown 1.000
`
	code, out, errOut := d.run(0, args...)
	got := regexp.MustCompile(`(?m) +$`).ReplaceAllString(regexp.MustCompile(` +`).ReplaceAllString(out, " "), "")
	if code != exitOK || got != want {
		t.Errorf("exit code %d, %s%s, want %s", code, got, errOut, want)
	}
	if query != "deadline=10s&host=api.example&max_output=800&output=400&path=%2Fv1%2Fx&prompt=45000&workspace=school" {
		t.Errorf("query %s", query)
	}
	d.want(exitOK, `"ruled_out"`, 0, append(args, "-o", "json")...)
	answer.Services = append(answer.Services, admin.WhereService{Service: "old", Home: "i5", Error: "the home is of a build that cannot explain"})
	if code, out, errOut := d.run(0, args...); code != exitUnavailable || !strings.Contains(out, "e7") || !strings.Contains(errOut, "from i5: the home is of a build") {
		t.Errorf("exit code %d, %s%s", code, out, errOut)
	}
	answer.Services = []admin.WhereService{{Service: "llm", Reason: "too-late", RetryAfter: 1.5}}
	d.want(exitOK, "too-late, retry after 1.5s", 0, args...)
	fail = true
	d.want(exitFailure, "no route has host", 0, args...)
	d.want(exitUnavailable, "no instance is reachable", 0, append(args, "--address", "127.0.0.1:1")...)
}
