package sockets

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// DetectResets returns dial with TCP connections whose reads tell a lost connection from the end
// of the peer's bytes while a request is still being written. The kernel reports the loss of a
// connection, by a reset or a timeout, to one call only. If that is a write, the next read
// returns io.EOF, as if the peer had closed the connection in order.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); err == nil && ok {
			return &resetConn{Conn: tcp, tcp: tcp}, nil
		}
		return conn, err
	}
}

// tcpClose is the kernel's state TCP_CLOSE, which package unix has only for BPF programs.
const tcpClose = unix.BPF_TCP_CLOSE

// resetConn is a connection of DetectResets.
type resetConn struct {
	// Conn is tcp without its methods ReadFrom and WriteTo, which would bypass those below.
	net.Conn
	tcp *net.TCPConn

	// writing is held during a write and guards lost, the error of the write that learned of the
	// connection's loss.
	writing sync.Mutex
	lost    error
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// EPIPE is no loss: the peer had ended its bytes before it went away.
	if err != nil && c.lost == nil && !errors.Is(err, syscall.EPIPE) {
		c.lost = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if lost := c.loss(); lost != nil {
			err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: lost}
		}
	}
	return n, err
}

// loss returns the error with which the connection was lost before the peer's end; nil if it
// was not.
func (c *resetConn) loss() error {
	if !c.isGone() {
		return nil // only the peer's end has been received
	}
	c.writing.Lock() // no write waits on a connection that is gone
	defer c.writing.Unlock()
	return c.lost
}

// isGone reports whether the connection is closed in both directions, or its state is unknown.
func (c *resetConn) isGone() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return true
	}
	gone := true
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			gone = info.State == tcpClose
		}
	}); err != nil {
		return true
	}
	return gone
}
