package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// openRequest is the first message on a stream: it asks for a connection to an upstream.
type openRequest struct {
	_       struct{} `cbor:",toarray"`
	Address string
	// TimeoutMillis is the time for connecting.
	TimeoutMillis uint32
}

// openCode is the result of an openRequest.
type openCode uint8

const (
	// opened: the connection is established. All further messages are its bytes; an empty
	// one is their end.
	opened openCode = iota + 1
	// noPath: the instance cannot reach the upstream either.
	noPath
	// dialRefused and dialFailed: the instance tried to connect and was refused, or failed in
	// another way.
	dialRefused
	dialFailed
	// busy: the instance has too many tunnels, or leaves.
	busy
	// notListed: the instance knows no upstream with the address.
	notListed
)

// String returns the code's name in metrics and errors.
func (c openCode) String() string {
	names := [...]string{"none", "opened", "no-path", "refused", "failed", "busy", "not-listed"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// openAnswer answers an openRequest.
type openAnswer struct {
	_    struct{} `cbor:",toarray"`
	Code openCode
	// Reaches reports whether the instance has connected to any upstream lately. If it has not,
	// its own paths may be the cause of dialRefused and dialFailed.
	Reaches bool
}

// errBroken is returned if a tunnel ends without the end of the upstream's bytes.
var errBroken = errors.New("tunnel: the connection through another instance broke")

// send sends a message.
func send(ctx context.Context, s peer.Stream, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return trace.Wrap(err, "encoding a message of a tunnel")
	}
	return s.Write(ctx, data)
}

// receive reads a message.
func receive(ctx context.Context, s peer.Stream, message any) error {
	data, err := s.Read(ctx)
	if err != nil {
		return err
	}
	return trace.Wrap(cbor.Unmarshal(data, message), "decoding a message of a tunnel")
}

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
