package passthrough

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/banyanroute/banyanroute/internal/sockets"
)

// errNotSent is returned if no byte of the request was written.
var errNotSent = errors.New("request not sent")

// errNotAnswer is returned if the received bytes are not an answer to the request.
var errNotAnswer = errors.New("received bytes are not an answer to this request")

// maxUpstreamHeaderBytes bounds the header of an answer.
const maxUpstreamHeaderBytes = 64 << 10

func newTransport(dial sockets.DialFunc) *http.Transport {
	if dial == nil {
		dial = sockets.NewDialer(sockets.Upstream).DialContext
	}
	// Resets are detected below CheckedDial too, whose connections may hide the TCP connection.
	t := sockets.NewTransport(CheckedDial(sockets.DetectResets(dial)))
	t.MaxResponseHeaderBytes = maxUpstreamHeaderBytes
	return t
}

// errLeft is returned if the upstream or a helper left, or asked for a pause, before a byte of
// the request was written.
var errLeft = errors.New("upstream left or paused before the request was sent")

// maySendKey is the key of the check that CheckedDial makes, in the context of a request.
type maySendKey struct{}

// CheckedDial returns a function that checks, once the connection is open, whether the
// request may still be sent. Each connection serves one request, so this is the last moment
// before its first byte.
func CheckedDial(dial sockets.DialFunc) sockets.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if maySend, ok := ctx.Value(maySendKey{}).(func() bool); ok && !maySend() {
			_ = conn.Close() // nothing was written
			return nil, errLeft
		}
		return originForm(ctx, conn), nil
	}
}

// outbound is a request as sent to an upstream.
type outbound struct {
	method  string
	address string
	host    string
	// target is path and query exactly as sent by the caller.
	target string
	header http.Header
	body   []byte
	// maySend reports whether the upstream may still get the request.
	maySend func() bool
	// onConnected is called when the connection is open and the request is about to be written.
	onConnected func()
	// onVia is told the instance through which the connection was opened, if it was not opened
	// directly.
	onVia func(instance string)
}

// tunnelled is a connection through another instance.
type tunnelled interface {
	// Via returns the ID of that instance.
	Via() string
}

// roundTrip sends the request and returns the answer, whose body is still to be read.
// An error that wraps errNotSent proves that the request was not sent.
func roundTrip(ctx context.Context, transport http.RoundTripper, o outbound) (*http.Response, error) {
	var connected atomic.Bool
	ctx = context.WithValue(ctx, maySendKey{}, o.maySend)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			o.onConnected()
			if c, ok := sockets.Unwrap(info.Conn).(tunnelled); ok && c.Via() != "" {
				o.onVia(c.Via())
			}
		},
	})
	target := targetURL(o.address, o.target)
	ctx = withOriginForm(ctx, o.method, target)
	req := &http.Request{
		Method:        o.method,
		URL:           target,
		Host:          o.host,
		Header:        o.header,
		ContentLength: int64(len(o.body)),
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(o.body) > 0 {
		req.Body = newBody(o.body)
	}
	res, err := transport.RoundTrip(req.WithContext(ctx))
	if err == nil {
		return res, nil
	}
	if errors.Is(err, sockets.ErrMalformedAnswer) {
		return nil, fmt.Errorf("%w: %w", errNotAnswer, err)
	}
	var dial *net.OpError
	if !connected.Load() || errors.As(err, &dial) && dial.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return nil, err
}
