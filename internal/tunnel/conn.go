package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// errBroken is returned if a tunnel ends without the end of the upstream's bytes.
var errBroken = errors.New("tunnel: the connection through another instance broke")

// Conn is the connection to an upstream through another instance.
type Conn struct {
	stream  peer.Stream
	via     string
	address string
	// rest holds received bytes that were not read yet.
	rest  []byte
	ended bool
}

var _ net.Conn = (*Conn)(nil)

// Via returns the ID of the instance that has connected to the upstream.
func (c *Conn) Via() string { return c.via }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		data, err := c.stream.Read(context.Background()) // ends with Close
		if err != nil {
			return 0, &net.OpError{Op: "read", Net: "tunnel", Addr: c.RemoteAddr(), Err: errBroken}
		}
		c.rest, c.ended = data, len(data) == 0
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil // an empty message would be the end
	}
	if err := c.stream.Write(context.Background(), b); err != nil {
		return 0, &net.OpError{Op: "write", Net: "tunnel", Addr: c.RemoteAddr(), Err: errBroken}
	}
	return len(b), nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.stream.Close()
	return nil
}

// tunnelAddr is the address of an end of a tunnel.
type tunnelAddr string

// Network implements net.Addr.
func (tunnelAddr) Network() string { return "tunnel" }

// String implements net.Addr.
func (a tunnelAddr) String() string { return string(a) }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return tunnelAddr(c.via) }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return tunnelAddr(c.address) }

// SetDeadline implements net.Conn; a tunnel has no deadlines.
func (c *Conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
