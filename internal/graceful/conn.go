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
	// received reports whether bytes have been read since the connection was opened or
	// became idle.
	received bool
	closed   bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.received = c.received || n > 0
	return n, err
}

// setState records a change of the state.
func (c *conn) setState(s http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, now
	if s == http.StateIdle {
		c.received = false
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
	if !idle || c.received || c.hasUnread() {
		return false
	}
	c.closed = true
	c.Close() //nolint:errcheck // nothing was sent
	return true
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
