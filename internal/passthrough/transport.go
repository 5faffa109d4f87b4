package passthrough

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/banyanroute/banyanroute/internal/sockets"
)

// errNotSent says that no byte of the request was written.
var errNotSent = errors.New("the request was not sent")

// errNotAnswer says that what came back is no answer to the request.
var errNotAnswer = errors.New("the upstream's bytes are not an answer to this request")

// Bounds of connections to upstreams.
const (
	// upstreamDialTimeout bounds a new connection; a place must be found
	// elsewhere while the caller still waits.
	upstreamDialTimeout = 400 * time.Millisecond
	// upstreamUserTimeout bounds unacknowledged bytes.
	upstreamUserTimeout = time.Second
	// maxUpstreamHeader bounds the header of an answer in bytes.
	maxUpstreamHeader = 64 << 10
)

func newTransport() *http.Transport {
	t := sockets.NewTransport(sockets.Options{DialTimeout: upstreamDialTimeout, UserTimeout: upstreamUserTimeout})
	t.MaxResponseHeaderBytes = maxUpstreamHeader
	return t
}

// outbound is a request as it is sent.
type outbound struct {
	method  string
	address string
	host    string
	// target is path and query exactly as the caller wrote them.
	target string
	header http.Header
	body   []byte
}

// roundTrip sends the request and returns the answer's header with its body
// still to be read. An error that wraps errNotSent proves that it was not sent.
func roundTrip(ctx context.Context, transport http.RoundTripper, o outbound) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	path, query, _ := strings.Cut(o.target, "?")
	req := &http.Request{
		Method: o.method,
		// Opaque keeps the path's bytes as the caller wrote them.
		URL:           &url.URL{Scheme: "http", Host: o.address, Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(o.target, "?")},
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
	var dial *net.OpError
	if !connected.Load() || errors.As(err, &dial) && dial.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return nil, err
}
