package graceful

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// Capacity bounds what the connections of a server may take together. Its zero value has no bounds.
type Capacity struct {
	// Connections bounds the open connections.
	Connections int
	// Bytes bounds the memory that they are charged for.
	Bytes int64
	// HeadBytes returns the limit of a request's head in force; nil leaves it to the http.Server.
	HeadBytes func() int
}

// What connections are charged for. The figures are measured; docs/design/0054 has the measurements.
const (
	// idleBytes covers the stack and the buffers of a connection without a request.
	idleBytes = 16 << 10
	// servedBytes covers what a request that is served takes in addition, with its connection to an
	// upstream.
	servedBytes = 32 << 10
	// lineBytes is what a line of a head takes as an entry of a map.
	lineBytes = 256
	// headFactor is how often the text of a head is held: as read and in parts.
	headFactor = 2
	// shortBodyBytes is the part of a body that is charged for here; what is beyond it has a budget of
	// its own.
	shortBodyBytes = 32 << 10
	// maxHeadBytes bounds heads whatever limit is in force.
	maxHeadBytes = 1 << 20
)

// headCost returns the charge for a part of a head.
func headCost(size, lines int) int64 { return int64(headFactor*size + lineBytes*lines) }

// Rules for the connections that are closed for the sake of others.
const (
	// minWait is how long a connection must have waited for its client before it is closed because
	// there are too many. It is longer than clients on a network take between connection and request.
	minWait = 100 * time.Millisecond
	// slowBytesPerSecond is the pace below which a client that sends a head or a body counts as slow, and
	// stalledRead the time without a byte. That is longer than a retransmission on an ordinary path.
	slowBytesPerSecond = 16 << 10
	stalledRead        = 300 * time.Millisecond
	// stalledWrite is the time without progress of a write after which its client counts as one that does
	// not read.
	stalledWrite = time.Second
	// reliefDivisor is the fraction of a limit, as a divisor, that is freed at once.
	reliefDivisor = 32
	// fullInterval is the time between two looks for connections that can be closed for a new one; a look
	// at all connections for each new one would take all of a small machine's processor.
	fullInterval = 10 * time.Millisecond
	// reportInterval is the interval at which closed and refused connections are logged.
	reportInterval = 10 * time.Second
)

// tracker follows the connections of one server and keeps them within its capacity.
type tracker struct {
	capacity Capacity
	name     string
	count    counters
	report   rate.Sometimes
	// tls reports whether the connections carry TLS records.
	tls bool
	// used is the sum of the charges.
	used atomic.Int64

	mu    sync.Mutex
	conns map[*conn]bool
	// fullUntil is until when no connection is expected that can be closed for a new one.
	fullUntil time.Time
}

// counters are the metrics of a tracker.
type counters struct {
	headsRefused, requestsRefused, connsRefused *metrics.Counter
	closed                                      map[waitKind]*metrics.Counter
}

// newTracker returns a tracker without bounds.
func newTracker() *tracker {
	return &tracker{conns: map[*conn]bool{}, report: rate.Sometimes{Interval: reportInterval}}
}

// setCapacity replaces the capacity, before the first connection.
func (t *tracker) setCapacity(name string, c Capacity) {
	counter := func(format string, args ...any) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(format, args...))
	}
	t.capacity, t.name = c, name
	t.count = counters{
		headsRefused:    counter(`banyanroute_heads_refused_total{port=%q}`, name),
		requestsRefused: counter(`banyanroute_connection_requests_refused_total{port=%q}`, name),
		connsRefused:    counter(`banyanroute_connections_refused_total{port=%q}`, name),
		closed:          map[waitKind]*metrics.Counter{},
	}
	for kind := range waitKinds {
		t.count.closed[kind] = counter(`banyanroute_connections_closed_total{port=%q,waiting=%q}`, name, kind)
	}
}

// headLimit returns the limit of a head in force; 0 if it is left to the http.Server.
func (t *tracker) headLimit() int {
	if t.capacity.HeadBytes == nil {
		return 0
	}
	return min(t.capacity.HeadBytes(), maxHeadBytes)
}

// accept returns the next connection for which there is room.
func (t *tracker) accept(l net.Listener, limits func() Limits) (net.Conn, error) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &conn{
			TCPConn: nc.(*net.TCPConn), tracker: t, limits: limits(), headLimit: t.headLimit(),
			state: http.StateNew, since: now, lastRead: now,
		}
		if t.add(c) {
			return c, nil
		}
		t.count.connsRefused.Inc()
		c.refuse()
	}
}

