package passthrough

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// serveUntilEnd serves h, opens a connection to it, and returns both with a function that ends the
// grace period.
func serveUntilEnd(t *testing.T, h *Handler) (server *httptest.Server, conn net.Conn, end context.CancelFunc) {
	t.Helper()
	h.opts.Ending, end = context.WithCancel(t.Context())
	server = httptest.NewServer(h)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	return server, conn, end
}

// TestHalfABodyAtTheEndOfAStopIsRefused guards against connections that are closed without an answer
// because the body of their request has not arrived when the grace period ends.
func TestHalfABodyAtTheEndOfAStopIsRefused(t *testing.T) {
	for _, head := range []string{"Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		h := newTestHandler(deployment.Stream, plainCodec{}, &scriptedPlacer{}, nil, "http://127.0.0.1:1")
		server, conn, end := serveUntilEnd(t, h)
		fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: app.example\r\n%s", head)
		time.AfterFunc(50*time.Millisecond, end)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%q: no answer: %v", head, err)
		} else if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", res.StatusCode, res.Header.Get("Retry-After"))
		}
		conn.Close()
		server.CloseClientConnections()
		server.Close()
	}
}

// TestBodyCompleteAtTheEndOfAStopIsAnswered guards against connections that are closed without an
// answer because the body of their request is complete at the moment at which the grace period ends.
func TestBodyCompleteAtTheEndOfAStopIsAnswered(t *testing.T) {
	const rounds = 2000
	unanswered := 0
	for i := range rounds {
		h := newTestHandler(deployment.Stream, plainCodec{}, &scriptedPlacer{}, nil, "http://127.0.0.1:1")
		now := time.Now()
		h.opts.Stop = func() *Stop { return &Stop{Began: now, NewUntil: now, End: now} }
		server, conn, end := serveUntilEnd(t, h)
		fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: app.example\r\nContent-Length: 8\r\n\r\nhalf")
		time.Sleep(time.Millisecond)
		go func() {
			time.Sleep(time.Duration(i%50) * time.Microsecond)
			end()
		}()
		fmt.Fprint(conn, "half")
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			unanswered++
		} else if res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d, want a refusal", res.StatusCode)
		}
		conn.Close()
		server.Close()
	}
	if unanswered > 0 {
		t.Errorf("%d of %d requests got no answer", unanswered, rounds)
	}
}
