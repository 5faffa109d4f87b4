package passthrough

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanroute/banyanroute/internal/deployment"
)

// TestStalledCallersHoldNothing checks that callers that send or read a byte now and then
// hold no place past their deadline, and that the instance closes their connections.
func TestStalledCallersHoldNothing(t *testing.T) {
	large := strings.Repeat("x", 1<<16)
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/answer" {
			_, _ = io.WriteString(w, strings.Repeat(large, 200))
			return
		}
		for i := 1; r.Context().Err() == nil && i < 1000; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, large)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(u.Close)
	for name, c := range map[string]struct {
		kind deployment.Kind
		// send sends a request and goes on until the connection ends.
		send func(conn net.Conn)
	}{
		"stream is not read": {deployment.Stream, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: app.example\r\nContent-Length: 1\r\n\r\nx")
			trickle(conn, func() error { _, err := conn.Read(make([]byte, 1)); return err })
		}},
		"answer is not read": {deployment.Idempotent, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "POST /answer HTTP/1.1\r\nHost: app.example\r\nContent-Length: 1\r\n\r\nx")
			trickle(conn, func() error { _, err := conn.Read(make([]byte, 1)); return err })
		}},
		"body trickles": {deployment.Idempotent, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: app.example\r\nContent-Length: 1000\r\n\r\n")
			trickle(conn, func() error { _, err := conn.Write([]byte("x")); return err })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			placer := &panickingPlacer{open: map[string]bool{}}
			h := newTestHandler(c.kind, plainCodec{}, placer, nil, u.URL)
			done := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(done)
				h.ServeHTTP(w, r)
			}))
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			go c.send(conn)
			select {
			case <-done:
			case <-time.After(5*time.Second + 2*writeGrace): // the route's timeout and some
				t.Error("the request has not ended")
			}
			conn.Close()
			server.Close()
			if placer.mu.Lock(); len(placer.open) > 0 {
				t.Errorf("places %v are held", placer.open)
			}
			placer.mu.Unlock()
		})
	}
}

// trickle calls f now and then until it fails.
func trickle(conn net.Conn, f func() error) {
	_ = conn.(*net.TCPConn).SetReadBuffer(1 << 12)
	for f() == nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// TestDeadlineOfAnAnswerDoesNotOutliveIt checks that the next request on a connection is
// answered although the deadline for writing the last answer has passed.
func TestDeadlineOfAnAnswerDoesNotOutliveIt(t *testing.T) {
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer u.Close()
	server := httptest.NewServer(newTestHandler(deployment.Idempotent, plainCodec{}, &scriptedPlacer{single: true}, nil, u.URL))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, pause := range []time.Duration{5*time.Second + writeGrace + 100*time.Millisecond, 0} {
		_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: app.example\r\n\r\n")
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		time.Sleep(pause)
	}
}
