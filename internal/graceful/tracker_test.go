package graceful

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// serveWithin serves a test server with a capacity.
func serveWithin(t *testing.T, c Capacity) *testServer {
	t.Helper()
	s := newTestServer(t, false)
	s.SetLimits(func() Limits { return Limits{Header: time.Minute, Idle: time.Minute} })
	s.SetCapacity("test", c)
	go s.Serve(func(err error) { t.Errorf("Serve failed with %v", err) })
	return s
}

// expectStatus reads the head of one answer.
func (c *client) expectStatus(t *testing.T, want int) {
	t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil || res.StatusCode != want {
		t.Fatalf("got %+v, %v; want status %d", res, err, want)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	res.Body.Close()
}

// expectEnd checks that the connection ends without an answer.
func (c *client) expectEnd(t *testing.T, what string) {
	t.Helper()
	if _, err := c.reader.ReadByte(); err == nil || errors.Is(err, io.ErrNoProgress) || isTimeout(err) {
		t.Errorf("%s: got %v, want the end of the connection", what, err)
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// headOf returns a head of size bytes.
func headOf(size int) string {
	begin, end := line+"Host: x\r\nX: ", "\r\n\r\n"
	return begin + strings.Repeat("x", size-len(begin)-len(end)) + end
}

// TestHeadLimitIsExactAndChanges guards against a limit of heads that is larger than the configured one,
// that counts bodies or earlier requests, or that is fixed when the server starts.
func TestHeadLimitIsExactAndChanges(t *testing.T) {
	const small, large = 5000, 20_000
	var limit atomic.Int64
	limit.Store(small)
	s := serveWithin(t, Capacity{HeadBytes: func() int { return int(limit.Load()) }})
	c := s.dial(t)
	for range 3 {
		c.send(t, headOf(small))
		c.expectStatus(t, http.StatusOK)
	}
	c.send(t, strings.Replace(headOf(small), "GET", "PUT", 1)[:small-4]+"\r\nContent-Length: 9000\r\n\r\n")
	c.expectStatus(t, http.StatusRequestHeaderFieldsTooLarge)
	c = s.dial(t)
	c.send(t, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 9000))
	c.expectStatus(t, http.StatusOK)
	c.send(t, headOf(small+1))
	c.expectStatus(t, http.StatusRequestHeaderFieldsTooLarge)
	kept := s.dial(t)
	kept.send(t, headOf(small))
	kept.expectStatus(t, http.StatusOK)
	limit.Store(large)
	kept.send(t, headOf(large))
	kept.expectStatus(t, http.StatusOK)
	kept.send(t, headOf(large+1))
	kept.expectStatus(t, http.StatusRequestHeaderFieldsTooLarge)
}

// TestFullServerClosesThoseThatWait guards against connections that wait for their clients and keep
// others out, and against a request that is cut off, while it is served, for the sake of others.
func TestFullServerClosesThoseThatWait(t *testing.T) {
	s := serveWithin(t, Capacity{Connections: 5})
	served, idle, silent, half, body := s.dial(t), s.dial(t), s.dial(t), s.dial(t), s.dial(t)
	served.send(t, "GET /wait HTTP/1.1\r\n"+rest)
	idle.send(t, line+rest)
	idle.expectAnswer(t)
	half.send(t, line)
	body.send(t, "POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	time.Sleep(2 * stalledRead)
	var further []*client
	for i, c := range []*client{body, half, silent, idle} {
		next := s.dial(t)
		next.send(t, "GET /wait HTTP/1.1\r\n"+rest)
		further = append(further, next)
		c.expectEnd(t, []string{"half a body", "half a head", "silent", "idle"}[i])
	}
	time.Sleep(2 * stalledRead)
	refused := s.dial(t)
	refused.expectStatus(t, http.StatusServiceUnavailable)
	close(s.release)
	for _, c := range append(further, served) {
		c.expectAnswer(t)
	}
}

// TestMemoryOfHeadsIsBounded guards against heads within the limit that together take more memory than
// there is, and against a request that is not served beside them.
func TestMemoryOfHeadsIsBounded(t *testing.T) {
	const most = 1 << 20
	s := serveWithin(t, Capacity{Bytes: most, HeadBytes: func() int { return 16 << 10 }})
	lines := strings.Repeat("a:\r\n", 3000)
	var clients []*client
	for range 10 {
		c := s.dial(t)
		c.send(t, line+lines)
		clients = append(clients, c)
	}
	clients[0].expectEnd(t, "a head that holds most")
	// What is being read is charged for before it is parsed; a read that exceeds the bound does not return
	// before others are closed.
	for began := time.Now(); s.tracker.used.Load() > most; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("connections are charged for %d bytes, the bound is %d", s.tracker.used.Load(), most)
		}
	}
	c := s.dial(t)
	c.send(t, line+rest)
	c.expectAnswer(t)
}

// TestRequestsWithoutMemoryAreRefused guards against requests that are served, or hang, when those that
// are being served hold all memory.
func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	s := serveWithin(t, Capacity{Bytes: 2 * (idleBytes + servedBytes)})
	running := s.dial(t)
	running.send(t, "GET /wait HTTP/1.1\r\n"+rest)
	time.Sleep(50 * time.Millisecond) // the server reads what has been sent
	c := s.dial(t)
	c.send(t, line+"X: "+strings.Repeat("x", 3000)+"\r\n"+rest)
	c.expectStatus(t, http.StatusServiceUnavailable)
	close(s.release)
	running.expectAnswer(t)
	again := s.dial(t)
	again.send(t, line+rest)
	again.expectAnswer(t)
}
