package platformd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanroute/banyanroute/internal/platform"
)

// call sends a request to the handler and decodes the answer into out.
func call(t *testing.T, s *Server, method, path, body string, out any) int {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if out != nil && w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
	}
	return w.Code
}

func TestTableAndObjects(t *testing.T) {
	s := New(Settings{})
	var res platform.TxnResult
	call(t, s, http.MethodPost, "/table/commit", `{"id":"t1","writes":[{"key":"a/1","value":"aGk="}]}`, &res)
	if !res.Committed || res.Rows[0].WriteID != "t1" {
		t.Errorf("first commit: %+v", res)
	}
	call(t, s, http.MethodPost, "/table/commit", `{"id":"t2","conditions":[{"key":"a/1","version":0}],"writes":[{"key":"a/1"}]}`, &res)
	if res.Committed || string(res.Rows[0].Value) != "hi" {
		t.Errorf("commit with a failed condition: %+v", res)
	}
	var rows rowsAnswer
	call(t, s, http.MethodPost, "/table/read", `{"keys":["a/1","b"]}`, &rows)
	if len(rows.Rows) != 2 || rows.Rows[1].Version != 0 {
		t.Errorf("read: %+v", rows)
	}
	call(t, s, http.MethodPost, "/table/scan", `{"prefix":"a/","limit":5}`, &rows)
	if len(rows.Rows) != 1 {
		t.Errorf("scan: %+v", rows)
	}
	if code := call(t, s, http.MethodPut, "/objects/x/y", "data", nil); code != http.StatusNoContent {
		t.Errorf("PUT answered with status %d", code)
	}
	call(t, s, http.MethodDelete, "/objects/x/y", "", nil)
	if code := call(t, s, http.MethodGet, "/objects/x/y", "", nil); code != http.StatusNotFound {
		t.Errorf("GET of a deleted object answered with status %d", code)
	}
}

func TestOutageAndLostAnswer(t *testing.T) {
	s := New(Settings{})
	server := httptest.NewServer(s)
	defer server.Close()
	call(t, s, http.MethodPut, "/standin/faults", `{"lose_answers":1}`, nil)
	resp, err := http.Post(server.URL+"/table/commit", "application/json", strings.NewReader(`{"id":"t","writes":[{"key":"k"}]}`))
	if err == nil {
		t.Errorf("answer was not lost: %v", resp.Status)
	}
	var rows rowsAnswer
	call(t, s, http.MethodPost, "/table/read", `{"keys":["k"]}`, &rows)
	if rows.Rows[0].WriteID != "t" {
		t.Errorf("write had no effect: %+v", rows)
	}
	call(t, s, http.MethodPut, "/standin/faults", `{"down":true}`, nil)
	for _, path := range []string{"/live", "/weights/m/1", "/objects/k"} {
		if code := call(t, s, http.MethodGet, path, "", nil); code != http.StatusServiceUnavailable {
			t.Errorf("%s answered with status %d during an outage", path, code)
		}
	}
}

func TestLiveListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{LiveLag: 2 * time.Second})
		var got liveAnswer
		want := func(n int) {
			t.Helper()
			call(t, s, http.MethodGet, "/live", "", &got)
			if len(got.Instances) != n {
				t.Errorf("live list %+v, want %d entries", got.Instances, n)
			}
		}
		call(t, s, http.MethodPut, "/standin/live/e1", `{"role":"upstream"}`, nil)
		want(0)
		time.Sleep(2 * time.Second)
		want(1)
		if got.Instances[0].ID != "e1" || got.Instances[0].Phase != platform.Live {
			t.Errorf("entry %+v", got.Instances[0])
		}
		call(t, s, http.MethodDelete, "/standin/live/e1", "", nil)
		want(1)
		time.Sleep(2 * time.Second)
		want(0)
	})
}

func TestWeightStoreLimitsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{WeightRate: 100})
		call(t, s, http.MethodPut, "/standin/weights/m/1", `{"size":250}`, nil)
		want := func(path string, code int) {
			t.Helper()
			if got := call(t, s, http.MethodGet, path, "", nil); got != code {
				t.Errorf("%s answered with status %d, want %d", path, got, code)
			}
		}
		want("/weights/m/2", http.StatusNotFound)
		want("/weights/m/1", http.StatusOK)
		want("/weights/m/1", http.StatusTooManyRequests)
		time.Sleep(2500 * time.Millisecond)
		want("/weights/m/1", http.StatusOK)
	})
}
