package graceful

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection whose server can tell whether anything has arrived on it.
type conn struct {
	*net.TCPConn

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
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 && c.receivedAt.IsZero() {
		c.receivedAt = time.Now()
	}
	return n, err
}

// setState records a change of the state, and the limits that are in force then.
func (c *conn) setState(s http.ConnState, now time.Time, limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, now
	if s == http.StateIdle {
		c.receivedAt, c.limits = time.Time{}, limits
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
