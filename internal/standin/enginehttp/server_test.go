package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/banyanroute/banyanroute/internal/standin/answer"
	"github.com/banyanroute/banyanroute/internal/standin/engine"
	"github.com/banyanroute/banyanroute/internal/standin/fault"
	"github.com/banyanroute/banyanroute/internal/upstream"
)

// testTimeScale reduces the duration of a step to some microseconds.
const testTimeScale = 1000

// fixture is an engine on a loopback port.
type fixture struct {
	url    string
	faults *fault.Switches
	engine *engine.Engine
	exits  chan int
}

func start(t *testing.T) *fixture {
	t.Helper()
	settings := engine.Default()
	settings.Models = []string{"m"}
	settings.TimeScale = testTimeScale
	f := &fixture{exits: make(chan int, 8)}
	f.faults = fault.New(func(code int) { f.exits <- code })
	f.engine = engine.New(settings, f.faults)
	server := httptest.NewServer(f.faults.Wrap(New(f.engine, f.faults)))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.engine.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done; server.CloseClientConnections(); server.Close() })
	f.url = server.URL
	return f
}

// post sends a generation request. The headers alternate names and values.
func (f *fixture) post(ctx context.Context, t *testing.T, body string, headers ...string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(req)
}

// receivedStream is the part of a stream that a client has read.
type receivedStream struct {
	text  string
	ids   []string
	usage *usage
	done  bool
	err   error
}

// read reads a stream until it ends or fails.
func read(t *testing.T, body io.Reader) receivedStream {
	t.Helper()
	var got receivedStream
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) {
				got.err = err
			}
			return got
		}
		line = strings.TrimRight(line, "\r\n")
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			got.ids = append(got.ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			got.done = true
			continue
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		for _, choice := range c.Choices {
			got.text += *choice.Text
		}
		got.usage = c.Usage
	}
}

// TestReadDropsIncompleteLine checks that read accepts a stream that ends within a
// line, as happens when the client cancels it.
func TestReadDropsIncompleteLine(t *testing.T) {
	got := read(t, strings.NewReader("id: 1\ndata: {\"choices\":[]}\n\nid: 2\ndata: {\"cho"))
	if got.done || got.err != nil || len(got.ids) != 2 {
		t.Errorf("got %+v", got)
	}
}

const streamBody = `{"model":"m","prompt":"hello","stream":true,"max_tokens":5}`

func TestStreamAndResume(t *testing.T) {
	f := start(t)
	resp, err := f.post(t.Context(), t, streamBody, upstream.HeaderRequestID, "o/1/a")
	if err != nil {
		t.Fatal(err)
	}
	got := read(t, resp.Body)
	if got.text != answer.Text(answer.HashOf("hello"), 5) || !got.done || strings.Join(got.ids, " ") != "1 2 3 4 5 6" || got.usage.CompletionTokens != 5 {
		t.Errorf("got %+v", got)
	}
	resp, err = f.post(t.Context(), t, `{}`, upstream.HeaderRequestID, "o/1/a", upstream.HeaderLastEventID, "3")
	if err != nil {
		t.Fatal(err)
	}
	if got := read(t, resp.Body); strings.Join(got.ids, " ") != "4 5 6" || !got.done {
		t.Errorf("resumed %+v", got)
	}
	resp, err = f.post(t.Context(), t, `{}`, upstream.HeaderRequestID, "o/1/b", upstream.HeaderLastEventID, "3")
	if err != nil || resp.StatusCode != http.StatusConflict || resp.Header.Get(upstream.HeaderNotRun) != "true" {
		t.Errorf("unknown stream: %v, %v", resp, err)
	}
}

func TestContinueFromAnotherEngine(t *testing.T) {
	f := start(t)
	body := fmt.Sprintf(`{"model":"m","prompt":"hello","stream":true,"max_tokens":5,"continuation":%q}`, answer.Text(answer.HashOf("hello"), 3))
	resp, err := f.post(t.Context(), t, body, upstream.HeaderRequestID, "o/1/a", upstream.HeaderContinueFrom, "3")
	if err != nil {
		t.Fatal(err)
	}
	got := read(t, resp.Body)
	want := answer.Token(answer.HashOf("hello"), 4) + answer.Token(answer.HashOf("hello"), 5)
	if got.text != want || strings.Join(got.ids, " ") != "4 5 6" || !got.done {
		t.Errorf("continued %+v", got)
	}
	if sum := f.engine.Record(nil); sum.GeneratedTokens != 2 {
		t.Errorf("generated %d tokens, want 2", sum.GeneratedTokens)
	}
}

