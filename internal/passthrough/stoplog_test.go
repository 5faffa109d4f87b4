package passthrough

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// TestLinesOfAStopTellWhenRequestsWereReadChosenAndCut guards against log lines that can't tell a
// request that was taken too late in a graceful shutdown from one whose body or place came late.
func TestLinesOfAStopTellWhenRequestsWereReadChosenAndCut(t *testing.T) {
	hook := logtest.NewLocal(log.Logger)
	defer log.Logger.ReplaceHooks(logrus.LevelHooks{})
	ending, end := context.WithCancel(t.Context())
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a server notices that its caller leaves only after the body
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		end()
		<-r.Context().Done()
	}))
	defer upstream.Close()
	h := newTestHandler(deployment.Stream, plainCodec{}, &scriptedPlacer{}, nil, upstream.URL)
	began := time.Now().Add(-2 * time.Second)
	h.opts.Stop = func() *Stop {
		return &Stop{Began: began, Grace: 40 * time.Second, NewUntil: began.Add(3 * time.Second), End: began.Add(39 * time.Second)}
	}
	h.opts.Ending = ending

	const bodyTime = 60 * time.Millisecond
	body, writer := io.Pipe()
	go func() {
		time.Sleep(bodyTime)
		fmt.Fprint(writer, "body")
		writer.Close()
	}()
	r := httptest.NewRequest(http.MethodPost, "/x", body)
	r.Host = "app.example"
	func() {
		defer func() { _ = recover() }() // http.ErrAbortHandler if an event was relayed before the end
		h.ServeHTTP(httptest.NewRecorder(), r)
	}()

	line := hook.LastEntry()
	if line == nil || !strings.HasPrefix(line.Message, "request failed") {
		t.Fatalf("no line about the cut request: %v", line)
	}
	if line.Data["stop_grace_ms"] != int64(40_000) {
		t.Errorf("stop_grace_ms is %v", line.Data["stop_grace_ms"])
	}
	steps := []string{"stop_arrived_ms", "stop_read_ms", "stop_chosen_ms", "stop_sent_ms", "stop_ended_ms"}
	last := int64(2000)
	for _, step := range steps {
		ms, ok := line.Data[step].(int64)
		if !ok || ms < last {
			t.Errorf("%s is %v, the step before was at %d ms", step, line.Data[step], last)
		}
		last = max(last, ms)
	}
	if read, arrived := line.Data["stop_read_ms"].(int64), line.Data["stop_arrived_ms"].(int64); read-arrived < bodyTime.Milliseconds() {
		t.Errorf("read %d ms after it arrived, its body took %s", read-arrived, bodyTime)
	}
	if outcomes := h.StopOutcomes(); outcomes["cut"] != int64(1) || outcomes["refused"] != int64(0) {
		t.Errorf("outcomes are %v", outcomes)
	}
}
