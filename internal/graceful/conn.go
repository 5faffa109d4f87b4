package graceful

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection whose server can tell whether anything has arrived on it, and what it waits for.
type conn struct {
	*net.TCPConn
	tracker *tracker

	mu sync.Mutex
	// state is the connection's state in the server, and since the time of its last change.
	state http.ConnState
	since time.Time
	// receivedAt is the time when the first bytes were read since the connection was opened or
	// became idle; zero if there were none.
	receivedAt time.Time
	// limits are the longest in force since the connection was opened or became idle.
	limits Limits
	closed bool

	// headLimit is the limit of a head when the connection was opened or became idle, headRead what has
	// been read of the head since then.
	headLimit, headRead int
	// readAhead counts the byte of the next head that net/http reads while a request is served, to notice
	// that the client has left.
	readAhead int
	// lastRead is when the last bytes were read, or when the connection was opened.
	lastRead time.Time
	// body is what is known of the body of the request that is being read or served.
	body bodyProgress
	// bodyFollows reports whether a part of the served request's body has not been read.
	bodyFollows bool
	// isServed reports whether a handler serves a request, and returnedAt when the last one returned.
	isServed   bool
	returnedAt time.Time
	// writingSince is when the write that is under way began; zero if there is none.
	writingSince time.Time
	// charge is what the connection counts for in the tracker.
	charge int64
}

// bodyProgress is how much of a body has arrived.
type bodyProgress struct {
	// isAwaited reports whether the handler waits for the rest.
	isAwaited bool
	since     time.Time
	bytes     int64
}

// errClosedByServer is what a read returns on a connection that the server has closed. net/http answers
// other errors than those of reads with status 400.
var errClosedByServer = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	room, tooLong := c.headRoom(len(p))
	if tooLong {
		c.refuseHead()
		return 0, errClosedByServer
	}
	n, err := c.TCPConn.Read(p[:room])
	cost, closed := c.received(p[:n], len(p))
	if cost > 0 {
		closed = !c.tracker.charge(c, cost)
	}
	if closed {
		return 0, errClosedByServer
	}
	return n, err
}

// received records what has been read into a buffer of the given size and returns what it costs.
func (c *conn) received(p []byte, bufferSize int) (cost int64, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 {
		c.lastRead = time.Now()
		if c.receivedAt.IsZero() {
			c.receivedAt = c.lastRead
		}
	}
	switch {
	case c.readsHead():
		c.headRead += len(p)
		cost = headCost(len(p), bytes.Count(p, []byte{'\n'}))
	case bufferSize == 1, c.tracker.tls && !c.bodyFollows:
		// While a request is served net/http reads one byte ahead; all other reads have the size of a
		// buffer. With TLS the byte is that of a whole record, which is read then.
		c.readAhead = len(p)
	}
	return cost, c.closed
}

// readsHead reports whether the server waits for a head or for the rest of one; c.mu must be held.
func (c *conn) readsHead() bool { return c.state == http.StateNew || c.state == http.StateIdle }

// headRoom returns how much may be read into a buffer of n bytes. A head is too long if it isn't complete
// when as many bytes as the limit have been read. Of a pipelined request the bytes that were read with the
// one before it, at most a buffer of net/http, are not counted.
func (c *conn) headRoom(n int) (room int, tooLong bool) {
	limit := c.tracker.headLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit <= 0 || !c.readsHead() {
		return n, false
	}
	room = min(n, max(limit, c.headLimit)-c.headRead)
	return room, room <= 0
}

const (
	headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Content-Length: 0\r\nConnection: close\r\n\r\n"
	// refusalTime is how long a client gets to read a refusal before the connection is closed, which
	// would discard it if the client still sends.
	refusalTime = 500 * time.Millisecond
)

// refuseHead answers a head that is too long, and discards what arrives until the client has had the time
// to read that.
func (c *conn) refuseHead() {
	c.tracker.count.headsRefused.Inc()
	until := time.Now().Add(refusalTime)
	_ = c.SetDeadline(until) // fails if the connection is closed
	if _, err := io.WriteString(c.TCPConn, headRefusal); err != nil {
		return
	}
	_ = c.CloseWrite() // fails if the client has closed
	var discarded [4 << 10]byte
	for time.Now().Before(until) {
		if _, err := c.TCPConn.Read(discarded[:]); err != nil {
			return
		}
	}
}

// maxWriteBytes is the size of the pieces in which answers are written, so that a client that reads
// slowly and one that does not read can be told apart.
const maxWriteBytes = 64 << 10

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	defer c.setWriting(time.Time{})
	written := 0
	for {
		c.setWriting(time.Now())
		n, err := c.TCPConn.Write(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
}

// setState records a change of the state, and the limits that are in force then.
func (c *conn) setState(s http.ConnState, now time.Time, limits Limits) {
	headLimit := c.tracker.headLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, now
	if s == http.StateIdle {
		c.receivedAt, c.limits = time.Time{}, limits
		if c.readAhead > 0 {
			c.receivedAt = now
		}
		c.headLimit, c.headRead, c.readAhead = headLimit, c.readAhead, 0
		c.tracker.setCharge(c, idleBytes)
	}
}

// closeIfIdle closes the connection, and returns true, if it waits for a request and nothing
// has arrived. A new connection counts as idle after newConnTimeout.
func (c *conn) closeIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return true
	}
	idle := c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.since) >= newConnTimeout
	if !idle || !c.receivedAt.IsZero() || c.hasUnread() {
		return false
	}
	c.close()
	return true
}

// closeIfLate closes the connection if it has waited for a request, or for the rest of its header,
// longer than allowed. Limits that have become shorter apply from the next time that it becomes
// idle: the caller may rely on the longer ones until then.
func (c *conn) closeIfLate(now time.Time, limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.state != http.StateNew && c.state != http.StateIdle {
		return
	}
	c.limits = Limits{Header: max(c.limits.Header, limits.Header), Idle: max(c.limits.Idle, limits.Idle)}
	isLate := now.Sub(c.since) > c.limits.Idle
	if !c.receivedAt.IsZero() {
		isLate = now.Sub(c.receivedAt) > c.limits.Header
	}
	if isLate && !c.hasUnread() {
		c.close()
	}
}

// close closes the connection; c.mu must be held.
func (c *conn) close() {
	c.closed = true
	c.Close() //nolint:errcheck // no answer was sent on it
}

// hasUnread reports whether the kernel holds bytes that have not been read.
func (c *conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// connOf returns the connection below a server's connection, or nil.
func connOf(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	one, _ := c.(*conn)
	return one
}