func TestUnstreamedChatAnswer(t *testing.T) {
	f := start(t)
	body := `{"model":"m","messages":[{"content":"hel"},{"content":"lo"}],"max_completion_tokens":3}`
	resp, err := http.Post(f.url+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	var got completion
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.Choices[0].Message.Content != answer.Text(answer.HashOf("hello"), 3) || got.Usage.TotalTokens != 5 {
		t.Errorf("got %+v", got)
	}
}

func TestRefusedRequestsAndLostAnswers(t *testing.T) {
	f := start(t)
	f.faults.Set(fault.Faults{Refuse: true})
	resp, err := f.post(t.Context(), t, streamBody)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(upstream.HeaderNotRun) != "true" {
		t.Errorf("refused: %v, %v", resp, err)
	}
	f.faults.Set(fault.Faults{LoseAnswers: 1})
	if _, err := f.post(t.Context(), t, `{"model":"m","prompt":"x"}`); err == nil {
		t.Error("answer was not lost")
	}
	if sum := f.engine.Record(nil); sum.Started != 1 || sum.GeneratedTokens != defaultMaxTokens {
		t.Errorf("request with a lost answer did not run: %+v", sum)
	}
}

func TestDroppedStreamCanBeResumed(t *testing.T) {
	f := start(t)
	f.faults.Set(fault.Faults{DropStreams: 1, DropAfterTokens: 2})
	resp, err := f.post(t.Context(), t, streamBody, upstream.HeaderRequestID, "o/1/a")
	if err != nil {
		t.Fatal(err)
	}
	if got := read(t, resp.Body); got.done || got.err == nil {
		t.Errorf("stream was not dropped: %+v", got)
	}
	resp, err = f.post(t.Context(), t, streamBody, upstream.HeaderRequestID, "o/1/a", upstream.HeaderLastEventID, "2", upstream.HeaderAttempt, "2")
	if err != nil {
		t.Fatal(err)
	}
	if got := read(t, resp.Body); !got.done || got.ids[0] != "3" {
		t.Errorf("resumed %+v", got)
	}
}

func TestStallOpenAffectsOnlyOpenStreams(t *testing.T) {
	f := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	body := `{"model":"m","prompt":"hello","stream":true,"max_tokens":100000}`
	resp, err := f.post(ctx, t, body, upstream.HeaderRequestID, "o/1/a")
	if err != nil {
		t.Fatal(err)
	}
	f.faults.Set(fault.Faults{StallOpen: true})
	other, err := f.post(t.Context(), t, streamBody, upstream.HeaderRequestID, "o/1/b")
	if err != nil {
		t.Fatal(err)
	}
	if got := read(t, other.Body); !got.done {
		t.Errorf("stream opened after the stall: %+v", got)
	}
	cancel()
	if got := read(t, resp.Body); got.done {
		t.Errorf("stalled stream ended after %d chunks", len(got.ids))
	}
	f.engine.Release("o/1/a")
}

func TestFreezeStopsWorkUntilCleared(t *testing.T) {
	f := start(t)
	f.faults.Set(fault.Faults{Freeze: true})
	answered := make(chan receivedStream)
	go func() {
		resp, err := f.post(t.Context(), t, streamBody)
		if err != nil {
			answered <- receivedStream{err: err}
			return
		}
		answered <- read(t, resp.Body)
	}()
	record, err := http.Get(f.url + "/standin/record")
	if err != nil || record.StatusCode != http.StatusOK {
		t.Errorf("GET /standin/record while frozen: %v, %v", record, err)
	}
	if sum := f.engine.Record(nil); sum.GeneratedTokens != 0 {
		t.Errorf("frozen engine generated tokens: %+v", sum)
	}
	f.faults.Set(fault.Faults{})
	if got := <-answered; !got.done {
		t.Errorf("after the freeze was cleared: %+v", got)
	}
}

func TestCrashMarkerEndsProcess(t *testing.T) {
	f := start(t)
	req, err := http.NewRequest(http.MethodPut, f.url+"/standin/faults", strings.NewReader(`{"crash_marker":"POISON"}`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := http.DefaultClient.Do(req); err != nil {
		t.Fatal(err)
	}
	for _, prompt := range []string{"fine", "some POISON here"} {
		resp, err := f.post(t.Context(), t, fmt.Sprintf(`{"model":"m","prompt":%q}`, prompt))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	if code := <-f.exits; code == 0 || len(f.exits) != 0 {
		t.Errorf("exit status %d and %d more exits, want a status other than 0 and no more exits", code, len(f.exits))
	}
}

func TestLoadReportListsOwnRequests(t *testing.T) {
	ids := []string{"i1/1/a", "i10/1/b", "i2/1/c", "i1/1/d"}
	if got := ownRequests(ids, "i1"); len(got) != 2 || got[0] != "i1/1/a" || got[1] != "i1/1/d" {
		t.Fatalf("got %v", got)
	}
	var many []string
	for range 100 {
		many = append(many, "i1/1/x")
	}
	if got := ownRequests(many, "i1"); len(got) != upstream.MaxReportRequests {
		t.Fatalf("listed %d", len(got))
	}
}
