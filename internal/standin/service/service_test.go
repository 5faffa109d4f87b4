package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/banyanroute/banyanroute/internal/standin/fault"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

func TestRecordCountsRunsByKey(t *testing.T) {
	faults := fault.New(func(int) {})
	s := New(Settings{Name: "orders"}, faults)
	post := func(key, id string) int {
		r := httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader("body"))
		r.Header.Set(headerIdempotencyKey, key)
		r.Header.Set(upstream.HeaderRequestID, id)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		return w.Code
	}
	post("k1", "r1")
	post("k1", "r2")
	post("", "r3")
	faults.Set(fault.Faults{Refuse: true})
	if code := post("k2", "r4"); code != http.StatusServiceUnavailable {
		t.Errorf("refused call answered with status %d", code)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/standin/record?repeated=true", nil))
	want := `{"name":"orders","runs":3,"max_concurrent":1,"runs_while_leaving":0,"calls":[` +
		`{"key":"k1","method":"POST","path":"/orders","request_ids":["r1","r2"],"runs":2}]}`
	if got := strings.TrimSpace(w.Body.String()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
