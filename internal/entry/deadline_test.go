package entry

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
)

// TestWriteDeadlineDoesNotOutliveItsAnswer checks that a later request on a connection is
// answered although the deadline for writing a generation's answer has passed.
func TestWriteDeadlineDoesNotOutliveItsAnswer(t *testing.T) {
	f := newFixture(t)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	const timeout = time.Second
	for _, path := range []string{chatPath, "/v1/models"} {
		method, body := http.MethodGet, ""
		if path == chatPath {
			method, body = http.MethodPost, `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
		}
		req, err := http.NewRequestWithContext(t.Context(), method, f.server.URL+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+alphaKey)
		req.Header.Set(HeaderTimeout, timeout.String())
		if err := req.Write(conn); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(reader, req)
		if err != nil {
			t.Fatalf("%s: no answer: %v", path, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if path == chatPath {
			time.Sleep(timeout + writeGrace + 100*time.Millisecond)
		}
	}
}

// TestCallerThatDoesNotReadHoldsNothing checks that a call of a service ends, and gives back
// what it holds, although its caller does not read the answer.
func TestCallerThatDoesNotReadHoldsNothing(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 7<<20))
	}))
	defer service.Close()
	h := newHandler(t, newSnapshot(t, "http://e", service.URL), "http://e", service.URL)
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(done)
		h.ServeHTTP(w, r)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(1 << 12)
	const timeout = time.Second
	_, _ = fmt.Fprintf(conn, "GET /services/bookings/slots HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s: %s\r\n\r\n", alphaKey, HeaderTimeout, timeout)
	select {
	case <-done:
	case <-time.After(timeout + writeGrace + 5*time.Second):
		t.Error("the call has not ended")
	}
}
