package graceful

import (
	"bufio"
	"context"
	"crypto/tls"
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
)

// testServer is a server whose handler reads the body and answers "ok", to "/wait" once release is closed.
type testServer struct {
	*Server
	release chan struct{}
	config  *tls.Config // of clients
}

func newTestServer(t *testing.T, withTLS bool) *testServer {
	t.Helper()
	s := &testServer{release: make(chan struct{})}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-s.release
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, "ok")
	})
	var config *tls.Config
	if withTLS {
		other := httptest.NewTLSServer(handler) // for its certificate
		t.Cleanup(other.Close)
		config = &tls.Config{Certificates: other.TLS.Certificates}
		s.config = other.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		s.config.ServerName = "example.com"
	}
	g, err := Listen("127.0.0.1:0", &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}, config)
	if err != nil {
		t.Fatal(err)
	}
	s.Server = g
	t.Cleanup(g.Close)
	return s
}

// client is a connection of a caller.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if s.config != nil {
		conn = tls.Client(conn, s.config)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// expectAnswer reads one answer and returns whether the connection ends with it.
func (c *client) expectAnswer(t *testing.T) (last bool) {
	t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer res.Body.Close()
	var body [2]byte
	if _, err := res.Body.Read(body[:]); res.StatusCode != http.StatusOK || string(body[:]) != "ok" {
		t.Fatalf("got status %d, body %q, error %v", res.StatusCode, body, err)
	}
	return res.Close
}

const (
	line = "GET / HTTP/1.1\r\n"
	rest = "Host: x\r\n\r\n"
)

// TestStopAnswersWhatHasArrived checks that requests that are running, half sent on new and
// kept connections, or on connections that the process has not accepted yet are answered
// after a stop has begun, and that idle connections are closed.
func TestStopAnswersWhatHasArrived(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %t", withTLS), func(t *testing.T) {
			s := newTestServer(t, withTLS)
			served := make(chan struct{})
			go func() {
				defer close(served)
				s.Serve(func(err error) { t.Errorf("Serve failed with %v", err) })
			}()
			running, halfNew, halfKept, idle := s.dial(t), s.dial(t), s.dial(t), s.dial(t)
			running.send(t, "GET /wait HTTP/1.1\r\n"+rest)
			halfNew.send(t, line)
			for _, c := range []*client{halfKept, idle} {
				c.send(t, line+rest)
				if c.expectAnswer(t) {
					t.Fatal("the connection ended before the stop")
				}
			}
			halfKept.send(t, line)
			time.Sleep(50 * time.Millisecond) // the server reads what has been sent
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(t.Context()) }()
			if _, err := idle.reader.ReadByte(); err == nil {
				t.Error("got data on an idle connection")
			}
			for _, c := range []*client{halfNew, halfKept} {
				c.send(t, rest)
				if !c.expectAnswer(t) {
					t.Error("the connection of an answer during the stop stays open")
				}
			}
			select {
			case err := <-stopped:
				t.Fatalf("the stop ended, with %v, before the running request", err)
			case <-time.After(50 * time.Millisecond):
			}
			if conn, err := net.Dial("tcp", s.listener.Addr().String()); err == nil {
				conn.Close()
				t.Error("a new connection was accepted")
			}
			close(s.release)
			if !running.expectAnswer(t) {
				t.Error("the connection of the running request stays open")
			}
			if err := <-stopped; err != nil {
				t.Errorf("the stop ended with %v", err)
			}
			s.Close()
			<-served
		})
	}
}

// TestStopAcceptsPendingConnections checks that requests on connections that the kernel has
// established before a stop, and that the process has not accepted, are answered.
func TestStopAcceptsPendingConnections(t *testing.T) {
	s := newTestServer(t, false)
	var clients []*client
	for range 100 {
		c := s.dial(t)
		c.send(t, line+rest)
		clients = append(clients, c)
	}
	s.listener.stop()
	go s.Serve(func(err error) { t.Errorf("Serve failed with %v", err) })
	for _, c := range clients {
		c.expectAnswer(t)
	}
	if err := s.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}

// TestStopEndsWithItsContext checks that a stop gives up when its context ends, that a later
// one goes on, and that Close ends the rest.
func TestStopEndsWithItsContext(t *testing.T) {
	s := newTestServer(t, false)
	go s.Serve(func(err error) { t.Errorf("Serve failed with %v", err) })
	c := s.dial(t)
	c.send(t, "GET /wait HTTP/1.1\r\n"+rest)
	time.Sleep(50 * time.Millisecond)
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		if err := s.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want the error of the context", err)
		}
		cancel()
	}
	s.Close()
	if _, err := c.reader.ReadByte(); err == nil {
		t.Error("got data after the server was closed")
	}
	close(s.release)
}