// add adds a connection and closes others if there are too many. It returns false if there is no room.
func (t *tracker) add(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit := t.capacity.Connections; limit > 0 && len(t.conns) >= limit {
		now := time.Now()
		if now.Before(t.fullUntil) {
			return false
		}
		t.closeWaiting(false, func() bool { return len(t.conns) < limit-limit/reliefDivisor })
		if len(t.conns) >= limit {
			t.fullUntil = now.Add(fullInterval)
			return false
		}
	}
	t.conns[c] = true
	c.mu.Lock()
	defer c.mu.Unlock()
	t.setCharge(c, idleBytes)
	return true
}

// remove forgets a connection.
func (t *tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(c)
}

// forget forgets a connection; t.mu must be held.
func (t *tracker) forget(c *conn) {
	delete(t.conns, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.setCharge(c, 0)
}

// removeIf forgets the connections for which f returns true and reports whether none is left.
func (t *tracker) removeIf(f func(*conn) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if f(c) {
			t.forget(c)
		}
	}
	return len(t.conns) == 0
}

// setCharge replaces the charge of a connection; c.mu must be held.
func (t *tracker) setCharge(c *conn, n int64) {
	t.used.Add(n - c.charge)
	c.charge = n
}

// charge adds to the charge of a connection and closes connections that wait if that is too much. It
// returns false if this one is closed.
func (t *tracker) charge(c *conn, n int64) bool {
	c.mu.Lock()
	if c.closed || c.state == http.StateHijacked {
		defer c.mu.Unlock()
		return !c.closed
	}
	t.setCharge(c, c.charge+n)
	c.mu.Unlock()
	if n > 0 && t.isOver() {
		t.relieve()
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.closed
	}
	return true
}

func (t *tracker) isOver() bool { return t.capacity.Bytes > 0 && t.used.Load() > t.capacity.Bytes }

// relieve closes connections that wait until the memory of the others is within the capacity.
func (t *tracker) relieve() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isOver() {
		return // another call has done it
	}
	enough := t.capacity.Bytes - t.capacity.Bytes/reliefDivisor
	t.closeWaiting(true, func() bool { return t.used.Load() <= enough })
}

// admit charges for a request whose head is complete. It returns false, and charges nothing, if there is
// no room for it.
func (t *tracker) admit(c *conn, h http.Header) bool {
	cost := int64(servedBytes)
	for name, values := range h {
		for _, value := range values {
			cost += headCost(len(name)+len(value), 1)
		}
	}
	c.mu.Lock()
	before := c.charge
	t.setCharge(c, max(before, idleBytes+cost))
	c.mu.Unlock()
	if !t.isOver() {
		return true
	}
	if t.relieve(); !t.isOver() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.setCharge(c, before)
	t.count.requestsRefused.Inc()
	t.logRelief("requests refused: the connections hold too much memory")
	return false
}

// waitKind is what a connection waits for.
type waitKind string

// Kinds of waiting.
const (
	waitsForHead    waitKind = "head"
	waitsForBody    waitKind = "body"
	waitsForEnd     waitKind = "end"
	waitsForFirst   waitKind = "first request"
	waitsForNext    waitKind = "next request"
	waitsForReading waitKind = "reading"
)

// waitKinds maps the kinds to the order in which connections are closed. A connection whose request is
// being served has no kind.
var waitKinds = map[waitKind]int{waitsForHead: 0, waitsForBody: 0, waitsForEnd: 0, waitsForFirst: 1, waitsForNext: 2, waitsForReading: 3}

// waiting describes a connection that waits for its client.
type waiting struct {
	c    *conn
	kind waitKind
	// time is how long it has waited, silence how long nothing has arrived, bytes what has arrived since
	// it waits, charge what it holds.
	time    time.Duration
	silence time.Duration
	bytes   int64
	charge  int64
}

// weight orders connections of the same order; the largest is closed first.
func (w waiting) weight() float64 {
	if waitKinds[w.kind] > 0 {
		return w.time.Seconds()
	}
	return w.time.Seconds() * float64(w.charge)
}

// isSlow reports whether its client has had time to go on and has not.
func (w waiting) isSlow() bool {
	return w.time >= minWait && float64(w.bytes) < slowBytesPerSecond*w.time.Seconds() || w.silence >= stalledRead
}

// waiting returns what the connection waits for; false if it waits for nothing, or not long enough to be
// closed.
func (c *conn) waiting(now time.Time) (waiting, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingLocked(now)
}

