package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/standin/lateanswer"
	"github.com/banyanroute/banyanroute/internal/standin/rawtcp"
)

// TestCallIsWrittenOnce checks that a call with an Idempotency-Key is sent only once:
// net/http retries such a call on another connection when a reused one breaks before the
// answer.
func TestCallIsWrittenOnce(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/warm" {
			return
		}
		calls.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	defer server.Close()
	c := NewClient(Options{})
	warm, err := c.Do(t.Context(), Call{Method: "GET", URL: server.URL + "/warm", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, warm.Body)
	warm.Body.Close()
	_, err = c.Do(t.Context(), Call{
		Method: "POST", URL: server.URL + "/book",
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: [][]byte{[]byte("slot")},
	})
	if !errors.Is(err, ErrLost) {
		t.Errorf("got %v, want ErrLost", err)
	}
	if calls.Load() != 1 {
		t.Errorf("the call was written %d times, want 1", calls.Load())
	}
}

// TestAnswerResetDuringUploadIsLost guards against an answer without a length counting as whole though
// its connection was reset while the call was being written.
func TestAnswerResetDuringUploadIsLost(t *testing.T) {
	early := rawtcp.EarlyAnswer{Text: "HTTP/1.1 200 OK\r\n\r\npart", Read: 64 << 10, Pause: time.Millisecond}
	for _, whole := range []bool{false, true} {
		early.Whole = whole
		c, address := NewClient(Options{}), early.Serve(t)
		for range 12 {
			call := Call{Method: "POST", URL: "http://" + address + "/x", Header: http.Header{}, Body: [][]byte{make([]byte, 6<<20)}}
			res, err := c.Do(t.Context(), call)
			var data []byte
			if err == nil {
				data, err = io.ReadAll(res.Body)
				res.Body.Close()
			}
			if (err == nil) != whole {
				t.Fatalf("ended in order %t: got %q, %v", whole, data, err)
			}
		}
	}
}

// TestMalformedAnswerIsLost guards against bytes with an impossible status or a malformed field being
// returned as an answer.
func TestMalformedAnswerIsLost(t *testing.T) {
	c := NewClient(Options{})
	for name, text := range rawtcp.MalformedAnswers {
		call := Call{Method: "POST", URL: "http://" + rawtcp.EarlyAnswer{Text: text, Whole: true}.Serve(t), Header: http.Header{}}
		if res, err := c.Do(t.Context(), call); !errors.Is(err, ErrLost) {
			t.Errorf("%s: got %v, %v", name, res, err)
		}
	}
}

// TestErrNotSentOnlyWithoutConnection checks that only a failure to connect is
// reported as ErrNotSent; a call cancelled after it was sent is ErrLost.
func TestErrNotSentOnlyWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	c := NewClient(Options{})
	_, err = c.Do(t.Context(), Call{Method: "GET", URL: "http://" + address, Header: http.Header{}})
	if !errors.Is(err, ErrNotSent) {
		t.Fatalf("refused connection: got %v, want ErrNotSent", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		cancel()
		<-t.Context().Done()
	}))
	server.Config.SetKeepAlivesEnabled(false)
	_, err = c.Do(ctx, Call{Method: "POST", URL: server.URL, Header: http.Header{}, Body: [][]byte{[]byte("x")}})
	if !errors.Is(err, ErrLost) {
		t.Fatalf("cancelled after sending: got %v, want ErrLost", err)
	}
	server.CloseClientConnections()
}

// readAll returns the events of a stream up to its end marker.
func readAll(text string) (events []Event, err error) {
	r := NewEventReader(strings.NewReader(text))
	for {
		event, err := r.Next()
		if err != nil || event.End {
			return events, err
		}
		event.Data = append([]byte(nil), event.Data...)
		events = append(events, event)
	}
}

// TestEventReader checks comments, line ends, multi-line data, and the errors of
// streams that end without their end marker, by an error event or a bad ID.
func TestEventReader(t *testing.T) {
	events, err := readAll(": comment\nid: 1\ndata: {\"a\":1}\n\nid: 2\r\ndata: x\r\ndata: y\r\n\r\ndata: [DONE]\n\n")
	if err != nil || len(events) != 2 {
		t.Fatalf("got %v, %v", events, err)
	}
	if events[0].Position != 1 || string(events[0].Data) != `{"a":1}` || string(events[1].Data) != "x\ny" {
		t.Fatalf("got %+v", events)
	}
	if _, err := readAll("id: 1\ndata: x\n\n"); !errors.Is(err, ErrStreamEnded) {
		t.Fatalf("no end marker: got %v, want ErrStreamEnded", err)
	}
	if _, err := readAll("event: error\ndata: out of memory\n\ndata: [DONE]\n\n"); !errors.Is(err, ErrLost) {
		t.Fatalf("error event: got %v, want ErrLost", err)
	}
	if _, err := readAll("id: x\ndata: y\n\n"); !errors.Is(err, ErrLost) {
		t.Fatalf("bad ID: got %v, want ErrLost", err)
	}
}

// FuzzEventReader checks that a stream without an end marker is never reported as
// complete.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: {}\n\ndata: [DONE]\n\n")
	f.Add("event: error\ndata:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := readAll(text)
		if err == nil && !strings.Contains(text, endMarker) {
			t.Fatalf("stream without an end marker reported as complete: %v", events)
		}
	})
}

// TestLateSecondAnswerReachesNoOtherCaller checks that a call never gets a second copy of
// the answer to an earlier one that an upstream sends late, when the next call has arrived.
func TestLateSecondAnswerReachesNoOtherCaller(t *testing.T) {
	address := lateanswer.Start(t, false, func(r *http.Request) string { return "answer to " + r.URL.Path })
	c := NewClient(Options{})
	for i := range 3 {
		path := fmt.Sprint("/", i)
		res, err := c.Do(t.Context(), Call{Method: http.MethodGet, URL: "http://" + address + path, Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if want := "answer to " + path; err != nil || string(body) != want {
			t.Errorf("call %d got %q, %v; want %q", i, body, err, want)
		}
	}
}

// TestLateSecondAnswerIsNoAnswerToControlCall checks the same for control calls.
func TestLateSecondAnswerIsNoAnswerToControlCall(t *testing.T) {
	address := lateanswer.Start(t, false, func(r *http.Request) string {
		return `{"boot":"` + r.URL.Query().Get("after") + `"}`
	})
	c := NewClient(Options{})
	for after := range uint64(3) {
		if e, err := c.Events(t.Context(), "http://"+address, after); err != nil || e.Boot != fmt.Sprint(after) {
			t.Errorf("call %d got the answer to %s, %v", after, e.Boot, err)
		}
	}
}