// TestAddressInUseIsAnError checks that an address in use is reported when it is opened.
func TestAddressInUseIsAnError(t *testing.T) {
	s := newTestServer(t, false)
	if _, err := Listen(s.listener.Addr().String(), &http.Server{Handler: http.NotFoundHandler()}, nil); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("got %v, want that the address is in use", err)
	}
}

// TestStopAfterServeFailed checks that a stop does not wait for a server that serves no more.
func TestStopAfterServeFailed(t *testing.T) {
	s := newTestServer(t, false)
	s.server.Close()
	failed := make(chan error, 1)
	go s.Serve(func(err error) { failed <- err })
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("Serve failed with %v, want %v", err, http.ErrServerClosed)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// TestLimitsReplaceFixedTimeouts guards against connections that are closed within their limits, by
// fixed timeouts, by limits that become shorter, or because the time of a running request counts.
func TestLimitsReplaceFixedTimeouts(t *testing.T) {
	const fixed = 100 * time.Millisecond
	for _, withTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %t", withTLS), func(t *testing.T) {
			s := newTestServer(t, withTLS)
			s.server.ReadHeaderTimeout, s.server.IdleTimeout = fixed, fixed
			var limits atomic.Pointer[Limits]
			limits.Store(&Limits{Header: time.Minute, Idle: time.Minute})
			s.SetLimits(func() Limits { return *limits.Load() })
			go s.Serve(func(err error) { t.Errorf("Serve failed with %v", err) })
			half, idle, running := s.dial(t), s.dial(t), s.dial(t)
			half.send(t, line)
			idle.send(t, line+rest)
			idle.expectAnswer(t)
			running.send(t, "GET /wait HTTP/1.1\r\n"+rest)
			time.Sleep(3 * fixed)
			limits.Store(&Limits{Header: fixed, Idle: fixed})
			time.Sleep(3 * fixed)
			half.send(t, rest)
			half.expectAnswer(t)
			half.send(t, line)
			idle.send(t, line+rest)
			idle.expectAnswer(t)
			for _, c := range []*client{half, idle} {
				if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("the shorter limit does not end the connection: %v", err)
				}
			}
			close(s.release)
			running.expectAnswer(t)
		})
	}
}

// TestStopAnswersWhatArrivedBeforeTheLastAnswer guards against a connection that is closed as idle by a
// stop although the beginning of a request has been read from it, while the one before was served. With
// TLS the server has then read the whole record.
func TestStopAnswersWhatArrivedBeforeTheLastAnswer(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %t", withTLS), func(t *testing.T) {
			s := newTestServer(t, withTLS)
			go s.Serve(func(err error) { t.Errorf("Serve failed with %v", err) })
			c := s.dial(t)
			c.send(t, "GET /wait HTTP/1.1\r\n"+rest)
			time.Sleep(50 * time.Millisecond) // the request is being served
			c.send(t, line)
			time.Sleep(50 * time.Millisecond) // the server reads ahead
			close(s.release)
			if c.expectAnswer(t) {
				t.Fatal("the connection ended before the stop")
			}
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(t.Context()) }()
			time.Sleep(50 * time.Millisecond) // the stop closes what is idle
			c.send(t, rest)
			c.expectAnswer(t)
			if err := <-stopped; err != nil {
				t.Errorf("the stop ended with %v", err)
			}
			s.Close()
		})
	}
}

// TestLimitsShortenedAtOnceWaitForTheNextIdleTime guards against a connection that is closed by limits
// that became shorter just after it had become idle, before it was checked for the first time.
func TestLimitsShortenedAtOnceWaitForTheNextIdleTime(t *testing.T) {
	s := newTestServer(t, false)
	client := s.dial(t)
	nc, err := s.listener.TCPListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), tracker: s.tracker}
	long, short, now := Limits{time.Minute, time.Minute}, Limits{time.Second, time.Second}, time.Now()
	c.setState(http.StateIdle, now, long)
	c.closeIfLate(now.Add(2*time.Second), short)
	if c.closed {
		t.Error("closed by limits that were not in force when it became idle")
	}
	c.setState(http.StateIdle, now, short)
	c.closeIfLate(now.Add(2*time.Second), short)
	if !c.closed {
		t.Error("the shorter limits did not apply the next time")
	}
	client.Close()
}
