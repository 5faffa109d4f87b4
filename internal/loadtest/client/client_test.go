package client

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/loadtest/workload"
	"github.com/banyanroute/banyanroute/internal/standin/answer"
)

func testItem() workload.Item {
	return workload.Item{
		Number: 1, Kind: workload.Generate, WorkspaceKey: "k", Timeout: time.Minute, Stream: true,
		Prompt: workload.Prompt{Seed: 1, Tokens: 100}, OutputTokens: 3,
	}
}

// chunk returns a stream event with a part of the answer.
func chunk(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
}

const (
	finish = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}],\"usage\":{\"completion_tokens\":3}}\n\n"
	done   = "data: [DONE]\n\n"
)

// answerWith sends item to a server that answers with status, body and headers
// (alternating names and values), and returns the outcome.
func answerWith(t *testing.T, item workload.Item, status int, body string, headers ...string) Outcome {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	return New("m", "s", time.Second).Do(t.Context(), server.URL, item)
}

// TestStreams checks that a stream counts as complete only with all tokens in
// order, a finish reason and the end marker.
func TestStreams(t *testing.T) {
	prompt := testItem().Prompt.Hash()
	w := func(position int) string { return chunk(answer.Token(prompt, position)) }
	for name, c := range map[string]struct {
		body      string
		complete  bool
		violation bool
	}{
		"complete":           {w(1) + ": comment\n\n" + w(2) + w(3) + finish + done, true, false},
		"no end marker":      {w(1) + w(2) + w(3) + finish, false, false},
		"error event":        {w(1) + "data: {\"error\":{\"code\":3003}}\n\n", false, false},
		"gap":                {w(1) + w(3) + finish + done, false, true},
		"duplicate":          {w(1) + w(1) + w(2) + w(3) + finish + done, false, true},
		"short":              {w(1) + w(2) + finish + done, false, true},
		"other answer":       {chunk(answer.Token(answer.HashOf("x"), 1)), false, true},
		"no finish reason":   {w(1) + w(2) + w(3) + done, false, true},
		"one token too many": {w(1) + w(2) + w(3) + w(4) + finish + done, false, true},
	} {
		out := answerWith(t, testItem(), http.StatusOK, c.body)
		if out.Complete != c.complete || (out.Violation != "") != c.violation || c.complete == (out.Failure+out.Violation != "") {
			t.Errorf("%s: %+v", name, out)
		}
	}
}

// FuzzStream checks that each stream is either complete or has a failure or
// violation, and that it is complete only with all tokens and an end marker.
func FuzzStream(f *testing.F) {
	prompt := testItem().Prompt.Hash()
	tokens := ""
	for i := range 3 {
		tokens += chunk(answer.Token(prompt, i+1))
	}
	f.Add(tokens + finish + done)
	f.Add(tokens + done)
	f.Add("event: error\ndata: {}\n\n")
	f.Add("data: [DONE]")
	f.Fuzz(func(t *testing.T, body string) {
		var out Outcome
		out.readStream(strings.NewReader(body), testItem(), prompt, time.Now())
		if out.Complete == (out.Failure+out.Violation != "") {
			t.Fatalf("got %+v, want either a complete answer or a failure or violation", out)
		}
		if out.Complete && (out.Tokens != testItem().OutputTokens || !strings.Contains(body, endMarker)) {
			t.Fatalf("complete without all tokens and the end marker: %+v", out)
		}
	})
}

func TestWholeAnswers(t *testing.T) {
	it := testItem()
	it.Stream = false
	body := func(text string) string {
		return fmt.Sprintf(`{"choices":[{"message":{"content":%q},"finish_reason":"length"}]}`, text)
	}
	text := answer.Text(it.Prompt.Hash(), 3)
	if out := answerWith(t, it, http.StatusOK, body(text)); !out.Complete || out.Tokens != 3 {
		t.Errorf("complete answer: %+v", out)
	}
	if out := answerWith(t, it, http.StatusOK, body(text[:len(text)-2])); out.Violation == "" {
		t.Errorf("short answer: %+v", out)
	}
}

func TestResultCodeHeaders(t *testing.T) {
	out := answerWith(t, testItem(), http.StatusServiceUnavailable, "{}", headerResultCode, "2001", headerExecution, "not-run", "Retry-After", "2", headerRequestID, "r")
	if out.ResultCode != 2001 || out.Execution != "not-run" || out.RetryAfter != 2*time.Second || out.RequestID != "r" || out.Complete {
		t.Errorf("got %+v", out)
	}
}

// TestRequestsOnTheWire checks method, path, headers and body of the requests that
// an instance receives.
func TestRequestsOnTheWire(t *testing.T) {
	type received struct {
		path, key, timeout, auth, body string
		length                         int64
	}
	var got received
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = received{r.Method + " " + r.URL.Path, r.Header.Get(headerIdempotencyKey), r.Header.Get(headerTimeout), r.Header.Get("Authorization"), string(body), r.ContentLength}
	}))
	defer server.Close()
	c := New("m", "booking", time.Second)
	c.Do(t.Context(), server.URL, testItem())
	if got.path != "POST /v1/chat/completions" || got.timeout != "1m0s" || got.auth != "Bearer k" || int64(len(got.body)) != got.length || !strings.Contains(got.body, `"max_tokens":3`) {
		t.Errorf("generate: %+v", got)
	}
	c.Do(t.Context(), server.URL, workload.Item{Number: 4, Kind: workload.Post, WorkspaceKey: "k", Timeout: time.Minute, IdempotencyKey: "id"})
	if got.path != "POST /services/booking/items/4" || got.key != "id" {
		t.Errorf("post: %+v", got)
	}
}

func TestRejectsNonLoopbackAddress(t *testing.T) {
	out := New("m", "s", time.Second).Do(t.Context(), "http://192.0.2.1:80", testItem())
	if out.Status != 0 || out.Failure == "" {
		t.Errorf("got %+v", out)
	}
}
