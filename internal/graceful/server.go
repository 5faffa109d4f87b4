package graceful

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/logging"
	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

var log = logging.For("graceful")

const (
	// newConnTimeout is how long a stop waits for the first byte on a new connection.
	newConnTimeout = 5 * time.Second
	// stopPollInterval is the interval at which a stop checks whether requests remain.
	stopPollInterval = 5 * time.Millisecond
	// limitCheckInterval is the interval at which connections are checked against their limits.
	limitCheckInterval = 100 * time.Millisecond
)

// Limits bound how long a connection may wait for its client.
type Limits struct {
	// Header is the time from a request's first byte until its header must have arrived.
	Header time.Duration
	// Idle is the time that a connection may wait for the first byte of a request.
	Idle time.Duration
}

// Server serves HTTP on one listener and can stop without cutting off a request.
type Server struct {
	server   *http.Server
	listener *listener
	tls      *tls.Config
	stopping atomic.Bool
	tracker  *tracker
	// limits returns the limits in force; nil leaves them to server.
	limits func() Limits
	// acceptEnded is closed when the last connection has been accepted.
	acceptEnded chan struct{}
	acceptOnce  sync.Once
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen opens the address, host:port, at once; Serve serves it. A nil config means no TLS.
func Listen(address string, s *http.Server, config *tls.Config) (*Server, error) {
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // its sockets take no filter, which stop needs
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	g := &Server{
		server:      s,
		listener:    newListener(l.(*net.TCPListener)),
		tls:         config,
		acceptEnded: make(chan struct{}),
		closed:      make(chan struct{}),
		tracker:     newTracker(),
	}
	g.tracker.tls = config != nil
	s.ConnState = g.onState
	s.ConnContext = withConn
	next := g.tracker.handler(s.Handler)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&writer{ResponseWriter: w, g: g}, r)
	})
	return g, nil
}

// SetLimits replaces the server's fixed timeouts of connections by limits that may change while it
// serves. It must be called before Serve.
func (g *Server) SetLimits(limits func() Limits) {
	g.server.ReadTimeout, g.server.ReadHeaderTimeout, g.server.IdleTimeout = 0, 0, 0
	g.limits = limits
}

// SetCapacity bounds the connections; name is that of the port in metrics and in the log. It must be called
// before Serve. With TLS the limit of a head is the http.Server's.
func (g *Server) SetCapacity(name string, c Capacity) {
	if g.tls != nil {
		c.HeadBytes = nil
	}
	if c.HeadBytes != nil {
		g.server.MaxHeaderBytes = maxHeadBytes
	}
	g.tracker.setCapacity(name, c)
}

// Serve serves until Close; it does not return after a Stop, since the end of an actor ends its
// whole run group. If connections can't be accepted any more, it calls onFailure and goes on with
// those that there are.
func (g *Server) Serve(onFailure func(error)) {
	var l net.Listener = trackedListener{g}
	if g.tls != nil {
		l = tls.NewListener(l, g.tls)
	}
	if g.limits != nil {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go sleep.Every(ctx, limitCheckInterval, panics.Guard(log, g.closeLate)) //nolint:errcheck // it ends with ctx
	}
	err := g.server.Serve(l)
	g.acceptOnce.Do(func() { close(g.acceptEnded) })
	if !g.listener.stopping.Load() {
		onFailure(trace.Wrap(err))
	}
	<-g.closed
}

// Stop refuses new connections, answers the requests on those that there are, each with
// "Connection: close", and returns once none is left and all connections are closed, or with
// the error of ctx.
func (g *Server) Stop(ctx context.Context) error {
	g.stopping.Store(true)
	g.listener.stop()
	select {
	case <-g.acceptEnded:
	case <-ctx.Done():
		return ctx.Err()
	}
	for !g.closeIdle(time.Now()) {
		if !sleep.For(ctx, stopPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Close closes the listener and all connections.
func (g *Server) Close() {
	g.stopping.Store(true)
	g.listener.stop()
	g.server.Close() //nolint:errcheck // the listener is closed
	g.closeOnce.Do(func() { close(g.closed) })
}

// closeIdle closes the idle connections and reports whether no other is left.
func (g *Server) closeIdle(now time.Time) bool {
	return g.tracker.removeIf(func(c *conn) bool { return c.closeIfIdle(now) })
}

// limitsInForce returns the limits in force; zero if they are left to the http.Server.
func (g *Server) limitsInForce() Limits {
	if g.limits == nil {
		return Limits{}
	}
	return g.limits()
}

// closeLate closes the connections that exceed their limits.
func (g *Server) closeLate() {
	limits, now := g.limits(), time.Now()
	g.tracker.removeIf(func(c *conn) bool {
		c.closeIfLate(now, limits)
		return false
	})
}

// onState follows the states of connections.
func (g *Server) onState(nc net.Conn, s http.ConnState) {
	c := connOf(nc)
	if c == nil {
		return
	}
	c.setState(s, time.Now(), g.limitsInForce())
	if s == http.StateClosed || s == http.StateHijacked {
		g.tracker.remove(c)
	}
}

// trackedListener returns the connections of a Server's listener as conn.
type trackedListener struct{ g *Server }

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	return l.g.tracker.accept(l.g.listener, l.g.limitsInForce)
}

// Close implements net.Listener.
func (l trackedListener) Close() error { return l.g.listener.Close() }

// Addr implements net.Listener.
func (l trackedListener) Addr() net.Addr { return l.g.listener.Addr() }

// writer announces in the header of an answer that its connection ends, if the server is
// stopping by then.
type writer struct {
	http.ResponseWriter
	g    *Server
	sent bool
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if w.g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.sent = w.sent || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	if !w.sent {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
