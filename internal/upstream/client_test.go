package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// TestFreshCallIsWrittenOnce checks that a call with an Idempotency-Key is not
// repeated behind our back: net/http repeats such a call on another connection
// when a reused one breaks before the answer.
func TestFreshCallIsWrittenOnce(t *testing.T) {
	for _, fresh := range []bool{true, false} {
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
		c := NewClient(Options{})
		warm, err := c.Do(t.Context(), Call{Method: "GET", URL: server.URL + "/warm", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, warm.Body)
		warm.Body.Close()
		_, err = c.Do(t.Context(), Call{
			Method: "POST", URL: server.URL + "/book", Fresh: fresh,
			Header: http.Header{"Idempotency-Key": {"k"}}, Body: [][]byte{[]byte("slot")},
		})
		if !errors.Is(err, ErrLost) {
			t.Errorf("fresh %t: got %v, want ErrLost", fresh, err)
		}
		if fresh && calls.Load() != 1 {
			t.Errorf("the call was written %d times", calls.Load())
		}
		if !fresh && calls.Load() < 2 {
			t.Logf("net/http no longer repeats on reused connections (%d calls)", calls.Load())
		}
		c.Close()
		server.Close()
	}
}

// TestNotSentNeedsProof checks that only a failure to connect counts as not
// sent.
func TestNotSentNeedsProof(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	c := NewClient(Options{})
	defer c.Close()
	_, err = c.Do(t.Context(), Call{Method: "GET", URL: "http://" + address, Header: http.Header{}})
	if !errors.Is(err, ErrNotSent) {
		t.Fatalf("refused connection: got %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		cancel()
		<-t.Context().Done()
	}))
	server.Config.SetKeepAlivesEnabled(false)
	_, err = c.Do(ctx, Call{Method: "POST", URL: server.URL, Header: http.Header{}, Body: [][]byte{[]byte("x")}})
	if !errors.Is(err, ErrLost) {
		t.Fatalf("cancelled after sending: got %v", err)
	}
	server.CloseClientConnections()
}

// readAll reads a stream to its end.
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

func TestEventReader(t *testing.T) {
	events, err := readAll(": comment\nid: 1\ndata: {\"a\":1}\n\nid: 2\r\ndata: x\r\ndata: y\r\n\r\ndata: [DONE]\n\n")
	if err != nil || len(events) != 2 {
		t.Fatalf("got %v, %v", events, err)
	}
	if events[0].Position != 1 || string(events[0].Data) != `{"a":1}` || string(events[1].Data) != "x\ny" {
		t.Fatalf("got %+v", events)
	}
	if _, err := readAll("id: 1\ndata: x\n\n"); !errors.Is(err, ErrStreamEnded) {
		t.Fatalf("no end marker: got %v", err)
	}
	if _, err := readAll("event: error\ndata: out of memory\n\ndata: [DONE]\n\n"); !errors.Is(err, ErrLost) {
		t.Fatalf("error event: got %v", err)
	}
	if _, err := readAll("id: x\ndata: y\n\n"); !errors.Is(err, ErrLost) {
		t.Fatalf("bad ID: got %v", err)
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: {}\n\ndata: [DONE]\n\n")
	f.Add("event: error\ndata:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := readAll(text)
		if err == nil && !strings.Contains(text, endMarker) {
			t.Fatalf("complete without an end marker: %v", events)
		}
	})
}