// waitingLocked is waiting; c.mu must be held.
func (c *conn) waitingLocked(now time.Time) (waiting, bool) {
	w := waiting{c: c, charge: c.charge}
	since := c.since
	switch {
	case c.closed:
		return w, false
	case !c.writingSince.IsZero():
		w.kind, w.time = waitsForReading, now.Sub(c.writingSince)
		return w, w.time >= stalledWrite
	case c.readsHead() && !c.receivedAt.IsZero():
		w.kind, w.bytes, since = waitsForHead, int64(c.headRead), c.receivedAt
	case c.state == http.StateNew:
		w.kind = waitsForFirst
	case c.state == http.StateIdle:
		w.kind = waitsForNext
	case c.body.isAwaited:
		w.kind, w.bytes, since = waitsForBody, c.body.bytes, c.body.since
	case !c.isServed && !c.returnedAt.IsZero():
		w.kind, since = waitsForEnd, c.returnedAt
	default:
		return w, false
	}
	w.time, w.silence = now.Sub(since), now.Sub(c.lastRead)
	return w, true
}

// closeWaiting closes connections that wait for their clients until enough returns true: first those that
// hold most and give least, in the order of waitKinds. For memory it closes those whose clients are not
// slow too. t.mu must be held.
func (t *tracker) closeWaiting(forMemory bool, enough func() bool) {
	now := time.Now()
	var candidates []waiting
	for c := range t.conns {
		if w, ok := c.waiting(now); ok && (forMemory || w.isSlow()) {
			candidates = append(candidates, w)
		}
	}
	slices.SortFunc(candidates, func(a, b waiting) int {
		return cmp.Or(cmp.Compare(waitKinds[a.kind], waitKinds[b.kind]), cmp.Compare(b.weight(), a.weight()))
	})
	closed := 0
	for _, w := range candidates {
		if enough() {
			break
		}
		if w.c.closeWaiting(w, now) {
			t.forget(w.c)
			t.count.closed[w.kind].Inc()
			closed++
		}
	}
	if closed > 0 {
		t.logRelief("connections closed to make room for others")
	}
}

// logRelief logs what the capacity has cost, at most once in reportInterval.
func (t *tracker) logRelief(message string) {
	t.report.Do(func() {
		fields := logrus.Fields{
			"port": t.name, "bytes": t.used.Load(), "max_bytes": t.capacity.Bytes, "max_connections": t.capacity.Connections,
			"connections_refused": t.count.connsRefused.Get(), "requests_refused": t.count.requestsRefused.Get(), "heads_refused": t.count.headsRefused.Get(),
		}
		for kind, counter := range t.count.closed {
			fields["closed waiting for "+string(kind)] = counter.Get()
		}
		log.WithFields(fields).Warn(message)
	})
}

// closeWaiting closes a connection if it still waits for the same; w is what it waited for.
func (c *conn) closeWaiting(w waiting, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	again, ok := c.waitingLocked(now)
	if !ok || again.kind != w.kind {
		return false
	}
	isNext := w.kind == waitsForFirst || w.kind == waitsForNext
	if isNext && (!c.receivedAt.IsZero() || c.hasUnread()) {
		return false // a request has arrived
	}
	c.close()
	return true
}

const connRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuse answers a connection for which there is no room and closes it, without waiting for its client.
func (c *conn) refuse() {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { // a close with unread bytes would discard the answer
			var unread [4 << 10]byte
			_, _, _ = unix.Recvfrom(int(fd), unread[:], unix.MSG_DONTWAIT)
		})
	}
	_, _ = io.WriteString(c.TCPConn, connRefusal) // fails if the client has left
	_ = c.Close()                                 // nothing more is done with it
}

// connKey is the key of the conn in the context of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c := connOf(nc); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// Protect bounds the connections of a server that is not stopped gracefully, and returns the listener to
// serve. Its name is that of the port in metrics and in the log.
func Protect(name string, s *http.Server, l net.Listener, c Capacity) net.Listener {
	t := newTracker()
	t.setCapacity(name, c)
	if c.HeadBytes != nil {
		s.MaxHeaderBytes = maxHeadBytes
	}
	s.Handler = t.handler(s.Handler)
	s.ConnContext = withConn
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if one := connOf(nc); one != nil {
			one.setState(state, time.Now(), Limits{})
			if state == http.StateClosed || state == http.StateHijacked {
				t.remove(one)
			}
		}
	}
	return protectedListener{l, t}
}

// protectedListener returns connections that are followed by a tracker.
type protectedListener struct {
	net.Listener
	t *tracker
}

// Accept implements net.Listener.
func (l protectedListener) Accept() (net.Conn, error) {
	return l.t.accept(l.Listener, func() Limits { return Limits{} })
}
